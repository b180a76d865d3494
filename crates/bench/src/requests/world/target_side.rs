//! The events at the simulated targets.

use super::{ANNOUNCE, CANCEL_NOTICE, LOCAL_DELAY, World, WorldEvent};
use crate::requests::{broken::BrokenPart, checks::InvariantName, target::RunRecord};
use rand::Rng;
use std::time::Duration;
use wagtail_admit::{AdmitEvent, WorkOutcome};
use wagtail_core::verdict::RunVerdict;

/// The size of a response in bytes.
const RESPONSE_BYTES: u64 = 256;

impl World {
    /// Starts a request at its target as soon as the target is not frozen, or sheds it.
    pub(super) fn start(&mut self, attempt: usize) {
        let node = self.attempts[attempt].node;

        if let Some(until) = self.options.faults.frozen_until(node, self.now) {
            self.schedule(until, WorldEvent::Start(attempt));

            return;
        }

        if self.rng.random_bool(self.options.faults.shed) {
            let report = WorldEvent::Report(attempt, WorkOutcome::Shed);

            self.schedule(self.now + LOCAL_DELAY, report);

            return;
        }

        self.start_run(node, attempt);
    }

    /// Records the start of a run and schedules its end.
    fn start_run(&mut self, node: usize, attempt: usize) {
        let call = self.attempts[attempt].call;
        let plan = &self.calls[call].plan;
        let in_use = self.daemons[node].target.start(attempt);
        let end = self.options.faults.end(node, self.now, plan.work, in_use);

        if !plan.idempotent {
            *self.identifier_runs.entry(plan.identifier).or_default() += 1;
        }

        self.checks.check(
            InvariantName::WithinSlots,
            in_use <= self.options.size.slots as usize,
        );
        self.attempts[attempt].run = Some(self.runs.len());
        self.runs.push(RunRecord {
            call,
            attempt,
            started: self.now,
            ended: None,
            cancelled: false,
        });
        self.schedule(end, WorldEvent::RunEnd(attempt));
    }

    /// Ends a run at the target and reports it, with the truncation, delay or duplicate of the
    /// fault plan.
    pub(super) fn run_end(&mut self, attempt: usize) {
        if !self.end_slot(attempt, false) {
            return;
        }

        let faults = &self.options.faults;
        let (truncate, late, duplicate) = (faults.truncate, faults.late, faults.duplicate);
        let truncated = self.rng.random_bool(truncate);
        let outcome = if truncated && !self.is_broken(BrokenPart::PassesTruncated) {
            WorkOutcome::Failed {
                verdict: RunVerdict::Unknown,
            }
        } else {
            WorkOutcome::Answered {
                bytes: RESPONSE_BYTES,
            }
        };
        let mut arrives = self.now + LOCAL_DELAY;

        self.attempts[attempt].truncated = truncated;

        if self.rng.random_bool(late) {
            arrives = arrives + Duration::from_millis(self.rng.random_range(10..400));
        }

        self.schedule(arrives, WorldEvent::Report(attempt, outcome));

        if self.rng.random_bool(duplicate) {
            let again = arrives + Duration::from_millis(self.rng.random_range(0..50));

            self.schedule(again, WorldEvent::Report(attempt, outcome));
        }
    }

    /// Frees the slot of a run and records its end; returns whether the run held a slot.
    fn end_slot(&mut self, attempt: usize, cancelled: bool) -> bool {
        let node = self.attempts[attempt].node;

        if !self.daemons[node].target.end(attempt) {
            return false;
        }

        if let Some(run) = self.attempts[attempt].run {
            self.runs[run].ended = Some(self.now);
            self.runs[run].cancelled = cancelled;
        }

        true
    }

    /// Ends a run whose connection was closed, as soon as the target is not frozen.
    pub(super) fn notice(&mut self, attempt: usize) {
        let node = self.attempts[attempt].node;

        if let Some(until) = self.options.faults.frozen_until(node, self.now) {
            self.schedule(until + CANCEL_NOTICE, WorldEvent::Notice(attempt));

            return;
        }

        self.end_slot(attempt, true);
    }

    /// Announces a target to its daemon unless it is frozen, and schedules the next announcement.
    pub(super) fn announce(&mut self, node: usize) {
        if self.options.faults.frozen_until(node, self.now).is_none() {
            let started = self.options.faults.cold.iter();
            let started = started
                .filter(|span| span.node == node)
                .any(|span| span.from <= self.now && self.now.since(span.from) < ANNOUNCE);

            if started {
                self.announce_start(node);
            }

            self.handle(node, AdmitEvent::TargetReport { running: 0 });
        }

        if self.now < self.last_call {
            self.schedule(self.now + ANNOUNCE, WorldEvent::Announce(node));
        }
    }

    /// Announces a target that has just started to every ingress and to its daemon.
    fn announce_start(&mut self, node: usize) {
        let service = self.options.size.service_of(node);

        for ingress in &mut self.ingresses {
            ingress.record_started(self.now, service, node);
        }

        self.handle(node, AdmitEvent::TargetStarted);
    }
}
