//! The simulated targets, nodes and store. All times are in milliseconds of virtual time.

use std::{collections::HashMap, sync::Arc};
use wagtail_core::heartbeat::{GrantedRange, HeartbeatReply, ReleasedRange, TargetHeartbeat};
use wagtail_shard::{keeper::GrantKeeper, table::RangeTable};

/// A granted range that a target holds, and the true time at which its hold ends.
#[derive(Debug, Clone)]
pub struct HeldGrant {
    pub range: GrantedRange,
    pub until: u64,
}

/// A message between a target and its node.
#[derive(Debug)]
pub enum InFlightMessage {
    /// A heartbeat and the time at which the target sent it.
    Heartbeat(TargetHeartbeat, u64),
    /// A reply, with the sending time and the sequence number of its heartbeat.
    Reply(HeartbeatReply, u64, u64),
}

/// A VM with a target and its node.
#[derive(Debug)]
pub struct SimulatedVm {
    pub name: String,
    pub started: u64,
    pub target_up_at: u64,
    pub target_frozen_until: u64,
    pub sequence: u64,
    pub next_heartbeat: u64,
    pub holds: Vec<HeldGrant>,
    pub released: Vec<ReleasedRange>,
    pub highest_tokens: HashMap<u16, u64>,
    pub keeper: GrantKeeper,
    pub node_up_at: u64,
    pub node_frozen_until: u64,
    pub store_cut_until: u64,
    pub messages: Vec<(u64, InFlightMessage)>,
    pub next_free_attempt: u64,
}

/// A store in which some writes take effect with a delay.
#[derive(Debug, Default)]
pub struct Store {
    pub table: Option<(u64, RangeTable)>,
    pub revision: u64,
    /// The delayed writes: when each takes effect, the revision it expects, and the new table.
    pub delayed: Vec<(u64, u64, RangeTable)>,
}

impl Store {
    pub fn write(&mut self, expected: u64, table: RangeTable) -> bool {
        if self.table.as_ref().map_or(0, |(revision, _)| *revision) != expected {
            return false;
        }
        self.revision += 1;
        self.table = Some((self.revision, table));
        true
    }

    pub fn settle(&mut self, now: u64) {
        let due: Vec<_> = self
            .delayed
            .extract_if(.., |delayed| delayed.0 <= now)
            .collect();
        for (_, expected, table) in due {
            self.write(expected, table);
        }
    }
}

/// Applies a reply at the target: the granted ranges replace the held ones, and held ranges that
/// the reply leaves out are released.
pub fn apply_reply(vm: &mut SimulatedVm, reply: &HeartbeatReply, sent: u64) {
    let Some(grant) = &reply.grant else {
        return;
    };
    // The target's clock may run 2% slow, which makes its grants last longer.
    let hold_ms = u64::try_from(grant.hold.as_millis()).unwrap() * 102 / 100;
    let before = std::mem::take(&mut vm.holds);

    for range in &grant.ranges {
        let seen = (range.from..=range.to).step_by(97).any(|key| {
            vm.highest_tokens
                .get(&key)
                .is_some_and(|seen| *seen > range.token)
        });
        if seen {
            continue;
        }
        for key in (range.from..=range.to).step_by(97) {
            vm.highest_tokens.insert(key, range.token);
        }
        vm.holds.push(HeldGrant {
            range: range.clone(),
            until: sent + hold_ms,
        });
    }
    for hold in before {
        let overlaps = |other: &HeldGrant| {
            other.range.from <= hold.range.to && hold.range.from <= other.range.to
        };
        if !vm.holds.iter().any(overlaps) {
            vm.released.push(ReleasedRange {
                from: hold.range.from,
                to: hold.range.to,
                handover: Arc::from("warm"),
            });
        }
    }
}
