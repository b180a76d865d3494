//! Messages, bytes and processor time of the lease machines in steady state, in virtual time.

use super::{
    fit::{LineFit, f64_from_u64, f64_from_usize},
    process::{clock_cost, thread_nanos},
};
use crate::lease::driver::{MS, SECOND, World, WorldOptions};
use std::{sync::LazyLock, time::Duration};
use wagtail_core::ids::{NodeIdentity, NodeIncarnation, NodeName};
use wagtail_daemon::control::{ControlBody, ControlMessage};
use wagtail_lease::{LeaseMessage, LeaseOptions};
use wagtail_peer::frame;

/// The measured numbers of nodes.
const NODES: [usize; 5] = [14, 50, 150, 300, 620];
/// The number of slices per node while the number of nodes varies.
const FEW_SLICES: usize = 2;
/// The measured numbers of slices per node, at [`FEW_NODES`] nodes.
const SLICES: [usize; 5] = [2, 5, 10, 20, 40];
/// The number of nodes while the number of slices varies.
const FEW_NODES: usize = 30;
/// The planned number of nodes.
const PLANNED_NODES: f64 = 620.0;
/// The planned number of slices that a node owns.
const PLANNED_SLICES: f64 = 40.0;
/// The length of the measurement in virtual seconds.
const MEASURED_SECONDS: u64 = 10;
/// The rate at which slices are claimed, in writes per second.
const CLAIMS_PER_SECOND: usize = 250;
/// The default renewal interval of a daemon.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// The incarnation of a daemon: milliseconds since the Unix epoch.
const INCARNATION: u64 = 1_790_000_000_000;

/// The sender of the measured frames; no node name of the fleet is longer.
static SENDER: LazyLock<NodeIdentity> = LazyLock::new(|| {
    let name = NodeName::new("vm-620").expect("the name is valid");

    NodeIdentity::new(name, NodeIncarnation(INCARNATION))
});

/// `LeaseCost` is the load of one node per second.
#[derive(Debug, Clone, Copy)]
struct LeaseCost {
    /// The messages sent per second; as many are received.
    messages: f64,
    /// The bytes of the sent frames per second.
    bytes: f64,
    /// The events that the machine handles per second.
    events: f64,
    /// The mean microseconds of one event.
    micros: f64,
}

/// Prints the cost by the number of nodes.
pub fn by_nodes() {
    print_header();
    let costs: Vec<(f64, LeaseCost)> = NODES
        .iter()
        .map(|nodes| (f64_from_usize(*nodes), measure_row(*nodes, FEW_SLICES)))
        .collect();

    print_fits(&costs, "node", PLANNED_NODES);
}

/// Prints the cost by the number of slices that each node owns.
pub fn by_slices() {
    print_header();
    let costs: Vec<(f64, LeaseCost)> = SLICES
        .iter()
        .map(|slices| (f64_from_usize(*slices), measure_row(FEW_NODES, *slices)))
        .collect();

    print_fits(&costs, "slice", PLANNED_SLICES);
}

/// Prints the names of the columns.
fn print_header() {
    println!("nodes,slices/node,sent/node/s,bytes/node/s,bytes/message,events/node/s,us/event");
}

/// Measures one size and prints its row.
fn measure_row(nodes: usize, slices: usize) -> LeaseCost {
    let cost = measure(nodes, slices);

    println!(
        "{nodes},{slices},{:.1},{:.0},{:.1},{:.1},{:.2}",
        cost.messages,
        cost.bytes,
        cost.bytes / cost.messages,
        cost.events,
        cost.micros
    );

    cost
}

/// Prints the fitted lines, with their values at the size `at`.
fn print_fits(costs: &[(f64, LeaseCost)], by: &str, at: f64) {
    let fit = |field: fn(&LeaseCost) -> f64| {
        let points: Vec<(f64, f64)> = costs.iter().map(|(x, cost)| (*x, field(cost))).collect();
        LineFit::new(&points)
    };

    fit(|cost| cost.messages).print("sent", "messages/s", by, at);
    fit(|cost| cost.bytes).print("bytes", "B/s", by, at);
    fit(|cost| cost.micros).print("event", "us", by, at);
    fit(|cost| cost.events * cost.micros / 10_000.0).print("processor", "% of a core", by, at);
}

/// Measures the cost after every slice is served.
///
/// # Panics
///
/// Panics when a slice is not served after the claims.
fn measure(nodes: usize, slices: usize) -> LeaseCost {
    let lease = LeaseOptions {
        renew_interval: RENEW_INTERVAL,
        ..LeaseOptions::default()
    };
    let total = nodes * slices;
    let mut world = World::new(WorldOptions {
        nodes,
        zones: 5,
        slices: u32::try_from(total).unwrap_or(u32::MAX),
        longest_delay: 2 * MS,
        fenced: true,
        lease,
        measure: Some(frame_bytes),
        stopwatch: Some(thread_nanos),
        ..WorldOptions::default()
    });

    let settle = u64::try_from(total / CLAIMS_PER_SECOND + 15).unwrap_or(u64::MAX);
    world.run_for(SECOND);
    world.claim_all();
    world.run_for(settle * SECOND);

    let unserved = world
        .slices()
        .iter()
        .filter(|slice| world.owner(slice).is_none())
        .count();
    assert!(unserved == 0, "{unserved} slices are not served");

    let before = world.counts.clone();
    world.run_for(MEASURED_SECONDS * SECOND);
    let after = &world.counts;

    let each = f64_from_usize(nodes) * f64_from_u64(MEASURED_SECONDS);
    let events = after.handled - before.handled;
    let nanos = (after.handled_ns - before.handled_ns).saturating_sub(events * clock_cost());

    LeaseCost {
        messages: f64_from_u64(after.messages - before.messages) / each,
        bytes: f64_from_u64(after.bytes - before.bytes) / each,
        events: f64_from_u64(events) / each,
        micros: f64_from_u64(nanos) / f64_from_u64(events) / 1_000.0,
    }
}

/// Returns the bytes of a message as the daemon sends it.
fn frame_bytes(message: &LeaseMessage) -> usize {
    let envelope = ControlMessage {
        from: SENDER.clone(),
        body: ControlBody::Lease(message.clone()),
    };

    frame::encode(&envelope).map_or(0, |frame| frame.len())
}
