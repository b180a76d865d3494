//! Heartbeats and grants beside a target.

use crate::table::{RangeHolder, RangeRow, RangeTable, RowState};
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{GrantedRange, HeartbeatReply, RangeGrant, TargetHeartbeat, TargetLife},
    units::LocalMoment,
};

/// The share by which a target's clock may run slow, in percent. Source: the target's protocol.
const SLOW_CLOCK_PERCENT: u32 = 2;

/// `KeeperOptions` are the settings of the grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperOptions {
    /// The time for which a grant holds, from the sending of the heartbeat.
    pub hold: Duration,
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
}

/// `BeatVerdict` tells what a heartbeat is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatVerdict {
    /// It comes from an earlier life or is older than one that came before.
    Stale,
    /// It continues the known life.
    Current,
    /// It is the first one of a new life; the former one has ended.
    NewLife,
}

/// The time for which heartbeats of an unknown life with an earlier start must come alone before
/// it is taken as the present one, as after the target's clock was set back.
const CHALLENGE_TIME: Duration = Duration::from_millis(2_500);

/// `LifeChallenge` is a life that seems older than the known one and yet sends heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LifeChallenge {
    life: TargetLife,
    sequence: u64,
    since: LocalMoment,
}

/// `LeftOutRange` is a range that an answer left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeftOutRange {
    from: u16,
    to: u16,
    sequence: u64,
}

/// `HoldKeeper` decides what the target beside the node is granted.
#[derive(Debug)]
pub struct HoldKeeper {
    node: Arc<str>,
    options: KeeperOptions,
    /// The last moment from which a grant may still run: the process's start, as the one before
    /// it may have granted until then, or the arrival of the last heartbeat that was granted.
    granted_from: LocalMoment,
    life: Option<TargetLife>,
    sequence: u64,
    left_out: Vec<LeftOutRange>,
    granted: Vec<GrantedRange>,
    granted_until: LocalMoment,
    ended: bool,
    challenge: Option<LifeChallenge>,
    replaced: Vec<TargetLife>,
}

impl HoldKeeper {
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
        }
    }

    /// Returns the life of the target.
    pub fn life(&self) -> Option<&TargetLife> {
        self.life.as_ref()
    }

    /// Takes note of a heartbeat.
    pub fn accept(&mut self, beat: &TargetHeartbeat, now: LocalMoment) -> BeatVerdict {
        let Some(life) = &self.life else {
            self.begin(beat);
            return BeatVerdict::NewLife;
        };

        if *life == beat.life {
            if beat.sequence <= self.sequence || self.ended {
                return BeatVerdict::Stale;
            }
            self.sequence = beat.sequence;
            self.challenge = None;
            return BeatVerdict::Current;
        }
        let seems_older = beat.life.started_ms <= life.started_ms;
        if seems_older && !self.prevails(beat, now) {
            return BeatVerdict::Stale;
        }

        self.replaced.extend(self.life.take());
        self.begin(beat);
        BeatVerdict::NewLife
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

    /// Answers a heartbeat that arrived at `arrived`, by a table read after it.
    pub fn reply(
        &mut self,
        beat: &TargetHeartbeat,
        table: &RangeTable,
        arrived: LocalMoment,
        now: LocalMoment,
    ) -> HeartbeatReply {
        let overtaken = beat.sequence != self.sequence || self.life.as_ref() != Some(&beat.life);
        if overtaken || self.ended || now.since(arrived) > self.options.answer_limit {
            return HeartbeatReply::default();
        }

        self.note_left_out(beat, table);
        self.granted_from = arrived;
        self.granted_until = arrived + self.options.hold;
        self.granted = table.grants(&beat.life);

        HeartbeatReply {
            grant: Some(RangeGrant {
                ranges: self.granted.clone(),
                hold: self.options.hold,
            }),
        }
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
        let leaving = |row: &&RangeRow| row.is_of(&beat.life) && row.state != RowState::Held;
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
