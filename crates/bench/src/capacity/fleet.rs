//! Memory of the fleet state and the cost of a membership change at each node.

use super::{
    fit::{LineFit, f64_from_u64, f64_from_usize},
    process::{resident_kib, thread_nanos},
};
use std::net::{Ipv4Addr, SocketAddr};
use wagtail_core::{
    ids::{NodeIdentity, NodeIncarnation, NodeName, ServiceName, ZoneName},
    units::LocalMoment,
};
use wagtail_daemon::fleet::{FleetState, NodeEntry};
use wagtail_lease::{LeaseEvent, LeaseMachine, LeaseOptions, MemberInfo};

/// The measured numbers of nodes.
const NODES: [u32; 6] = [14, 50, 150, 300, 620, 1_240];
/// The planned number of nodes.
const PLANNED_NODES: f64 = 620.0;
/// The number of copies of the state that are held to measure the memory of one.
const KEPT_STATES: usize = 200;
/// The number of repetitions of each timed step.
const REPEATS: u32 = 50;
/// The incarnation of a daemon: milliseconds since the Unix epoch.
const INCARNATION: u64 = 1_790_000_000_000;
/// The port of the peers.
const PEERS_PORT: u16 = 7_002;

/// `FleetCost` is the cost at one fleet size.
#[derive(Debug, Clone, Copy)]
struct FleetCost {
    /// The memory in bytes of one copy of the fleet state.
    bytes: f64,
    /// The size in bytes of the stored entries of all nodes as JSON.
    json: f64,
    /// The microseconds to read one entry and copy the state, as each change does.
    copy: f64,
    /// The microseconds that the lease machine takes to apply a change of members.
    members: f64,
}

/// Prints memory and processor time by the number of nodes.
pub fn run() {
    println!("nodes,state B,entries json B,copy us,members us");

    let costs: Vec<(f64, FleetCost)> = NODES
        .iter()
        .map(|nodes| {
            let cost = measure(*nodes);
            println!(
                "{nodes},{:.0},{:.0},{:.1},{:.1}",
                cost.bytes, cost.json, cost.copy, cost.members
            );
            (f64::from(*nodes), cost)
        })
        .collect();

    let fit = |field: fn(&FleetCost) -> f64| {
        let points: Vec<(f64, f64)> = costs.iter().map(|(x, cost)| (*x, field(cost))).collect();
        LineFit::new(&points)
    };
    fit(|cost| cost.bytes).print("state", "B", "node", PLANNED_NODES);
    fit(|cost| cost.json).print("json", "B", "node", PLANNED_NODES);
    fit(|cost| cost.copy).print("copy", "us", "node", PLANNED_NODES);
    fit(|cost| cost.members).print("members", "us", "node", PLANNED_NODES);
}

/// Measures one fleet size.
fn measure(nodes: u32) -> FleetCost {
    let texts: Vec<String> = (0..nodes)
        .map(|index| serde_json::to_string(&entry(index)).expect("an entry is valid JSON"))
        .collect();

    let before = resident_kib();
    let kept: Vec<FleetState> = (0..KEPT_STATES).map(|_| read_state(&texts)).collect();
    let bytes =
        f64_from_u64(resident_kib().saturating_sub(before)) * 1_024.0 / f64_from_usize(KEPT_STATES);

    FleetCost {
        bytes,
        json: f64_from_usize(texts.iter().map(String::len).sum()),
        copy: copy_micros(&kept[0], &texts[0]),
        members: members_micros(&kept[0]),
    }
}

/// Reads a state from its stored entries.
fn read_state(texts: &[String]) -> FleetState {
    let mut state = FleetState::default();
    for text in texts {
        let entry: NodeEntry = serde_json::from_str(text).expect("the text is an entry");
        state.nodes.insert(entry.identity.name.clone(), entry);
    }

    state
}

/// Returns the mean microseconds that one changed entry costs the directory task.
fn copy_micros(state: &FleetState, text: &str) -> f64 {
    let started = thread_nanos();
    for _ in 0..REPEATS {
        let mut copy = state.clone();
        let entry: NodeEntry = serde_json::from_str(text).expect("the text is an entry");
        copy.nodes.insert(entry.identity.name.clone(), entry);
        std::hint::black_box(&copy);
    }

    micros_each(started)
}

/// Returns the mean microseconds that the lease machine takes to apply a change of members.
fn members_micros(state: &FleetState) -> f64 {
    let zone = ZoneName::new("zone-1").expect("the name is valid");
    let first = state.nodes.values().next().expect("the fleet has nodes");
    let options = LeaseOptions::default();
    let mut machine = LeaseMachine::new(first.identity.clone(), zone, options, 1);

    let started = thread_nanos();
    for repeat in 0..REPEATS {
        let members = state.nodes.values().map(|entry| MemberInfo {
            identity: entry.identity.clone(),
            zone: entry.zone.clone(),
            region: entry.region.clone(),
            service: entry.service.clone(),
            draining: state.is_leaving(entry),
        });
        let event = LeaseEvent::MembersChanged(members.collect());
        machine.handle(LocalMoment::from_millis(u64::from(repeat) * 600), event);
    }

    micros_each(started)
}

/// Returns the mean microseconds of each repetition since a reading of [`thread_nanos`].
fn micros_each(started: u64) -> f64 {
    f64_from_u64(thread_nanos() - started) / f64::from(REPEATS) / 1_000.0
}

/// Returns the entry of a node.
fn entry(index: u32) -> NodeEntry {
    let name = NodeName::new(format!("vm-{index}")).expect("the name is valid");
    let address = Ipv4Addr::from_bits(u32::from(Ipv4Addr::new(10, 0, 0, 1)) + index);

    NodeEntry {
        identity: NodeIdentity::new(name, NodeIncarnation(INCARNATION)),
        zone: ZoneName::new(format!("zone-{}", index % 5)).expect("the name is valid"),
        region: None,
        peers: SocketAddr::from((address, PEERS_PORT)),
        service: ServiceName::new("agenda").ok(),
        fenced: true,
        leaving: false,
    }
}
