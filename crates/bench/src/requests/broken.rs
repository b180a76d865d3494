//! Deliberately broken variants, one violated invariant each, which show that the checks detect it.

use crate::requests::{checks::InvariantName, naive::AdmitPolicy};
use std::{collections::VecDeque, time::Duration};
use wagtail_admit::{AdmitAction, AdmitEvent, WorkOutcome};
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};
use wagtail_route::LoadHint;

/// The time by which [`BrokenPart::HoldsBack`] delays a refusal.
const REFUSAL_DELAY: Duration = Duration::from_millis(20);

/// `BrokenPart` names the fault of a broken variant; reports print the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenPart {
    /// Remembers no request identifiers.
    ForgetsIdentifiers,
    /// Reports "not run" for a request that may have run.
    ClaimsNotRun,
    /// Uses two slots more than the target has.
    IgnoresSlots,
    /// Reuses the slot of an abandoned request at once, while the target may still run it.
    ReusesAbandoned,
    /// Delays each refusal by [`REFUSAL_DELAY`].
    HoldsBack,
    /// Sends each refusal twice.
    RefusesTwice,
    /// Sends no refusals.
    DropsRefusals,
    /// Replays the response of another request.
    ReplaysOther,
    /// Keeps requests for a minute after their deadline.
    IgnoresDeadlines,
    /// Forwards truncated responses.
    PassesTruncated,
    /// Ends no call at its deadline, neither at the daemon nor at the ingress.
    WaitsForever,
}

impl BrokenPart {
    /// All faults.
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

    /// Returns the invariant that the fault violates.
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

/// `BrokenPolicy` wraps a policy and injects one fault into its events and actions.
#[derive(Debug)]
pub struct BrokenPolicy {
    /// The policy that makes the decisions which the fault distorts.
    inner: Box<dyn AdmitPolicy>,
    /// The fault to inject.
    part: BrokenPart,
    /// The delayed refusals and the moments at which they are sent.
    held: VecDeque<(LocalMoment, AdmitAction)>,
    /// The first ticket whose response was kept.
    kept: Option<u64>,
}

impl BrokenPolicy {
    /// Wraps a policy.
    pub fn new(inner: Box<dyn AdmitPolicy>, part: BrokenPart) -> Self {
        Self {
            inner,
            part,
            held: VecDeque::new(),
            kept: None,
        }
    }

    /// Applies the faults of events that the policy receives.
    fn inject_event_fault(&self, event: AdmitEvent) -> AdmitEvent {
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

    /// Applies the faults of actions that the policy returns.
    fn inject_action_fault(&mut self, now: LocalMoment, action: AdmitAction) -> Vec<AdmitAction> {
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
                self.held.push_back((now + REFUSAL_DELAY, action));
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
        let event = self.inject_event_fault(event);
        let mut actions = Vec::new();

        for action in self.inner.handle(now, event) {
            actions.extend(self.inject_action_fault(now, action));
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
