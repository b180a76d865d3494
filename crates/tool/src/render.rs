//! Formats plans and reports as text for people.

use crate::table::TextTable;
use std::fmt::Write;
use wagtail_core::ids::NodeName;
use wagtail_intent::{
    PlanDocument, RequestTraits,
    change::class_name,
    reports::{
        OwnerReport, PlatformState, ServicesReport, StatusReport, TargetReport, TargetState,
        WatchReport,
    },
};

/// The number of slice indices that a row lists; it only counts the others.
const MAX_LISTED_SLICES: usize = 8;

/// Returns what a plan changes and how to confirm it.
pub fn render_plan(plan: &PlanDocument) -> String {
    let mut text = render_changes(plan);

    push_line(
        &mut text,
        format!("next: `wagtail confirm {}` puts it in force", plan.id),
    );

    text
}

/// Returns what a plan changes.
pub fn render_changes(plan: &PlanDocument) -> String {
    let mut text = String::new();

    push_line(
        &mut text,
        format!(
            "plan {} for version {}; nothing is in force yet\n",
            plan.id, plan.base_version
        ),
    );
    push_line(&mut text, "changes:");
    for change in &plan.changes {
        push_line(&mut text, format!("  {change}"));
    }

    let requests = request_table(plan);
    if !requests.is_empty() {
        push_line(
            &mut text,
            format!("\nrequests treated differently:\n{requests}"),
        );
    }

    let moves = move_table(plan);
    if !moves.is_empty() {
        push_line(
            &mut text,
            format!("\nslices that are expected to move:\n{moves}"),
        );
        push_line(
            &mut text,
            format!(
                "{} slices; each key is expected to be unavailable once for {} ms",
                plan.unavailable.slices, plan.unavailable.key_ms
            ),
        );
    }

    for warning in &plan.warnings {
        push_line(&mut text, format!("warning: {warning}"));
    }
    push_line(&mut text, "");

    text
}

/// Returns a table of the requests whose class or idempotency a plan changes.
fn request_table(plan: &PlanDocument) -> TextTable {
    let mut table = TextTable::new(&["SERVICE", "METHOD", "PATH", "BEFORE", "AFTER"]);

    for change in &plan.requests {
        table.push(vec![
            change.service.to_string(),
            change.method.clone(),
            change.path.clone(),
            describe_traits(change.before),
            describe_traits(change.after),
        ]);
    }

    table
}

/// Returns the class and idempotency of requests in words.
fn describe_traits(traits: Option<RequestTraits>) -> String {
    let Some(traits) = traits else {
        return "refused".to_owned();
    };
    let repeat = if traits.idempotent {
        "idempotent"
    } else {
        "non-idempotent"
    };

    format!("{}, {repeat}", class_name(traits.class))
}

/// Returns a table of the slice moves that a plan is expected to cause.
fn move_table(plan: &PlanDocument) -> TextTable {
    let mut table = TextTable::new(&["SERVICE", "FROM", "TO", "COUNT", "SLICES"]);

    for group in &plan.moves {
        let to = group.to.as_ref().map_or("-", NodeName::as_str);

        table.push(vec![
            group.service.to_string(),
            group.from.to_string(),
            to.to_owned(),
            group.slices.len().to_string(),
            list_slices(&group.slices),
        ]);
    }

    table
}

/// Lists the first slices and counts the rest.
fn list_slices(slices: &[u32]) -> String {
    let listed: Vec<String> = slices
        .iter()
        .take(MAX_LISTED_SLICES)
        .map(u32::to_string)
        .collect();
    let rest = slices.len().saturating_sub(MAX_LISTED_SLICES);
    let text = listed.join(" ");

    if rest == 0 {
        text
    } else {
        format!("{text} and {rest} more")
    }
}

/// Returns the state of a node with its queues and problems.
pub fn render_status(report: &StatusReport) -> String {
    let mut text = String::new();
    let mut row = |name: &str, value: String| push_line(&mut text, format!("{name:<10}{value}"));

    row("node", format!("{} in {}", report.node, report.zone));
    row(
        "config",
        describe_config(report.config_version, &report.plan),
    );
    row(
        "target",
        report
            .target
            .as_ref()
            .map_or_else(|| "none has announced itself".to_owned(), describe_target),
    );
    row(
        "leases",
        format!(
            "{} owned, {} witnessed, {} not served",
            report.leases.owned,
            report.leases.witnessed,
            report.leases.unserved.len()
        ),
    );
    row(
        "platform",
        format!(
            "{}, last answer {} ms ago; {} reads, {} writes, {} watches, {} failed",
            platform_name(report.platform.state),
            report.platform.last_answer_ms,
            report.platform.reads,
            report.platform.writes,
            report.platform.watches,
            report.platform.failures
        ),
    );

    let queues = queue_table(report);
    if !queues.is_empty() {
        push_line(&mut text, format!("\n{queues}"));
    }
    for slice in &report.leases.unserved {
        push_line(
            &mut text,
            format!(
                "not served: {} for {} ms: {}",
                slice.slice, slice.for_ms, slice.reason
            ),
        );
    }
    for problem in &report.problems {
        push_line(
            &mut text,
            format!(
                "problem: {}: {} [{}]\n  next: {}",
                problem.subject, problem.message, problem.code, problem.what_to_do
            ),
        );
    }

    text
}

/// Returns a table of the queues of a node.
fn queue_table(report: &StatusReport) -> TextTable {
    let mut table = TextTable::new(&[
        "TENANT", "CLASS", "WAITING", "ANSWERED", "REFUSED", "UNKNOWN", "P50 MS", "P99 MS",
        "P99.9 MS",
    ]);

    for queue in &report.queues {
        table.push(vec![
            queue.tenant.to_string(),
            class_name(queue.class).to_owned(),
            queue.waiting.to_string(),
            queue.answered.to_string(),
            queue.refused.to_string(),
            queue.unknown.to_string(),
            format!("{:.1}", queue.p50_ms),
            format!("{:.1}", queue.p99_ms),
            format!("{:.1}", queue.p999_ms),
        ]);
    }

    table
}

/// Returns a configuration version with the plan that made it, if there was one.
fn describe_config(version: u64, plan: &str) -> String {
    if plan.is_empty() {
        format!("version {version}")
    } else {
        format!("version {version} by {plan}")
    }
}

/// Returns the state of a target in words.
fn describe_target(target: &TargetReport) -> String {
    let state = match target.state {
        TargetState::Warming => "warming",
        TargetState::Serving => "serving",
        TargetState::Draining => "draining",
        TargetState::Unreachable => "unreachable",
    };
    let fencing = if target.fenced {
        "checks fencing tokens"
    } else {
        "checks no fencing tokens"
    };

    format!(
        "{} at {}, {state}, {} of {} slots busy, {fencing}",
        target.service, target.address, target.running, target.slots
    )
}

/// Returns the state of the platform in words.
const fn platform_name(state: PlatformState) -> &'static str {
    match state {
        PlatformState::Up => "up",
        PlatformState::Slow => "slow",
        PlatformState::Down => "down",
    }
}

/// Returns the services in force with their operations.
pub fn render_services(report: &ServicesReport) -> String {
    let mut services = TextTable::new(&[
        "SERVICE",
        "KEYED",
        "SLICES",
        "SLOTS",
        "CONNECTIONS",
        "FENCED",
        "DEADLINE MS",
    ]);
    let mut operations = TextTable::new(&[
        "SERVICE",
        "OPERATION",
        "METHOD",
        "PATH",
        "CLASS",
        "IDEMPOTENT",
    ]);

    for service in &report.services {
        let slices = if service.keyed {
            service.slices.to_string()
        } else {
            "-".to_owned()
        };
        services.push(vec![
            service.name.to_string(),
            yes_or_no(service.keyed),
            slices,
            service.slots.to_string(),
            service.connections.to_string(),
            yes_or_no(service.fenced),
            service.max_deadline_ms.to_string(),
        ]);

        for operation in &service.operations {
            operations.push(vec![
                service.name.to_string(),
                operation.name.to_string(),
                operation.method.clone(),
                operation.path.clone(),
                class_name(operation.class).to_owned(),
                yes_or_no(operation.idempotent),
            ]);
        }
    }

    let mut text = format!("version {}\n\n{services}\n{operations}", report.version);
    if !report.draining.is_empty() {
        push_line(
            &mut text,
            format!("\ndraining: {}", join_names(&report.draining)),
        );
    }

    text
}

/// Returns the slice of a key with its owner, epoch, members and deputies.
pub fn render_owner(report: &OwnerReport) -> String {
    let owner = report
        .owner
        .as_ref()
        .map_or_else(|| "none now".to_owned(), ToString::to_string);

    format!(
        "slice     {}\nowner     {owner}\nepoch     {}\nmembers   {}\ndeputies  {}\n",
        report.slice,
        report.epoch.0,
        join_names(&report.members),
        join_names(&report.deputies)
    )
}

/// Returns the version in force on one line.
pub fn render_watch(report: &WatchReport) -> String {
    describe_config(report.version, &report.plan) + "\n"
}

/// Returns the names, separated by commas.
fn join_names(names: &[NodeName]) -> String {
    let names: Vec<&str> = names.iter().map(NodeName::as_str).collect();

    names.join(", ")
}

/// Returns `yes` or `no`.
fn yes_or_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };

    text.to_owned()
}

/// Appends a line to a text.
fn push_line(text: &mut String, entry: impl AsRef<str>) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{}", entry.as_ref());
}
