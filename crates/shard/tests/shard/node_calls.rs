//! The steps of a node: it accepts heartbeats, reads and writes the table, and replies. Its calls take
//! time, and several may be under way at once.

use crate::{
    simulation::{CallCause, CallState, InFlightMessage, NodeCall, WriteOutcome},
    storm::{FaultSimulation, STEP_MS},
};
use rand::Rng;
use std::mem::take;
use wagtail_core::{heartbeat::TargetHeartbeat, objects::StoreRevision, units::LocalMoment};
use wagtail_shard::{
    keeper::{HeartbeatVerdict, PendingWrite},
    table::RangeTable,
};

/// The time after the arrival of a heartbeat within which the table must be read, in milliseconds.
const READ_LIMIT_MS: u64 = 700;

/// The number of attempts to write the table for one cause.
const MAX_ATTEMPTS: u32 = 2;

/// The greatest age of a read of another node, in milliseconds.
const SHARED_READ_AGE_MS: u64 = 1_000;

/// The pause between two attempts to free lapsed rows, in milliseconds.
const FREE_INTERVAL_MS: u64 = 300;

impl FaultSimulation {
    /// Runs one step of a node.
    pub(crate) fn node(&mut self, index: usize) {
        let now = self.now;
        self.land_calls(index);
        if now < self.vms[index].node_up_at || now < self.vms[index].node_frozen_until {
            return;
        }

        let arrived = |message: &mut (u64, InFlightMessage)| {
            message.0 <= now && matches!(message.1, InFlightMessage::Heartbeat(..))
        };
        let heartbeats: Vec<_> = self.vms[index].messages.extract_if(.., arrived).collect();
        for (_, message) in heartbeats {
            if let InFlightMessage::Heartbeat(heartbeat, sent) = message {
                self.accept(index, heartbeat, sent);
            }
        }
        self.free_lapsed(index);

        for call in take(&mut self.vms[index].calls) {
            self.advance(index, call);
        }
    }

    /// Passes the writes of a node that ends on to the store, which may still carry them out.
    pub(crate) fn abandon_calls(&mut self, index: usize) {
        for call in take(&mut self.vms[index].calls) {
            self.abandon(call);
        }
    }

    /// Accepts a heartbeat and replies, after a read of the table if one is needed.
    fn accept(&mut self, index: usize, heartbeat: TargetHeartbeat, sent: u64) {
        let (now, moment) = (self.now, self.moment());
        let reaches_store = self.reaches_store(index);
        if self.vms[index].keeper.accept(&heartbeat, moment) == HeartbeatVerdict::Stale {
            return;
        }

        // The watch has told of the last change, or not yet.
        if reaches_store && self.random.random_bool(0.7) {
            let stored = self.store.table.as_ref();
            let revision = stored.map_or(StoreRevision::ZERO, |(revision, _)| *revision);
            let vm = &mut self.vms[index];
            vm.known = vm.known.max(revision);
            if self.options.shares_reads
                && let Some((revision, table)) = &self.store.table
            {
                vm.keeper.observe_table(table, *revision);
            }
        }
        if self.options.shares_reads && self.take_shared_read(index, &heartbeat, sent) {
            return;
        }
        let vm = &self.vms[index];
        if reaches_store && vm.keeper.needs_read(&heartbeat, vm.known, moment) {
            self.begin_read(index, CallCause::Heartbeat(heartbeat, sent, now), now, 1);
        } else {
            self.reply(index, &heartbeat, sent, now);
        }
    }

    /// Takes the last read of another node if one is needed and that is recent enough. The reply may
    /// be late, as those of the store. Returns whether it does.
    fn take_shared_read(&mut self, index: usize, heartbeat: &TargetHeartbeat, sent: u64) -> bool {
        let (now, moment) = (self.now, self.moment());
        let vm = &self.vms[index];
        let (read_sent, stored) = self.last_read.clone();
        let is_recent = now - read_sent <= SHARED_READ_AGE_MS;
        if stored.is_none()
            || !is_recent
            || !vm.keeper.needs_read(heartbeat, vm.known, moment)
            || self.random.random_bool(0.3)
        {
            return false;
        }

        let call = NodeCall {
            cause: CallCause::Heartbeat(heartbeat.clone(), sent, now),
            began: now,
            attempt: 1,
            read_sent,
            lands: now,
            responds: now + self.call_delay(),
            state: CallState::Read(stored),
        };
        self.vms[index].calls.push(call);
        true
    }

    /// Begins to free the rows of a target whose grants have lapsed.
    fn free_lapsed(&mut self, index: usize) {
        let (now, moment) = (self.now, self.moment());
        let reaches_store = self.reaches_store(index);
        let vm = &mut self.vms[index];
        let is_under_way = vm
            .calls
            .iter()
            .any(|call| matches!(call.cause, CallCause::Lapse));
        let is_due = now >= vm.next_free_attempt && moment >= vm.keeper.lapses_at();

        if reaches_store && is_due && !is_under_way {
            vm.next_free_attempt = now + FREE_INTERVAL_MS;
            self.begin_read(index, CallCause::Lapse, now, 1);
        }
    }

    /// Draws the time that a message between a node and the store takes, in milliseconds.
    fn call_delay(&mut self) -> u64 {
        let steps = if self.options.prompt_calls {
            0
        } else if self.random.random_bool(0.15) {
            self.random.random_range(0..60)
        } else {
            self.random.random_range(0..4)
        };

        steps * STEP_MS
    }

    /// Sends a read of the table.
    fn begin_read(&mut self, index: usize, cause: CallCause, began: u64, attempt: u32) {
        let lands = self.now + self.call_delay() / 2;
        let call = NodeCall {
            cause,
            began,
            attempt,
            read_sent: self.now,
            lands,
            responds: lands + self.call_delay(),
            state: CallState::Reading,
        };
        self.vms[index].calls.push(call);
    }

    /// Lets the calls that have reached the store take effect there, whether or not the node is frozen.
    fn land_calls(&mut self, index: usize) {
        if self.now < self.store.away_until {
            return;
        }

        let now = self.now;
        let mut calls = take(&mut self.vms[index].calls);
        for call in calls.iter_mut().filter(|call| now >= call.lands) {
            let state = std::mem::replace(&mut call.state, CallState::Reading);
            call.state = match state {
                CallState::Reading => {
                    if call.read_sent >= self.last_read.0 {
                        self.last_read = (call.read_sent, self.store.table.clone());
                    }
                    CallState::Read(self.store.table.clone())
                }
                CallState::Writing(pending, expected, table) => {
                    let outcome = self.write(expected, table.clone());
                    CallState::Wrote(pending, table, outcome)
                }
                landed => landed,
            };
        }
        self.vms[index].calls = calls;
    }

    /// Gives up a call. Its write may still take effect.
    fn abandon(&mut self, call: NodeCall) {
        if let CallState::Writing(_, expected, table) = call.state {
            self.store.delay(call.lands, expected.number, table);
        }
    }

    /// Replies to the heartbeat that caused a call, if one did.
    fn reply_to(&mut self, index: usize, cause: &CallCause) {
        if let CallCause::Heartbeat(heartbeat, sent, arrived) = cause {
            self.reply(index, heartbeat, *sent, *arrived);
        }
    }

    /// Replies to a heartbeat.
    fn reply(&mut self, index: usize, heartbeat: &TargetHeartbeat, sent: u64, arrived: u64) {
        let moment = self.moment();
        let delay = self.random.random_range(1..200);
        let vm = &mut self.vms[index];
        let reply = vm
            .keeper
            .reply(heartbeat, LocalMoment::from_millis(arrived), moment);

        vm.messages.push((
            self.now + delay,
            InFlightMessage::Reply(reply, sent, heartbeat.sequence),
        ));
    }

    /// Goes on with a call whose response has arrived, or gives it up when its time is over.
    fn advance(&mut self, index: usize, mut call: NodeCall) {
        let now = self.now;
        if let CallCause::Heartbeat(_, _, arrived) = &call.cause
            && now >= arrived + READ_LIMIT_MS
        {
            let cause = call.cause.clone();
            self.abandon(call);
            self.reply_to(index, &cause);
            return;
        }
        let is_pending = matches!(call.state, CallState::Reading | CallState::Writing(..));
        if now < call.responds || is_pending {
            self.vms[index].calls.push(call);
            return;
        }

        match std::mem::replace(&mut call.state, CallState::Reading) {
            CallState::Read(Some((revision, table))) => {
                self.record_read(index, call, revision, &table);
            }
            CallState::Wrote(pending, table, outcome) => {
                self.record_write(index, call, pending, table, outcome);
            }
            _ => self.reply_to(index, &call.cause),
        }
    }

    /// Records a read of the table, and sends the write that follows from it or replies.
    fn record_read(
        &mut self,
        index: usize,
        mut call: NodeCall,
        revision: StoreRevision,
        table: &RangeTable,
    ) {
        let moment = self.moment();
        let began = LocalMoment::from_millis(call.began);
        let read_sent = LocalMoment::from_millis(call.read_sent);
        let vm = &mut self.vms[index];
        vm.known = vm.known.max(revision);
        let change = vm.keeper.begin_settling(
            table,
            revision,
            read_sent,
            moment,
            |keeper, next| match &call.cause {
                CallCause::Heartbeat(heartbeat, ..) => keeper.settle(heartbeat, next),
                CallCause::Lapse => keeper.free_lapsed(next, began),
            },
        );
        let Some(change) = change else {
            self.reply_to(index, &call.cause);
            return;
        };

        let pending = vm.keeper.begin_write(revision, change.table.clone());
        call.lands = self.now + self.call_delay() / 2;
        call.responds = call.lands + self.call_delay();
        call.state = CallState::Writing(pending, revision, change.table);
        self.vms[index].calls.push(call);
    }

    /// Records the outcome of a write, and reads the table again or replies.
    fn record_write(
        &mut self,
        index: usize,
        call: NodeCall,
        pending: PendingWrite,
        table: RangeTable,
        outcome: WriteOutcome,
    ) {
        let read_sent = LocalMoment::from_millis(call.read_sent);
        let vm = &mut self.vms[index];
        match outcome {
            WriteOutcome::Written(revision) => {
                vm.known = vm.known.max(revision);
                vm.keeper.record_table(table, revision, read_sent);
            }
            WriteOutcome::Refused => vm.keeper.discard_write(pending),
            WriteOutcome::Conflict if call.attempt < MAX_ATTEMPTS => {
                self.begin_read(index, call.cause, call.began, call.attempt + 1);
                return;
            }
            WriteOutcome::Conflict | WriteOutcome::Unknown => {}
        }

        self.reply_to(index, &call.cause);
    }
}
