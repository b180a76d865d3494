//! Variants that break one invariant each, to show that the checks find it.

use crate::requests::{checks::InvariantName, naive::AdmitPolicy};
use std::{collections::VecDeque, time::Duration};
use wagtail_admit::{AdmitAction, AdmitEvent, WorkOutcome};
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};
use wagtail_route::LoadHint;

/// The time for which [`BrokenPart::HoldsBack`] holds a refusal back.
const HOLD: Duration = Duration::from_millis(20);

/// `BrokenPart` is what a broken variant does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenPart {
    /// It remembers no identifiers.
    ForgetsIdentifiers,
    /// It says "not run" of what may have run.
    ClaimsNotRun,
    /// It uses two slots more than the target has.
    IgnoresSlots,
    /// It reuses the slots of abandoned orders at once.
    ReusesAbandoned,
    /// It refuses later than it gives up.
    HoldsBack,
    /// It refuses twice.
    RefusesTwice,
    /// It never tells the caller of a refusal.
    DropsRefusals,
    /// It replays the answer of another request.
    ReplaysOther,
    /// It runs on after the deadline.
    IgnoresDeadlines,
    /// It passes an answer on that was cut off.
    PassesTruncated,
    /// Neither it nor the ingress ends a call at its deadline.
    WaitsForever,
}

impl BrokenPart {
    /// All broken parts.
    pub const ALL: [Self; 11] = [
        Self::ForgetsIdentifiers,
        Self::ClaimsNotRun,
        Self::IgnoresSlots,
        Self::ReusesAbandoned,
        Self::HoldsBack,
        Self::RefusesTwice,
        Self::DropsRefusals,
        Self::ReplaysOther,
        Self::IgnoresDeadlines,
        Self::PassesTruncated,
        Self::WaitsForever,
    ];

    /// Returns the invariant that the part breaks.
    pub const fn breaks(self) -> InvariantName {
        match self {
            Self::ForgetsIdentifiers => InvariantName::AtMostOnce,
            Self::ClaimsNotRun => InvariantName::NotRunIsTrue,
            Self::IgnoresSlots | Self::ReusesAbandoned => InvariantName::WithinSlots,
            Self::HoldsBack | Self::DropsRefusals | Self::IgnoresDeadlines => {
                InvariantName::GivenUpAtOnce
            }
            Self::RefusesTwice => InvariantName::OneAnswer,
            Self::ReplaysOther | Self::PassesTruncated => InvariantName::OwnAnswer,
            Self::WaitsForever => InvariantName::WithinDeadline,
        }
    }
}

/// `BrokenPolicy` wraps a policy and spoils it.
#[derive(Debug)]
pub struct BrokenPolicy {
    /// The spoiled policy.
    inner: Box<dyn AdmitPolicy>,
    /// What it does wrong.
    part: BrokenPart,
    /// The refusals that are held back.
    held: VecDeque<(LocalMoment, AdmitAction)>,
    /// The last ticket whose answer was kept.
    kept: Option<u64>,
}

impl BrokenPolicy {
    /// Spoils a policy.
    pub fn new(inner: Box<dyn AdmitPolicy>, part: BrokenPart) -> Self {
        Self {
            inner,
            part,
            held: VecDeque::new(),
            kept: None,
        }
    }

    /// Spoils an event.
    fn spoil_event(&self, event: AdmitEvent) -> AdmitEvent {
        match (self.part, event) {
            (BrokenPart::ForgetsIdentifiers, AdmitEvent::Arrived(mut arrival)) => {
                arrival.idempotent = true;
                AdmitEvent::Arrived(arrival)
            }
            (BrokenPart::IgnoresDeadlines, AdmitEvent::Arrived(mut arrival)) => {
                arrival.deadline = arrival.deadline + Duration::from_mins(1);
                AdmitEvent::Arrived(arrival)
            }
            (
                BrokenPart::ReusesAbandoned,
                AdmitEvent::Finished {
                    ticket,
                    outcome: WorkOutcome::Abandoned,
                    took,
                },
            ) => AdmitEvent::Finished {
                ticket,
                outcome: WorkOutcome::Failed {
                    verdict: RunVerdict::Unknown,
                },
                took,
            },
            (_, event) => event,
        }
    }

    /// Spoils an action.
    fn spoil_action(&mut self, now: LocalMoment, action: AdmitAction) -> Vec<AdmitAction> {
        match (self.part, action) {
            (
                BrokenPart::ClaimsNotRun,
                AdmitAction::Refuse {
                    ticket,
                    refusal,
                    retry_after,
                    ..
                },
            ) => vec![AdmitAction::Refuse {
                ticket,
                refusal,
                verdict: RunVerdict::NotRun,
                retry_after,
            }],
            (BrokenPart::HoldsBack, action @ AdmitAction::Refuse { .. }) => {
                self.held.push_back((now + HOLD, action));
                Vec::new()
            }
            (BrokenPart::RefusesTwice, action @ AdmitAction::Refuse { .. }) => {
                vec![action.clone(), action]
            }
            (BrokenPart::DropsRefusals | BrokenPart::WaitsForever, AdmitAction::Refuse { .. }) => {
                Vec::new()
            }
            (BrokenPart::ReplaysOther, AdmitAction::Keep { ticket }) => {
                self.kept = self.kept.or(Some(ticket));
                vec![AdmitAction::Keep { ticket }]
            }
            (BrokenPart::ReplaysOther, AdmitAction::Replay { ticket, of }) => {
                vec![AdmitAction::Replay {
                    ticket,
                    of: self.kept.unwrap_or(of),
                }]
            }
            (_, action) => vec![action],
        }
    }
}

impl AdmitPolicy for BrokenPolicy {
    fn handle(&mut self, now: LocalMoment, event: AdmitEvent) -> Vec<AdmitAction> {
        let event = self.spoil_event(event);
        let mut actions = Vec::new();

        for action in self.inner.handle(now, event) {
            actions.extend(self.spoil_action(now, action));
        }

        while self.held.front().is_some_and(|(due, _)| *due <= now) {
            actions.extend(self.held.pop_front().map(|(_, action)| action));
        }

        actions
    }

    fn next_wakeup(&self) -> Option<LocalMoment> {
        let held = self.held.front().map(|(due, _)| *due);

        [held, self.inner.next_wakeup()].into_iter().flatten().min()
    }

    fn load(&self) -> Option<LoadHint> {
        self.inner.load()
    }
}
