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

/// The maximum number of plans that a configuration records to recognise repeated confirmations.
pub const MAX_RECENT_PLANS: usize = 64;

/// `SliceMove` lists slices of a service that are expected to move from one VM to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceMove {
    /// The name of the service.
    pub service: ServiceName,
    /// The VM that owns the slices when the plan is made.
    pub from: NodeName,
    /// The expected new owner; absent when the service is removed or no other target can take over.
    pub to: Option<NodeName>,
    /// The indices of the slices, ascending.
    pub slices: Vec<u32>,
}

/// `UnavailableEstimate` estimates how long keys are unavailable while their slices move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnavailableEstimate {
    /// The expected time, in milliseconds, that each moving key is unavailable, once.
    pub key_ms: u64,
    /// The number of moving slices.
    pub slices: u64,
}

/// `PlanDocument` describes what an intent would change. It has no effect before it is confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanDocument {
    /// The unique identifier, `plan-VERSION-NONCE`.
    pub id: String,
    /// The version of the configuration that the plan was made for.
    pub base_version: u64,
    /// The configuration that the plan was made for.
    pub base: ConfigDocument,
    /// The configuration that a confirmation puts in force.
    pub document: ConfigDocument,
    /// All differences between `base` and `document`.
    pub changes: Vec<PlannedChange>,
    /// The slices that are expected to move.
    pub moves: Vec<SliceMove>,
    /// How long keys are expected to be unavailable.
    pub unavailable: UnavailableEstimate,
    /// The requests whose class or idempotency changes.
    pub requests: Vec<RequestChange>,
    /// The risks that the operator should consider before the confirmation.
    pub warnings: Vec<String>,
}

/// Creates the plan for an intent from the configuration in force and the known fleet.
///
/// `nonce` makes the identifier of the plan unique.
///
/// # Errors
///
/// Returns [`IntentError::Refused`] with every guarantee that the change would break, and
/// [`IntentError::NoChange`] when the configuration in force already matches the intent.
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

/// Returns the next version of the configuration, with an intent applied to `base`.
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
    let surplus = document.recent.len().saturating_sub(MAX_RECENT_PLANS);
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

/// Updates the draining VMs and the incarnations that are declared lost.
fn apply_nodes(intent: &IntentDocument, view: &FleetView, document: &mut ConfigDocument) {
    document.draining.extend(intent.drain.iter().cloned());
    document
        .draining
        .retain(|node| !intent.undrain.contains(node) && !intent.gone.contains(node));
    document.draining.sort();
    document.draining.dedup();

    // Once a later incarnation is known, the entry on the lost one is no longer needed.
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
