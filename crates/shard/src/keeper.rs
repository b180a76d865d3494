//! Heartbeats and grants beside a target.

use crate::table::{RangeHolder, RangeRow, RangeTable, RowState};
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{GrantedRange, HeartbeatReply, RangeGrant, TargetHeartbeat, TargetIncarnation},
    units::LocalMoment,
};

/// The share by which a target's clock may run slow, in percent. Source: the target's protocol.
const SLOW_CLOCK_PERCENT: u32 = 2;

/// `KeeperOptions` are the settings of the grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperOptions {
    /// The time for which a grant holds, from the sending of the heartbeat.
    pub hold: Duration,
    /// The age up to which a table that was read counts as proof while the store gives no answer.
    pub proof: Duration,
    /// Time added to the end of a hold for what was rounded on the way.
    pub margin: Duration,
    /// The age after which a heartbeat's answer comes too late to carry grants. The target gives
    /// up on an answer after a second.
    pub answer_limit: Duration,
}

impl Default for KeeperOptions {
    fn default() -> Self {
        Self {
            hold: Duration::from_millis(2_800),
            proof: Duration::from_secs(5),
            margin: Duration::from_millis(100),
            answer_limit: Duration::from_millis(800),
        }
    }
}

impl KeeperOptions {
    /// Returns the time after a heartbeat's arrival at which its grants have ended for certain.
    pub fn lapse(&self) -> Duration {
        self.hold + self.hold * SLOW_CLOCK_PERCENT / 100 + self.margin
    }

    /// Returns the time after the revocation of a row at which no hold under it can run any more,
    /// whatever the node beside its holder still takes as proof.
    pub fn revocation_lapse(&self) -> Duration {
        self.proof + self.lapse()
    }
}

/// `HeartbeatVerdict` tells what a heartbeat is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It comes from an earlier life or is older than one that came before.
    Stale,
    /// It continues the known life.
    Current,
    /// It is the first one of a new life; the former one has ended.
    NewIncarnation,
}

/// The time for which heartbeats of an unknown life with an earlier start must come alone before
/// it is taken as the present one, as after the target's clock was set back.
const CHALLENGE_TIME: Duration = Duration::from_millis(2_500);

/// `LifeChallenge` is a life that seems older than the known one and yet sends heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LifeChallenge {
    life: TargetIncarnation,
    sequence: u64,
    since: LocalMoment,
}

/// The reads within the time for which one of them is proof.
const PROOF_READS: u32 = 3;

/// `ProvenTable` is a table as a read showed it.
#[derive(Debug, Clone)]
struct ProvenTable {
    revision: u64,
    table: RangeTable,
    /// The moment at which the read was sent.
    asked: LocalMoment,
}

/// `UncertainWrite` is a write without an answer: it may take effect for as long as the object is
/// at the revision that it expects.
#[derive(Debug, Clone)]
struct UncertainWrite {
    expected: u64,
    next: RangeTable,
}

/// `LeftOutRange` is a range that an answer left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeftOutRange {
    from: u16,
    to: u16,
    sequence: u64,
}

/// `GrantKeeper` decides what the target beside the node is granted.
#[derive(Debug)]
pub struct GrantKeeper {
    node: Arc<str>,
    options: KeeperOptions,
    /// The last moment from which a grant may still run: the process's start, as the one before
    /// it may have granted until then, or the arrival of the last heartbeat that was granted.
    granted_from: LocalMoment,
    life: Option<TargetIncarnation>,
    sequence: u64,
    left_out: Vec<LeftOutRange>,
    granted: Vec<GrantedRange>,
    granted_until: LocalMoment,
    ended: bool,
    challenge: Option<LifeChallenge>,
    replaced: Vec<TargetIncarnation>,
    proven: Option<ProvenTable>,
    uncertain: Vec<UncertainWrite>,
    /// The revision of the first table that this process read. The process before it may have
    /// left writes that take effect for as long as the table stays at it.
    first_revision: Option<u64>,
}

impl GrantKeeper {
    /// Makes a keeper that knows of no target.
    pub fn new(node: Arc<str>, options: KeeperOptions, now: LocalMoment) -> Self {
        Self {
            node,
            options,
            granted_from: now,
            life: None,
            sequence: 0,
            left_out: Vec::new(),
            granted: Vec::new(),
            granted_until: LocalMoment::ZERO,
            ended: false,
            challenge: None,
            replaced: Vec::new(),
            proven: None,
            uncertain: Vec::new(),
            first_revision: None,
        }
    }

    /// Returns the life of the target.
    pub fn life(&self) -> Option<&TargetIncarnation> {
        self.life.as_ref()
    }

    /// Takes note of a heartbeat.
    pub fn accept(&mut self, beat: &TargetHeartbeat, now: LocalMoment) -> HeartbeatVerdict {
        let Some(life) = &self.life else {
            self.begin(beat);
            return HeartbeatVerdict::NewIncarnation;
        };

        if *life == beat.life {
            if beat.sequence <= self.sequence || self.ended {
                return HeartbeatVerdict::Stale;
            }
            self.sequence = beat.sequence;
            self.challenge = None;
            return HeartbeatVerdict::Current;
        }
        let seems_older = beat.life.started_ms <= life.started_ms;
        if seems_older && !self.prevails(beat, now) {
            return HeartbeatVerdict::Stale;
        }

        self.replaced.extend(self.life.take());
        self.begin(beat);
        HeartbeatVerdict::NewIncarnation
    }

    /// Returns whether a life that seems older than the known one has replaced it: it alone has
    /// sent heartbeats for a while.
    fn prevails(&mut self, beat: &TargetHeartbeat, now: LocalMoment) -> bool {
        if self.replaced.contains(&beat.life) {
            return false;
        }

        match &mut self.challenge {
            Some(challenge) if challenge.life == beat.life => {
                if beat.sequence <= challenge.sequence {
                    return false;
                }
                challenge.sequence = beat.sequence;
                now.since(challenge.since) >= CHALLENGE_TIME
            }
            _ => {
                self.challenge = Some(LifeChallenge {
                    life: beat.life.clone(),
                    sequence: beat.sequence,
                    since: now,
                });
                false
            }
        }
    }

    /// Takes note that the process of the target is gone.
    pub fn target_ended(&mut self) {
        self.ended = true;
        self.granted.clear();
    }

    /// Changes the table by what the heartbeat shows: released rows pass on, and the life that
    /// sends it inherits the rows of the lives before it. Returns whether anything changed.
    pub fn settle(&self, beat: &TargetHeartbeat, table: &mut RangeTable) -> bool {
        let settled = |row: &RangeRow| {
            self.left_out.iter().any(|range| {
                range.from <= row.from && row.to <= range.to && range.sequence < beat.sequence
            })
        };
        let passed = table.release(&beat.life, &beat.holds, &beat.released, settled);
        let heir = RangeHolder {
            node: Arc::clone(&self.node),
            life: beat.life.clone(),
        };
        let stays = !beat.draining && !self.ended;
        let inherited = self.pass_ended(table, stays.then_some(&heir));

        passed || inherited
    }

    /// Frees the rows of lives of this node's target that have ended for certain.
    pub fn free_ended(&self, table: &mut RangeTable) -> bool {
        self.pass_ended(table, None)
    }

    /// Passes on the rows of lives of this node's target that have ended for certain.
    fn pass_ended(&self, table: &mut RangeTable, heir: Option<&RangeHolder>) -> bool {
        let Some(life) = &self.life else {
            return false;
        };

        table.take_away(heir, |row| {
            row.holder.as_ref().is_some_and(|holder| {
                let earlier = holder.life.started_ms < life.started_ms
                    || self.replaced.contains(&holder.life);
                let ended = self.ended && &holder.life == life;
                holder.node == self.node && (earlier || ended)
            })
        })
    }

    /// Frees the rows of this node's target once its holds have lapsed without a heartbeat.
    pub fn free_lapsed(&self, table: &mut RangeTable, now: LocalMoment) -> bool {
        if now < self.lapses_at() {
            return false;
        }

        table.take_away(None, |row| {
            row.holder
                .as_ref()
                .is_some_and(|holder| holder.node == self.node)
        })
    }

    /// Returns the moment at which nothing that this node granted holds any more.
    pub fn lapses_at(&self) -> LocalMoment {
        self.granted_from + self.options.lapse()
    }

    /// Takes note of the table that a read sent at `asked` showed, or that a write made of it.
    pub fn record_table(&mut self, table: RangeTable, revision: u64, asked: LocalMoment) {
        self.uncertain.retain(|write| write.expected >= revision);
        self.first_revision.get_or_insert(revision);
        self.proven = Some(ProvenTable {
            revision,
            table,
            asked,
        });
    }

    /// Returns whether the table must be read before a heartbeat is answered: the proof is old, a
    /// later revision is known, or the heartbeat may change a row.
    pub fn needs_read(&self, beat: &TargetHeartbeat, known: u64, now: LocalMoment) -> bool {
        let Some(proven) = &self.proven else {
            return true;
        };

        proven.revision < known
            || now.since(proven.asked) > self.options.proof / PROOF_READS
            || self.has_unresolved_writes(proven.revision)
            || !beat.released.is_empty()
            || proven.table.rows.iter().any(|row| {
                let here = row
                    .holder
                    .as_ref()
                    .is_some_and(|holder| holder.node == self.node);
                here && (row.state != RowState::Held || !row.is_held_by(&beat.life))
            })
    }

    /// Returns whether writes that a former process of this node left may still take effect on a
    /// table at a revision. The table must be written once then before it is granted from.
    pub fn has_unresolved_writes(&self, revision: u64) -> bool {
        self.first_revision.is_none_or(|first| revision <= first)
    }

    /// Takes note of a write that is about to be sent. Until its answer comes, and for ever when
    /// none comes, it may take effect while the table is at the revision that it expects.
    pub fn begin_write(&mut self, expected: u64, next: RangeTable) {
        self.uncertain.push(UncertainWrite { expected, next });
    }

    /// Takes note that the last write was certainly not carried out.
    pub fn discard_write(&mut self, expected: u64) {
        let last = self
            .uncertain
            .iter()
            .rposition(|write| write.expected == expected);

        if let Some(index) = last {
            self.uncertain.remove(index);
        }
    }

    /// Returns whether the answer to a heartbeat may wait for a range that another target is about
    /// to release: the range is then granted with this answer and not with that to the next
    /// heartbeat. Nothing waits that this answer grants or leaves out already.
    pub fn awaits_handover(
        &self,
        beat: &TargetHeartbeat,
        table: &RangeTable,
        now: LocalMoment,
    ) -> bool {
        let urgent = beat.draining
            || !beat.released.is_empty()
            || self.ended
            || self.life.as_ref() != Some(&beat.life)
            || self.granted_until.since(now) < self.options.answer_limit;
        let comes = |row: &RangeRow| match &row.state {
            RowState::Moving { to } => to.node == self.node && to.life == beat.life,
            RowState::Held | RowState::Revoked => false,
        };
        let is_granted = |row: &RangeRow| {
            row.state == RowState::Held
                && self.granted.iter().any(|range| {
                    range.from <= row.from && row.to <= range.to && range.token == row.token
                })
        };

        !urgent
            && table.rows.iter().any(comes)
            && table
                .rows
                .iter()
                .all(|row| !row.is_held_by(&beat.life) || is_granted(row))
    }

    /// Answers a heartbeat that arrived at `arrived`, by the newest proven table.
    pub fn reply(
        &mut self,
        beat: &TargetHeartbeat,
        arrived: LocalMoment,
        now: LocalMoment,
    ) -> HeartbeatReply {
        let overtaken = beat.sequence != self.sequence || self.life.as_ref() != Some(&beat.life);
        if overtaken || self.ended || now.since(arrived) > self.options.answer_limit {
            return HeartbeatReply::default();
        }
        let Some(proven) = self.proven.take() else {
            return HeartbeatReply::default();
        };
        if now.since(proven.asked) > self.options.proof
            || self.has_unresolved_writes(proven.revision)
        {
            self.proven = Some(proven);
            return HeartbeatReply::default();
        }

        self.note_left_out(beat, &proven.table);
        self.granted_from = arrived;
        self.granted_until = arrived + self.options.hold;
        self.granted = self.certain_grants(&beat.life, &proven);
        self.proven = Some(proven);

        HeartbeatReply {
            grant: Some(RangeGrant {
                ranges: self.granted.clone(),
                hold: self.options.hold,
            }),
        }
    }

    /// Returns what the table names a life for, without the rows that an uncertain write would
    /// take away from it.
    fn certain_grants(&self, life: &TargetIncarnation, proven: &ProvenTable) -> Vec<GrantedRange> {
        let mut grants = proven.table.grants(life);

        for write in &self.uncertain {
            if write.expected == proven.revision {
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

    /// Returns whether the target holds a key for at least `margin` longer.
    pub fn holds(&self, key: u16, now: LocalMoment, margin: Duration) -> bool {
        now + margin < self.granted_until
            && self
                .granted
                .iter()
                .any(|range| range.from <= key && key <= range.to)
    }

    /// Returns the ranges of the last grant.
    pub fn granted(&self) -> &[GrantedRange] {
        &self.granted
    }

    /// Remembers which rows of the target the answer leaves out, and since when.
    fn note_left_out(&mut self, beat: &TargetHeartbeat, table: &RangeTable) {
        let leaving = |row: &&RangeRow| row.is_held_by(&beat.life) && row.state != RowState::Held;
        let before = std::mem::take(&mut self.left_out);

        self.left_out = table
            .rows
            .iter()
            .filter(leaving)
            .map(|row| {
                let known = before
                    .iter()
                    .find(|range| range.from <= row.from && row.to <= range.to);

                LeftOutRange {
                    from: row.from,
                    to: row.to,
                    sequence: known.map_or(beat.sequence, |range| range.sequence),
                }
            })
            .collect();
    }

    /// Starts over with a new life.
    fn begin(&mut self, beat: &TargetHeartbeat) {
        self.life = Some(beat.life.clone());
        self.sequence = beat.sequence;
        self.left_out.clear();
        self.granted.clear();
        self.ended = false;
        self.challenge = None;
    }
}
