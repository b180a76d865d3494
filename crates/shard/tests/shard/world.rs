//! The targets, nodes and store of a storm.

use std::{collections::HashMap, sync::Arc};
use wagtail_core::heartbeat::{GrantedRange, HeartbeatReply, ReleasedRange, TargetHeartbeat};
use wagtail_shard::{keeper::GrantKeeper, table::RangeTable};

/// A hold of a target, with its true end.
#[derive(Debug, Clone)]
pub struct Hold {
    pub range: GrantedRange,
    pub until: u64,
}

/// A heartbeat on its way to the node, or an answer on its way back.
#[derive(Debug)]
pub enum Travel {
    Beat(TargetHeartbeat, u64),
    Reply(HeartbeatReply, u64, u64),
}

/// A target and the node beside it.
#[derive(Debug)]
pub struct Place {
    pub name: String,
    pub started: u64,
    pub target_up_at: u64,
    pub target_frozen_until: u64,
    pub sequence: u64,
    pub next_beat: u64,
    pub holds: Vec<Hold>,
    pub released: Vec<ReleasedRange>,
    pub highest: HashMap<u16, u64>,
    pub keeper: GrantKeeper,
    pub node_up_at: u64,
    pub node_frozen_until: u64,
    pub cut_until: u64,
    pub travels: Vec<(u64, Travel)>,
    pub next_free: u64,
}

/// The store with writes that take effect late.
#[derive(Debug, Default)]
pub struct Store {
    pub table: Option<(u64, RangeTable)>,
    pub revision: u64,
    pub late: Vec<(u64, u64, RangeTable)>,
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
        let due: Vec<_> = self.late.extract_if(.., |late| late.0 <= now).collect();
        for (_, expected, table) in due {
            self.write(expected, table);
        }
    }
}

/// Lets a target take an answer: what is left out is released.
pub fn take_reply(place: &mut Place, reply: &HeartbeatReply, sent: u64) {
    let Some(grant) = &reply.grant else {
        return;
    };
    // The target's clock may run 2% slow, so that its holds last longer.
    let hold_ms = u64::try_from(grant.hold.as_millis()).unwrap() * 102 / 100;
    let before = std::mem::take(&mut place.holds);

    for range in &grant.ranges {
        let seen = (range.from..=range.to).step_by(97).any(|key| {
            place
                .highest
                .get(&key)
                .is_some_and(|seen| *seen > range.token)
        });
        if seen {
            continue;
        }
        for key in (range.from..=range.to).step_by(97) {
            place.highest.insert(key, range.token);
        }
        place.holds.push(Hold {
            range: range.clone(),
            until: sent + hold_ms,
        });
    }
    for hold in before {
        let kept =
            |other: &Hold| other.range.from <= hold.range.to && hold.range.from <= other.range.to;
        if !place.holds.iter().any(kept) {
            place.released.push(ReleasedRange {
                from: hold.range.from,
                to: hold.range.to,
                handover: Arc::from("warm"),
            });
        }
    }
}
