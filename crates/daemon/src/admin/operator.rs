//! Plans and confirmations, executed against the platform.

use crate::fleet::{CONFIG_KEY, PLANS_PREFIX};
use compio::time::sleep;
use std::{collections::VecDeque, rc::Rc};
use tracing::info;
use wagtail_core::{
    CoreError, Result,
    ports::{PlatformStore, StoredValue},
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_intent::{
    ConfigOutcome, IntentAction, IntentEvent, IntentMachine, IntentReply, PlanDocument,
    PlanOutcome, WriteOutcome,
};
use wagtail_net::clock;

/// Runs an operator's call through the intent machine until it replies. Returns `None` if the
/// machine has neither an action nor a pause left.
pub async fn run_call(
    store: &Rc<dyn PlatformStore>,
    seed: u64,
    event: IntentEvent,
) -> Option<IntentReply> {
    let mut machine = IntentMachine::new(seed);
    let mut actions = VecDeque::from(machine.handle(clock::now(), event));
    let mut wake_at: Option<LocalMoment> = None;

    loop {
        let Some(action) = actions.pop_front() else {
            // All actions are done; only a pause is left.
            let due = wake_at.take()?;
            sleep(due.since(clock::now())).await;
            actions.extend(machine.handle(clock::now(), IntentEvent::Tick));
            continue;
        };

        let event = match action {
            IntentAction::Answer { reply, .. } => return Some(reply),
            IntentAction::Wake { at } => {
                wake_at = Some(at);
                continue;
            }
            IntentAction::Accepted { document } => {
                info!(event = "config-accepted", version = document.version, plan = %document.plan);
                continue;
            }
            action => call_platform(store, action).await,
        };
        actions.extend(
            event
                .into_iter()
                .flat_map(|event| machine.handle(clock::now(), event)),
        );
    }
}

/// Reads a plan from the platform; `None` if it does not exist.
///
/// # Errors
///
/// Fails if the platform is unreachable or the stored plan is not valid.
pub async fn read_plan(store: &dyn PlatformStore, plan: &str) -> Result<Option<PlanDocument>> {
    let Some(stored) = store.get(&plan_key(plan)).await? else {
        return Ok(None);
    };

    serde_json::from_str(&stored.value)
        .map(Some)
        .map_err(|error| CoreError::malformed(error.to_string()))
}

/// Executes the platform call of an action and returns its outcome. Returns `None` for an action
/// that needs no call.
async fn call_platform(store: &Rc<dyn PlatformStore>, action: IntentAction) -> Option<IntentEvent> {
    match action {
        IntentAction::ReadConfig { call, attempt } => {
            let outcome = config_outcome(store.get(CONFIG_KEY).await);

            Some(IntentEvent::ConfigRead {
                call,
                attempt,
                outcome,
            })
        }
        IntentAction::ReadPlan {
            call,
            attempt,
            plan,
        } => {
            let outcome = match read_plan(&**store, &plan).await {
                Ok(Some(plan)) => PlanOutcome::Found {
                    plan: Box::new(plan),
                },
                Ok(None) => PlanOutcome::Absent,
                Err(_) => PlanOutcome::Failed,
            };

            Some(IntentEvent::PlanRead {
                call,
                attempt,
                outcome,
            })
        }
        IntentAction::WritePlan {
            call,
            attempt,
            plan,
        } => {
            let key = plan_key(&plan.id);
            let outcome = write_json(&**store, &key, &plan, 0).await;

            Some(IntentEvent::PlanWritten {
                call,
                attempt,
                outcome,
            })
        }
        IntentAction::WriteConfig {
            call,
            attempt,
            document,
            expected,
        } => {
            let outcome = write_json(&**store, CONFIG_KEY, &document, expected).await;

            Some(IntentEvent::ConfigWritten {
                call,
                attempt,
                outcome,
            })
        }
        _ => None,
    }
}

/// Converts a read of the configuration into the outcome for the intent machine.
fn config_outcome(read: Result<Option<StoredValue>>) -> ConfigOutcome {
    match read {
        Ok(Some(stored)) => match serde_json::from_str(&stored.value) {
            Ok(document) => ConfigOutcome::Found {
                version: stored.version,
                document,
            },
            Err(_) => ConfigOutcome::Failed,
        },
        Ok(None) => ConfigOutcome::Absent,
        Err(_) => ConfigOutcome::Failed,
    }
}

/// Writes a value as JSON if its stored version is still `expected`.
async fn write_json<T: serde::Serialize>(
    store: &dyn PlatformStore,
    key: &str,
    value: &T,
    expected: u64,
) -> WriteOutcome {
    let Ok(text) = serde_json::to_string(value) else {
        return WriteOutcome::NotRun;
    };

    match store.update(key, &text, expected).await {
        Ok(_) => WriteOutcome::Written,
        Err(CoreError::VersionConflict { .. }) => WriteOutcome::Conflict,
        Err(error) if error.verdict() == RunVerdict::NotRun => WriteOutcome::NotRun,
        Err(_) => WriteOutcome::Unknown,
    }
}

/// Returns the platform key of a plan.
fn plan_key(plan: &str) -> String {
    format!("{PLANS_PREFIX}{plan}")
}
