//! The simulated targets, nodes and store. All times are in milliseconds of virtual time.

use std::{collections::HashMap, sync::Arc};
use wagtail_core::{
    heartbeat::{GrantedRange, HeartbeatReply, ReleasedRange, TargetHeartbeat},
    objects::StoreRevision,
    units::LocalMoment,
};
use wagtail_shard::{
    keeper::{GrantKeeper, KeeperOptions, PendingWrite},
    table::RangeTable,
};

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

/// Why a node reads the table.
#[derive(Debug, Clone)]
pub enum CallCause {
    /// A heartbeat, with the times at which it was sent and arrived.
    Heartbeat(TargetHeartbeat, u64, u64),
    /// The grants of the target have lapsed.
    Lapse,
}

/// How far a call has come.
#[derive(Debug)]
pub enum CallState {
    /// The read is on its way to the store.
    Reading,
    /// The store has made the read.
    Read(StoredTable),
    /// A write of the table is on its way to the store, with the revision that it expects.
    Writing(PendingWrite, StoreRevision, RangeTable),
    /// The store has made the write or refused it.
    Wrote(PendingWrite, RangeTable, WriteOutcome),
}

/// A read of a node and the write that may follow.
#[derive(Debug)]
pub struct NodeCall {
    pub cause: CallCause,
    pub began: u64,
    pub attempt: u32,
    pub read_sent: u64,
    /// When the present read or write reaches the store.
    pub lands: u64,
    /// When its response reaches the node.
    pub responds: u64,
    pub state: CallState,
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
    /// Whether the target is leaving; its keys move to others while it works.
    pub leaving: bool,
    pub messages: Vec<(u64, InFlightMessage)>,
    pub next_free_attempt: u64,
    /// The calls that are under way.
    pub calls: Vec<NodeCall>,
    /// The newest revision of the table that the node has heard of.
    pub known: StoreRevision,
}

impl SimulatedVm {
    /// Starts a new incarnation of the target, which is up at `up_at`.
    pub fn restart_target(&mut self, up_at: u64) {
        self.target_up_at = up_at;
        self.holds.clear();
        self.released.clear();
        self.highest_tokens.clear();
        self.sequence = 0;
        self.started = up_at.max(self.started + 1);
        self.leaving = false;
        self.next_heartbeat = up_at;
    }

    /// Starts a new process of the node, which is up at `up_at` and remembers nothing.
    pub fn restart_node(&mut self, up_at: u64) {
        self.node_up_at = up_at;
        self.calls.clear();
        self.known = StoreRevision::ZERO;
        self.keeper = GrantKeeper::new(
            Arc::from(self.name.clone()),
            KeeperOptions::default(),
            LocalMoment::from_millis(up_at),
        );
    }
}

/// The age up to which the states of the store are kept as copies, in milliseconds.
const MAX_COPY_AGE_MS: u64 = 12_000;

/// A state of the store: the revision at which the table was written, and the table.
pub type StoredTable = Option<(StoreRevision, RangeTable)>;

/// A write that takes effect later, without a response.
#[derive(Debug)]
pub struct DelayedWrite {
    pub due: u64,
    /// The number of the revision that the write expects; the store does not compare eras.
    pub expected: u64,
    pub table: RangeTable,
}

/// The outcome of a write, as its sender sees it.
#[derive(Debug, Clone, Copy)]
pub enum WriteOutcome {
    /// It took effect.
    Written(StoreRevision),
    /// The table is at another revision.
    Conflict,
    /// The store did not carry it out.
    Refused,
    /// No response arrived; it may take effect later.
    Unknown,
}

/// A store in which some writes take effect with a delay, and which may return from an older copy.
#[derive(Debug, Default)]
pub struct Store {
    pub table: StoredTable,
    pub era: u64,
    pub away_until: u64,
    revision: u64,
    delayed: Vec<DelayedWrite>,
    /// The past states: since when each held, its revision and its table.
    copies: Vec<(u64, u64, StoredTable)>,
}

impl Store {
    /// Writes the table if it is at the expected number. Returns the revision of the write.
    pub fn write(&mut self, expected: u64, table: RangeTable, now: u64) -> Option<StoreRevision> {
        let current = self
            .table
            .as_ref()
            .map_or(0, |(revision, _)| revision.number);
        if current != expected {
            return None;
        }

        self.revision += 1;
        let written = StoreRevision::new(self.era, self.revision);
        self.table = Some((written, table));
        self.copies.push((now, self.revision, self.table.clone()));
        Some(written)
    }

    /// Accepts a write that takes effect at `due`, whether or not the store returns from a copy
    /// before then.
    pub fn delay(&mut self, due: u64, expected: u64, table: RangeTable) {
        self.delayed.push(DelayedWrite {
            due,
            expected,
            table,
        });
    }

    /// Lets the delayed writes that are due take effect, unless the store is away.
    pub fn settle(&mut self, now: u64) {
        while self
            .copies
            .get(1)
            .is_some_and(|(since, ..)| since + MAX_COPY_AGE_MS <= now)
        {
            self.copies.remove(0);
        }
        if now < self.away_until {
            return;
        }

        let due: Vec<_> = self
            .delayed
            .extract_if(.., |delayed| delayed.due <= now)
            .collect();
        for write in due {
            self.write(write.expected, write.table, now);
        }
    }

    /// Returns to the state of `age` milliseconds ago: its revision numbers are given out again.
    pub fn return_from_copy(&mut self, now: u64, age: u64) {
        let copy_time = now.saturating_sub(age);
        self.copies.retain(|(since, ..)| *since <= copy_time);
        let (_, revision, table) = self.copies.last().cloned().unwrap_or_default();

        self.era += 1;
        self.revision = revision;
        self.table =
            table.map(|(revision, table)| (StoreRevision::new(self.era, revision.number), table));
        self.copies.push((now, self.revision, self.table.clone()));
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
