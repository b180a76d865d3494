//! The plan for an intent.

use crate::{
    change::{PlannedChange, RequestChange},
    diff::{diff_documents, diff_requests},
    document::IntentDocument,
    errors::{IntentError, Result},
    forecast::{estimate_unavailable, forecast_moves},
    promise::{check_intent, check_promises},
    view::FleetView,
    warnings::list_warnings,
};
use serde::{Deserialize, Serialize};
use wagtail_core::{
    ids::{NodeName, ServiceName},
    service::{AppliedPlan, ConfigDocument},
};

/// The plans that a configuration remembers for recognising repeated confirmations.
pub const RECENT_PLANS: usize = 64;

/// `SliceMove` is the slices of a service that move from one VM to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceMove {
    /// The service.
    pub service: ServiceName,
    /// The owner before.
    pub from: NodeName,
    /// The expected owner after; absent when the slices end with their service.
    pub to: Option<NodeName>,
    /// The indices of the slices.
    pub slices: Vec<u32>,
}

/// `UnavailableEstimate` is how long keys are expected to be unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnavailableEstimate {
    /// The expected time in milliseconds that each moving key is unavailable, once.
    pub key_ms: u64,
    /// The count of moving slices.
    pub slices: u64,
}

/// `PlanDocument` is what an intent would change; nothing of it is in force before it is
/// confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanDocument {
    /// The identifier of the plan.
    pub id: String,
    /// The version of the configuration that the plan was made for.
    pub base_version: u64,
    /// The configuration that the plan was made for.
    pub base: ConfigDocument,
    /// The configuration that a confirmation puts in force.
    pub document: ConfigDocument,
    /// Every difference between the two.
    pub changes: Vec<PlannedChange>,
    /// The slices that are expected to move.
    pub moves: Vec<SliceMove>,
    /// How long keys are expected to be unavailable.
    pub unavailable: UnavailableEstimate,
    /// The requests whose class or idempotency changes.
    pub requests: Vec<RequestChange>,
    /// What the operator should weigh before the confirmation.
    pub warnings: Vec<String>,
}

/// Makes the plan for an intent against the configuration in force and the known fleet.
///
/// `nonce` makes the identifier unique; two plans never share one.
///
/// # Errors
///
/// Returns [`IntentError::Refused`] with every promise that the change would break, and
/// [`IntentError::NoChange`] when the configuration in force already is as intended.
pub fn make_plan(
    intent: &IntentDocument,
    base: &ConfigDocument,
    view: &FleetView,
    nonce: u64,
) -> Result<PlanDocument> {
    let mut refusals = check_intent(intent, base, view);
    let id = format!("plan-{}-{nonce:016x}", base.version + 1);
    let document = apply_intent(intent, base, view, &id);

    refusals.extend(check_promises(base, &document, view));

    if !refusals.is_empty() {
        return Err(IntentError::Refused { refusals });
    }

    let changes = diff_documents(base, &document);

    if changes.is_empty() {
        return Err(IntentError::NoChange {
            version: base.version,
        });
    }

    let moves = forecast_moves(base, &document, view);
    let requests = diff_requests(base, &document);
    let unavailable = estimate_unavailable(&moves);
    let warnings = list_warnings(base, &document, view, &requests);

    Ok(PlanDocument {
        id,
        base_version: base.version,
        base: base.clone(),
        document,
        changes,
        moves,
        unavailable,
        requests,
        warnings,
    })
}

/// Returns the configuration that an intent makes of the one in force.
fn apply_intent(
    intent: &IntentDocument,
    base: &ConfigDocument,
    view: &FleetView,
    id: &str,
) -> ConfigDocument {
    let mut document = base.clone();

    document.version = base.version + 1;
    id.clone_into(&mut document.plan);
    document.recent.push(AppliedPlan {
        version: document.version,
        plan: id.to_owned(),
    });
    let surplus = document.recent.len().saturating_sub(RECENT_PLANS);
    document.recent.drain(..surplus);

    apply_services(intent, &mut document);
    apply_nodes(intent, view, &mut document);

    document
}

/// Declares, replaces and removes services, and keeps them sorted by name.
fn apply_services(intent: &IntentDocument, document: &mut ConfigDocument) {
    document.services.retain(|service| {
        let replaced = intent.services.iter().any(|new| new.name == service.name);

        !replaced && !intent.remove_services.contains(&service.name)
    });

    document.services.extend(intent.services.iter().cloned());
    document
        .services
        .sort_by(|left, right| left.name.cmp(&right.name));
}

/// Drains and undrains VMs, and notes those that are gone.
fn apply_nodes(intent: &IntentDocument, view: &FleetView, document: &mut ConfigDocument) {
    document.draining.extend(intent.drain.iter().cloned());
    document
        .draining
        .retain(|node| !intent.undrain.contains(node) && !intent.gone.contains(node));
    document.draining.sort();
    document.draining.dedup();

    // A later start of a VM makes the note on its earlier starts needless.
    document.gone.retain(|identity| {
        let latest = view.latest_identity(&identity.name);

        latest.is_none_or(|latest| latest.incarnation <= identity.incarnation)
            && !intent.gone.contains(&identity.name)
    });
    let gone = intent.gone.iter();
    document
        .gone
        .extend(gone.filter_map(|node| view.latest_identity(node)));
    document.gone.sort();
    document.gone.dedup();
}
