//! Decides which key ranges a node grants to its target in reply to heartbeats.
//!
//! - `settling`: what the node reads from the table and changes in it.

mod settling;

use crate::{
    departures::DepartureList,
    table::{RangeRow, RangeTable, RowState},
};
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{
        GrantedRange, HeartbeatReply, RangeGrant, ReleasedRange, TargetDeparture, TargetHeartbeat,
        TargetIncarnation,
    },
    objects::StoreRevision,
    units::LocalMoment,
};

/// The share by which a target's clock may run slow, in percent, as the target's protocol states.
const MAX_CLOCK_LAG_PERCENT: u32 = 2;

/// `KeeperOptions` holds the time limits of grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperOptions {
    /// The time for which a grant is valid, counted from when the target sent the heartbeat.
    pub hold: Duration,
    /// The greatest age of a table read at which it still supports grants, so that grants go on
    /// through a short outage of the store.
    pub table_validity: Duration,
    /// Time added after the end of a grant to cover rounding of durations in transit.
    pub margin: Duration,
    /// The time after a heartbeat's arrival from which a reply carries no grants any more. The
    /// target stops waiting for a reply after a second.
    pub max_reply_delay: Duration,
}

impl Default for KeeperOptions {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(2_800),
            table_validity: Duration::from_secs(5),
            margin: Duration::from_millis(100),
            max_reply_delay: Duration::from_millis(800),
        }
    }
}

impl KeeperOptions {
    /// Returns the time after a heartbeat's arrival at which its grants have ended for certain,
    /// even on a target whose clock runs slow.
    pub fn lapse(&self) -> Duration {
        self.hold + self.hold * MAX_CLOCK_LAG_PERCENT / 100 + self.margin
    }

    /// Returns the time after the revocation of a row at which no grant of it can be valid any
    /// more. The holder's node may go on granting from a table that it read before the
    /// revocation, so this includes `table_validity`.
    pub fn revocation_lapse(&self) -> Duration {
        self.table_validity + self.lapse()
    }
}

/// `HeartbeatVerdict` classifies a heartbeat by its incarnation and sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It comes from an earlier or ended incarnation, or is not newer than the last one; ignored.
    Stale,
    /// It is the next one of the known incarnation.
    Current,
    /// It is the first one of a new incarnation, and the previous one has ended. Or it shows that an incarnation
    /// which was recorded as ended lives.
    NewIncarnation,
}

/// The time for which an incarnation with an earlier start must be the only one that sends
/// heartbeats before it replaces the known one. A target whose clock was set back needs this.
const CHALLENGE_DURATION: Duration = Duration::from_millis(2_500);

/// `IncarnationChallenge` tracks an incarnation that sends heartbeats though its start time is not
/// later than that of the known one.
#[derive(Debug, Clone, PartialEq, Eq)]
struct IncarnationChallenge {
    life: TargetIncarnation,
    sequence: u64,
    since: LocalMoment,
}

/// The number of table reads to make within `table_validity`.
const READS_PER_VALIDITY: u32 = 3;

/// `ConfirmedTable` is the table at a revision that a read returned or a write produced.
#[derive(Debug, Clone)]
struct ConfirmedTable {
    revision: StoreRevision,
    table: RangeTable,
    /// The moment at which the read was sent; the age of the table counts from here.
    read_sent_at: LocalMoment,
}

/// `PendingWrite` identifies a write of the table whose outcome is not known yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingWrite(u64);

/// `UncertainWrite` is a conditional write without a response. It may still take effect while the
/// stored table is at the revision that it expects.
#[derive(Debug, Clone)]
struct UncertainWrite {
    id: PendingWrite,
    expected: StoreRevision,
    next: RangeTable,
}

/// `TableChange` is a change of the table that a node is about to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableChange {
    /// The table after the change.
    pub table: RangeTable,
    /// Whether the stored table was written for an earlier era of the store.
    pub is_recovery: bool,
    /// Whether the node claims ranges that its target holds.
    pub has_claims: bool,
}

/// `OmittedRange` is a range that the target holds but that replies have stopped granting.
/// `sequence` is the heartbeat whose reply first left it out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OmittedRange {
    from: u16,
    to: u16,
    sequence: u64,
}

/// `GrantKeeper` decides which ranges the node grants to its target.
#[derive(Debug)]
pub struct GrantKeeper {
    node: Arc<str>,
    options: KeeperOptions,
    /// The arrival of the last heartbeat that got a grant in reply. Initially the start of this
    /// process, because the previous process may have granted until then.
    last_grant_start: LocalMoment,
    life: Option<TargetIncarnation>,
    sequence: u64,
    omitted: Vec<OmittedRange>,
    /// The ranges that the target released and that the table does not show as handed over yet. The
    /// target reports each once, as its heartbeat is acknowledged whether or not the table could be
    /// written.
    unsettled: Vec<ReleasedRange>,
    granted: Vec<GrantedRange>,
    granted_until: LocalMoment,
    ended: bool,
    challenge: Option<IncarnationChallenge>,
    replaced: Vec<TargetIncarnation>,
    departures: DepartureList,
    confirmed: Option<ConfirmedTable>,
    uncertain: Vec<UncertainWrite>,
    next_write: u64,
    /// The revision of the first table that this process read. Writes of the previous process
    /// without a response may take effect while the table stays at this revision.
    first_revision: Option<StoreRevision>,
}

impl GrantKeeper {
    /// Creates a keeper that has not heard from a target yet.
    pub fn new(node: Arc<str>, options: KeeperOptions, now: LocalMoment) -> Self {
        Self {
            node,
            options,
            last_grant_start: now,
            life: None,
            sequence: 0,
            omitted: Vec::new(),
            unsettled: Vec::new(),
            granted: Vec::new(),
            granted_until: LocalMoment::ZERO,
            ended: false,
            challenge: None,
            replaced: Vec::new(),
            departures: DepartureList::default(),
            confirmed: None,
            uncertain: Vec::new(),
            next_write: 0,
            first_revision: None,
        }
    }

    /// Returns the known incarnation of the target, or `None` before the first heartbeat.
    pub fn life(&self) -> Option<&TargetIncarnation> {
        self.life.as_ref()
    }

    /// Records that a target has announced its leave, whether or not it is known. Its incarnations
    /// that this covers inherit no ranges, and no heartbeat brings them back into service.
    pub fn depart(&mut self, departure: TargetDeparture) {
        self.departures.add(departure);
    }

    /// Records departures that the store holds for this node, some of them announced to its previous
    /// processes.
    pub fn merge_departures(&mut self, stored: &DepartureList) {
        self.departures.merge(stored);
    }

    /// Returns the known departures.
    pub fn departures(&self) -> &DepartureList {
        &self.departures
    }

    /// Returns whether an incarnation of a target has announced its leave.
    pub fn has_departed(&self, life: &TargetIncarnation) -> bool {
        self.departures.covers(life)
    }

    /// Returns whether the target that sent a heartbeat is leaving, by this heartbeat or by what it
    /// announced before.
    fn is_leaving(&self, heartbeat: &TargetHeartbeat) -> bool {
        heartbeat.draining || self.has_departed(&heartbeat.life)
    }

    /// Records a heartbeat and returns whether it is stale, current or from a new incarnation.
    pub fn accept(&mut self, heartbeat: &TargetHeartbeat, now: LocalMoment) -> HeartbeatVerdict {
        if heartbeat.draining {
            self.depart(TargetDeparture::from(&heartbeat.life));
        }

        let Some(life) = &self.life else {
            self.start_incarnation(heartbeat);
            return HeartbeatVerdict::NewIncarnation;
        };

        if *life == heartbeat.life {
            if heartbeat.sequence <= self.sequence {
                return HeartbeatVerdict::Stale;
            }
            if self.ended {
                return self.revive(heartbeat, now);
            }
            self.sequence = heartbeat.sequence;
            self.challenge = None;
            self.record_releases(heartbeat);
            return HeartbeatVerdict::Current;
        }
        let seems_older = heartbeat.life.started_ms <= life.started_ms;
        if seems_older && !self.wins_challenge(heartbeat, now) {
            return HeartbeatVerdict::Stale;
        }

        self.replaced.extend(self.life.take());
        self.start_incarnation(heartbeat);
        HeartbeatVerdict::NewIncarnation
    }

    /// Takes an incarnation that was recorded as ended back into service, with the keys that the table still assigns
    /// to it, if it alone has sent heartbeats for `CHALLENGE_DURATION`. Those of a process that has ended arrive late
    /// at most.
    fn revive(&mut self, heartbeat: &TargetHeartbeat, now: LocalMoment) -> HeartbeatVerdict {
        if !self.wins_challenge(heartbeat, now) {
            return HeartbeatVerdict::Stale;
        }

        self.start_incarnation(heartbeat);
        HeartbeatVerdict::NewIncarnation
    }

    /// Returns whether an incarnation with an earlier start replaces the known one, because it
    /// alone has sent heartbeats for `CHALLENGE_DURATION`. Incarnations that were replaced before
    /// are never accepted again.
    fn wins_challenge(&mut self, heartbeat: &TargetHeartbeat, now: LocalMoment) -> bool {
        if self.replaced.contains(&heartbeat.life) {
            return false;
        }

        match &mut self.challenge {
            Some(challenge) if challenge.life == heartbeat.life => {
                if heartbeat.sequence <= challenge.sequence {
                    return false;
                }
                challenge.sequence = heartbeat.sequence;
                now.since(challenge.since) >= CHALLENGE_DURATION
            }
            _ => {
                self.challenge = Some(IncarnationChallenge {
                    life: heartbeat.life.clone(),
                    sequence: heartbeat.sequence,
                    since: now,
                });
                false
            }
        }
    }

    /// Records that the target's process has certainly ended and drops its grants.
    pub fn target_ended(&mut self) {
        self.ended = true;
        self.granted.clear();
    }

    /// Returns whether the reply to a heartbeat may be delayed until another target releases a
    /// range that moves here, so that this reply grants it instead of the one to the next
    /// heartbeat. A reply that has anything else to grant or to leave out is not delayed, nor is
    /// one to a target whose grants are about to lapse.
    pub fn awaits_handover(
        &self,
        heartbeat: &TargetHeartbeat,
        table: &RangeTable,
        now: LocalMoment,
    ) -> bool {
        let urgent = self.is_leaving(heartbeat)
            || !self.unsettled.is_empty()
            || self.ended
            || self.life.as_ref() != Some(&heartbeat.life)
            || self.granted_until.since(now) < self.options.max_reply_delay;
        let is_incoming = |row: &RangeRow| match &row.state {
            RowState::Moving { to } => to.node == self.node && to.life == heartbeat.life,
            RowState::Held | RowState::Revoked | RowState::Unconfirmed => false,
        };
        let is_granted = |row: &RangeRow| {
            row.state == RowState::Held
                && self.granted.iter().any(|range| {
                    range.from <= row.from && row.to <= range.to && range.token == row.token
                })
        };

        !urgent
            && table.rows.iter().any(is_incoming)
            && table
                .rows
                .iter()
                .all(|row| !row.is_held_by(&heartbeat.life) || is_granted(row))
    }

    /// Returns the reply to a heartbeat that arrived at `arrived`, from the last recorded table.
    /// The reply grants nothing if it comes too late, the heartbeat is not the newest one, or the
    /// table is too old or has unresolved writes.
    pub fn reply(
        &mut self,
        heartbeat: &TargetHeartbeat,
        arrived: LocalMoment,
        now: LocalMoment,
    ) -> HeartbeatReply {
        let superseded =
            heartbeat.sequence != self.sequence || self.life.as_ref() != Some(&heartbeat.life);
        if superseded || self.ended || now.since(arrived) > self.options.max_reply_delay {
            return HeartbeatReply::default();
        }
        let Some(confirmed) = self.confirmed.take() else {
            return HeartbeatReply::default();
        };
        if now.since(confirmed.read_sent_at) > self.options.table_validity
            || self.has_unresolved_writes(confirmed.revision)
        {
            self.confirmed = Some(confirmed);
            return HeartbeatReply::default();
        }

        self.record_omitted(heartbeat, &confirmed.table);
        self.last_grant_start = arrived;
        self.granted_until = arrived + self.options.hold;
        self.granted = self.undisputed_grants(&heartbeat.life, &confirmed);
        self.confirmed = Some(confirmed);

        HeartbeatReply {
            grant: Some(RangeGrant {
                ranges: self.granted.clone(),
                hold: self.options.hold,
            }),
        }
    }

    /// Returns the ranges that the table assigns to an incarnation, without those that an uncertain
    /// write would take away from it.
    fn undisputed_grants(
        &self,
        life: &TargetIncarnation,
        confirmed: &ConfirmedTable,
    ) -> Vec<GrantedRange> {
        let mut grants = confirmed.table.grants(life);

        for write in &self.uncertain {
            if write.expected == confirmed.revision {
                let kept = write.next.grants(life);
                grants.retain(|grant| {
                    kept.iter().any(|other| {
                        other.from <= grant.from
                            && grant.to <= other.to
                            && other.token == grant.token
                    })
                });
            }
        }

        grants
    }

    /// Returns whether the target's grant of a key is valid for more than `margin` from now.
    pub fn holds(&self, key: u16, now: LocalMoment, margin: Duration) -> bool {
        now + margin < self.granted_until
            && self
                .granted
                .iter()
                .any(|range| range.from <= key && key <= range.to)
    }

    /// Returns the revision of the last recorded table and the moment at which its read was sent, or
    /// `None` before the first one.
    pub fn confirmed_read(&self) -> Option<(StoreRevision, LocalMoment)> {
        self.confirmed
            .as_ref()
            .map(|confirmed| (confirmed.revision, confirmed.read_sent_at))
    }

    /// Returns the ranges of the last grant, whether or not it has lapsed.
    pub fn granted(&self) -> &[GrantedRange] {
        &self.granted
    }

    /// Records which rows of the target the reply leaves out, and since which heartbeat.
    fn record_omitted(&mut self, heartbeat: &TargetHeartbeat, table: &RangeTable) {
        let leaving =
            |row: &&RangeRow| row.is_held_by(&heartbeat.life) && row.state != RowState::Held;
        let before = std::mem::take(&mut self.omitted);

        self.omitted = table
            .rows
            .iter()
            .filter(leaving)
            .map(|row| {
                let known = before
                    .iter()
                    .find(|range| range.from <= row.from && row.to <= range.to);

                OmittedRange {
                    from: row.from,
                    to: row.to,
                    sequence: known.map_or(heartbeat.sequence, |range| range.sequence),
                }
            })
            .collect();
    }

    /// Records the ranges that the target released. They replace earlier releases of the same keys, as
    /// do grants that the target holds.
    fn record_releases(&mut self, heartbeat: &TargetHeartbeat) {
        let overlap =
            |range: &ReleasedRange, from: u16, to: u16| range.from <= to && from <= range.to;
        self.unsettled.retain(|range| {
            let held = heartbeat
                .holds
                .iter()
                .any(|other| overlap(range, other.from, other.to));
            let replaced = heartbeat
                .released
                .iter()
                .any(|other| overlap(range, other.from, other.to));

            !held && !replaced
        });
        self.unsettled.extend(heartbeat.released.iter().cloned());
    }

    /// Starts over with the incarnation that sent a heartbeat.
    fn start_incarnation(&mut self, heartbeat: &TargetHeartbeat) {
        self.life = Some(heartbeat.life.clone());
        self.sequence = heartbeat.sequence;
        self.omitted.clear();
        self.unsettled.clear();
        self.granted.clear();
        self.ended = false;
        self.challenge = None;
        self.record_releases(heartbeat);
    }
}
