//! The operators of a run, and the checks of the replies that they receive.

use super::{NODES, Operator, RaceRun, fixtures::service_spec};
use rand::Rng;
use std::time::Duration;
use wagtail_intent::{CallId, IntentDocument, IntentError, IntentEvent, IntentReply, PlanDocument};

impl RaceRun {
    /// Checks a reply to an operator against the history of accepted configurations.
    pub(super) fn handle_reply(&mut self, call: CallId, reply: IntentReply) -> Result<(), String> {
        let waiting = |operator: &Operator| operator.call.is_some_and(|(open, _)| open == call);
        let Some(index) = self.operators.iter().position(waiting) else {
            return Ok(());
        };
        self.operators[index].call = None;
        let Some(plan) = self.operators[index].plan.clone() else {
            return self.record_planned(index, reply);
        };

        match reply {
            IntentReply::Confirmed { version } => self.record_confirmed(index, &plan, version),
            IntentReply::Failed {
                error: IntentError::Unavailable,
            } if self.sent.contains(&call) => Err(format!(
                "{} may be in force and was called not run",
                plan.id
            )),
            IntentReply::Failed {
                error: IntentError::OutcomeUnknown { .. } | IntentError::Unavailable,
            } => {
                self.counts.unknown += 1;

                Ok(())
            }
            IntentReply::Failed { error } => {
                self.operators[index].plan = None;

                self.record_refused(&plan, &error)
            }
            IntentReply::Planned { .. } => Err("a confirmation was answered by a plan".into()),
        }
    }

    /// Handles the reply to an intent. Its plan must be the one that the platform stores.
    fn record_planned(&mut self, operator: usize, reply: IntentReply) -> Result<(), String> {
        match reply {
            IntentReply::Planned { plan } => {
                if self.plans.get(&plan.id) != Some(&*plan) {
                    return Err(format!("{} is not what the platform holds", plan.id));
                }
                self.operators[operator].plan = Some(*plan);
            }
            IntentReply::Failed {
                error: IntentError::PlanExists { .. },
            } => self.counts.id_collisions += 1,
            _ => {}
        }

        Ok(())
    }

    pub(super) fn record_confirmed(
        &mut self,
        operator: usize,
        plan: &PlanDocument,
        version: u64,
    ) -> Result<(), String> {
        let in_force = usize::try_from(version)
            .ok()
            .and_then(|version| self.history.get(version))
            .is_some_and(|document| document.plan == plan.id);

        if !in_force || version != plan.base_version + 1 {
            return Err(format!("{} did not make version {version}", plan.id));
        }

        let earlier = self.confirmed.insert(plan.id.clone(), version);
        if earlier.is_some_and(|earlier| earlier != version) {
            return Err(format!("{} was confirmed under two versions", plan.id));
        }
        self.counts.confirmed += 1;
        self.counts.repeated += u64::from(earlier.is_some());

        // Some operators confirm a second time, for example from another window.
        if self.random.random_bool(0.7) {
            self.operators[operator].plan = None;
        }

        Ok(())
    }

    pub(super) fn record_refused(
        &mut self,
        plan: &PlanDocument,
        error: &IntentError,
    ) -> Result<(), String> {
        let in_force = self.history.iter().any(|document| document.plan == plan.id);

        if in_force && !matches!(error, IntentError::ExpiredPlan { .. }) {
            return Err(format!("{} is in force and was refused: {error}", plan.id));
        }
        if !matches!(error, IntentError::ExpiredPlan { .. }) {
            self.refused.insert(plan.id.clone());
            self.counts.refused += 1;
        }

        Ok(())
    }

    /// Lets an operator plan, confirm, or abandon a call that its node lost in a restart.
    pub(super) fn operator_turn(&mut self, index: usize) -> Result<(), String> {
        if let Some((_, until)) = self.operators[index].call {
            if self.now >= until {
                self.operators[index].call = None;
            }

            return Ok(());
        }

        self.sequence += 1;
        let call = CallId(self.sequence);
        let node = self.random.random_range(0..NODES);
        let plan = self.operators[index].plan.clone();
        self.operators[index].call = Some((call, self.now + Duration::from_secs(15)));

        let event = match plan {
            None => IntentEvent::PlanRequested {
                call,
                intent: self.random_intent(),
                view: self.view.clone(),
                // A small range, so that some plans get the same identifier.
                nonce: self.random.random_range(0..20),
            },
            Some(plan) => IntentEvent::ConfirmRequested {
                call,
                plan: plan.id,
                base_version: plan.base_version,
                view: self.view.clone(),
                held: self.nodes[node].keeper.document().version,
            },
        };
        let actions = self.nodes[node].machine.handle(self.now, event);

        self.execute(node, actions)
    }

    pub(super) fn random_intent(&mut self) -> IntentDocument {
        let slots = self.random.random_range(1..100);

        IntentDocument {
            services: vec![service_spec("agenda", slots)],
            ..IntentDocument::default()
        }
    }

    /// Checks all replies once more against the complete history.
    pub(super) fn check_replies(&self) -> Result<(), String> {
        for (plan, version) in &self.confirmed {
            let index = usize::try_from(*version).map_err(|error| error.to_string())?;
            if &self.history[index].plan != plan {
                return Err(format!("{plan} was confirmed and is lost"));
            }
        }

        let lost = self
            .history
            .iter()
            .find(|document| self.refused.contains(&document.plan));

        lost.map_or(Ok(()), |document| {
            Err(format!("{} was refused and was in force", document.plan))
        })
    }
}
