//! The platform of a run, with outages, delayed effects and lost responses.

use super::{BrokenPart, QueuedEvent, RaceRun};
use rand::Rng;
use std::collections::btree_map::Entry;
use wagtail_core::service::ConfigDocument;
use wagtail_intent::{ConfigOutcome, IntentAction, IntentEvent, PlanOutcome, WriteOutcome};

impl RaceRun {
    /// Sends a call to the platform. The call may be lost or delayed, or its response may be lost.
    pub(super) fn send_to_platform(&mut self, node: usize, incarnation: u64, call: IntentAction) {
        if let IntentAction::WriteConfig { call, .. } = &call {
            self.sent.insert(*call);
        }
        if self.outage {
            if self.random.random_bool(0.5)
                && let Some(event) = refused_event(&call)
            {
                if let IntentAction::WriteConfig { call, .. } = &call {
                    self.sent.remove(call);
                }
                self.after(1, 50, QueuedEvent::Intent(node, incarnation, event));
            }

            return;
        }

        let answered = self.random.random_bool(0.8);
        let latest = if self.random.random_bool(0.1) {
            5_000
        } else {
            50
        };

        if self.random.random_bool(0.95) {
            self.after(
                1,
                latest,
                QueuedEvent::PlatformCall(node, incarnation, call, answered),
            );
        }
    }

    /// Executes a call and returns its outcome to the node if the response is not lost.
    pub(super) fn run_platform_call(
        &mut self,
        node: usize,
        incarnation: u64,
        call: IntentAction,
        answered: bool,
    ) -> Result<(), String> {
        let event = match call {
            IntentAction::ReadConfig { call, attempt } => IntentEvent::ConfigRead {
                call,
                attempt,
                outcome: self.read_config(),
            },
            IntentAction::ReadPlan {
                call,
                attempt,
                plan,
            } => IntentEvent::PlanRead {
                call,
                attempt,
                outcome: self.plans.get(&plan).map_or(PlanOutcome::Absent, |plan| {
                    PlanOutcome::Found {
                        plan: Box::new(plan.clone()),
                    }
                }),
            },
            IntentAction::WritePlan {
                call,
                attempt,
                plan,
            } => {
                let outcome = match self.plans.entry(plan.id.clone()) {
                    Entry::Occupied(_) => WriteOutcome::Conflict,
                    Entry::Vacant(entry) => {
                        entry.insert(*plan);
                        WriteOutcome::Written
                    }
                };

                IntentEvent::PlanWritten {
                    call,
                    attempt,
                    outcome,
                }
            }
            IntentAction::WriteConfig {
                call,
                attempt,
                document,
                expected,
            } => {
                let outcome = self.write_config(document, expected)?;
                if outcome == WriteOutcome::Conflict {
                    self.sent.remove(&call);
                }

                IntentEvent::ConfigWritten {
                    call,
                    attempt,
                    outcome,
                }
            }
            other => return Err(format!("not a call: {other:?}")),
        };

        if answered {
            self.after(1, 50, QueuedEvent::Intent(node, incarnation, event));
        }

        Ok(())
    }

    pub(super) fn read_config(&self) -> ConfigOutcome {
        match &self.stored {
            Some((version, document)) => {
                let mut document = document.clone();
                if self.defect == BrokenPart::PlansForgotten {
                    document.recent.clear();
                }

                ConfigOutcome::Found {
                    version: *version,
                    document,
                }
            }
            None => ConfigOutcome::Absent,
        }
    }

    /// Writes the configuration and checks that it succeeds the latest accepted one.
    pub(super) fn write_config(
        &mut self,
        document: ConfigDocument,
        expected: u64,
    ) -> Result<WriteOutcome, String> {
        let found = self.stored.as_ref().map_or(0, |(version, _)| *version);

        if found != expected && self.defect != BrokenPart::UnconditionalWrite {
            return Ok(WriteOutcome::Conflict);
        }

        let last = self.history.last().map_or(0, |last| last.version);
        if document.version != last + 1 {
            return Err(format!(
                "version {} follows {last}: an accepted configuration is lost",
                document.version
            ));
        }
        for (plan, version) in &self.confirmed {
            let stamped = document.recent.iter().any(|stamp| &stamp.plan == plan);
            if !stamped && version + 64 > document.version {
                return Err(format!("{plan} was confirmed and is not remembered"));
            }
        }
        if self.refused.contains(&document.plan) {
            return Err(format!("{} was refused and is in force", document.plan));
        }

        self.revision += 7;
        self.stored = Some((self.revision, document.clone()));
        self.history.push(document);
        self.counts.writes += 1;

        Ok(WriteOutcome::Written)
    }
}

/// Returns the event for a call that the platform refused without executing it.
fn refused_event(call: &IntentAction) -> Option<IntentEvent> {
    match call {
        IntentAction::ReadConfig { call, attempt } => Some(IntentEvent::ConfigRead {
            call: *call,
            attempt: *attempt,
            outcome: ConfigOutcome::Failed,
        }),
        IntentAction::ReadPlan { call, attempt, .. } => Some(IntentEvent::PlanRead {
            call: *call,
            attempt: *attempt,
            outcome: PlanOutcome::Failed,
        }),
        IntentAction::WritePlan { call, attempt, .. } => Some(IntentEvent::PlanWritten {
            call: *call,
            attempt: *attempt,
            outcome: WriteOutcome::NotRun,
        }),
        IntentAction::WriteConfig { call, attempt, .. } => Some(IntentEvent::ConfigWritten {
            call: *call,
            attempt: *attempt,
            outcome: WriteOutcome::NotRun,
        }),
        _ => None,
    }
}
