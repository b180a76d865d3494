//! The records that every node knows, in the lease machine and the route table.

use super::{
    fit::{LineFit, float, float_of},
    process::{resident_kib, thread_nanos},
};
use std::hint::black_box;
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeIncarnation, NodeName, ServiceName, ZoneName},
    lease::LeaseRecord,
    slice::SliceId,
    units::LocalMoment,
};
use wagtail_lease::{LeaseEvent, LeaseMachine, LeaseOptions, VersionedRecord};
use wagtail_route::{RouteHint, RouteTable};

/// The slices that are added between two measurements.
const STEP: u32 = 8_000;
/// The measurements.
const STEPS: u32 = 5;
/// The aimed count of slices: 620 nodes with 40 each.
const AIMED: f64 = 24_800.0;
/// The nodes of the fleet.
const NODES: u32 = 620;
/// The witnesses and the owner of a record.
const SET: u32 = 5;
/// The deputies of a record.
const DEPUTIES: u32 = 4;
/// The incarnation of a daemon: milliseconds since the Unix epoch.
const INCARNATION: u64 = 1_790_000_000_000;
/// The lookups that are timed.
const LOOKUPS: u32 = 100_000;

/// Prints memory, JSON and lookup time by the count of slices.
pub fn run() {
    let name = NodeName::new("vm-0").expect("the name is valid");
    let identity = NodeIdentity::new(name, NodeIncarnation(INCARNATION));
    let zone = ZoneName::new("zone-1").expect("the name is valid");
    let mut machine = LeaseMachine::new(identity, zone, LeaseOptions::default(), 1);
    let mut routes = RouteTable::new();
    let mut machine_kib = 0;
    let mut routes_kib = 0;
    let mut rows: Vec<(f64, f64, f64, f64)> = Vec::new();

    println!("slices,machine KiB,routes KiB,json KiB,parse us/record,lookup ns");
    let mut json_bytes = 0;
    let mut parse_nanos = 0;

    for step in 0..STEPS {
        let texts: Vec<String> = (step * STEP..(step + 1) * STEP).map(record_text).collect();
        json_bytes += texts.iter().map(String::len).sum::<usize>();

        // Each record is parsed by itself, as the daemon does, so that no names are shared.
        let before = resident_kib();
        let started = thread_nanos();
        let records: Vec<VersionedRecord> = texts.iter().map(|text| parse(text)).collect();
        parse_nanos += thread_nanos() - started;
        machine.handle(
            LocalMoment::from_millis(u64::from(step) + 1),
            LeaseEvent::RecordsListed(records.clone()),
        );
        machine_kib += resident_kib() - before;

        // The hints share the names of the records until those are dropped.
        let before = resident_kib();
        for record in &records {
            routes.learn(RouteHint::from(&record.record));
        }
        routes_kib += resident_kib() - before;

        let slices = (step + 1) * STEP;
        let lookup = lookup_nanos(&routes, slices);
        println!(
            "{slices},{machine_kib},{routes_kib},{},{:.2},{lookup}",
            json_bytes / 1_024,
            float_of(parse_nanos) / f64::from(slices) / 1_000.0,
        );
        rows.push((
            f64::from(slices),
            float_of(machine_kib),
            float_of(routes_kib),
            float(json_bytes) / 1_024.0,
        ));
    }

    print_fits(&rows);
}

/// Prints the lines through the measured sizes.
fn print_fits(rows: &[(f64, f64, f64, f64)]) {
    let points = |field: fn(&(f64, f64, f64, f64)) -> f64| -> Vec<(f64, f64)> {
        rows.iter().map(|row| (row.0, field(row))).collect()
    };

    LineFit::new(&points(|row| row.1)).print("machine", "KiB", "slice", AIMED);
    LineFit::new(&points(|row| row.2)).print("routes", "KiB", "slice", AIMED);
    LineFit::new(&points(|row| row.1 + row.2)).print("both", "KiB", "slice", AIMED);
    LineFit::new(&points(|row| row.3)).print("json", "KiB", "slice", AIMED);
}

/// Returns the nanoseconds of one lookup.
fn lookup_nanos(routes: &RouteTable, slices: u32) -> u64 {
    let service = ServiceName::new("agenda").expect("the name is valid");
    let started = thread_nanos();
    for lookup in 0..LOOKUPS {
        let index = lookup.wrapping_mul(7_919) % slices;
        black_box(routes.next(&SliceId::new(service.clone(), index), &[]));
    }

    (thread_nanos() - started) / u64::from(LOOKUPS)
}

/// Returns the stored text of a slice's record.
fn record_text(index: u32) -> String {
    let service = ServiceName::new("agenda").expect("the name is valid");
    let owner = index % NODES;
    let starts = (0..SET).map(|place| NodeIncarnation(INCARNATION + u64::from(place)));
    let record = LeaseRecord {
        slice: SliceId::new(service, index),
        epoch: LeaseEpoch(5),
        owner: NodeIdentity::new(node(owner), NodeIncarnation(INCARNATION)),
        members: (0..SET).map(|place| node(owner + place * 7)).collect(),
        member_starts: starts.collect(),
        set_epoch: LeaseEpoch(5),
        replaced: None,
        deputies: (0..DEPUTIES)
            .map(|place| node(index * 31 + place))
            .collect(),
        stored_epoch: LeaseEpoch(5),
        write_id: u64::MAX - u64::from(index),
    };

    serde_json::to_string(&record).expect("a record is valid JSON")
}

/// Reads a stored record.
fn parse(text: &str) -> VersionedRecord {
    VersionedRecord {
        version: 1,
        record: serde_json::from_str(text).expect("the text is a record"),
    }
}

/// Returns the name of a node.
fn node(index: u32) -> NodeName {
    NodeName::new(format!("vm-{}", index % NODES)).expect("the name is valid")
}
