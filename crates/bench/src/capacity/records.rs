//! Memory and processor time of the records that every node holds in the lease machine and the
//! route table.

use super::{
    fit::{LineFit, f64_from_u64, f64_from_usize},
    process::{resident_kib, thread_nanos},
};
use std::{collections::BTreeSet, hint::black_box};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeIncarnation, NodeName, ServiceName, ZoneName},
    lease::LeaseRecord,
    slice::SliceId,
    units::LocalMoment,
};
use wagtail_lease::{LeaseEvent, LeaseMachine, LeaseOptions, VersionedRecord};
use wagtail_route::{RouteHint, RouteTable};

/// The number of slices that are added between two measurements.
const STEP: u32 = 8_000;
/// The number of measurements.
const STEPS: u32 = 5;
/// The planned number of slices: 620 nodes with 40 each.
const PLANNED_SLICES: f64 = 24_800.0;
/// The number of nodes of the fleet.
const NODES: u32 = 620;
/// The number of members of a record: the owner and the witnesses.
const MEMBERS: u32 = 5;
/// The number of deputies of a record.
const DEPUTIES: u32 = 4;
/// The incarnation of a daemon: milliseconds since the Unix epoch.
const INCARNATION: u64 = 1_790_000_000_000;
/// The number of lookups that are timed.
const LOOKUPS: u32 = 100_000;

/// `RecordLayout` is how a node stores the records of all slices; the output prints the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordLayout {
    /// Like the daemon: each record holds its own copies of the names.
    OwnNames,
    /// All records share one copy of each name.
    SharedNames,
    /// One copy of each name, and no records in the lease machine, only in the route table.
    RoutesOnly,
}

/// `RecordCost` is the size of all records together.
#[derive(Debug, Clone, Copy)]
struct RecordCost {
    /// The memory in KiB of the lease machine and the route table.
    memory: f64,
    /// The stored JSON texts in KiB.
    json: f64,
}

/// Prints memory, JSON size, parse time and lookup time by the number of slices.
pub fn run() {
    let layouts = [
        RecordLayout::OwnNames,
        RecordLayout::SharedNames,
        RecordLayout::RoutesOnly,
    ];

    for layout in layouts {
        println!("{layout:?}");
        println!("slices,memory KiB,json KiB,parse us/record,lookup ns");
        let rows = measure(layout);

        let points = |field: fn(&RecordCost) -> f64| -> Vec<(f64, f64)> {
            rows.iter().map(|(x, cost)| (*x, field(cost))).collect()
        };
        LineFit::new(&points(|cost| cost.memory)).print("memory", "KiB", "slice", PLANNED_SLICES);
        LineFit::new(&points(|cost| cost.json)).print("json", "KiB", "slice", PLANNED_SLICES);
    }
}

/// Measures one way of storing records by the number of slices.
fn measure(layout: RecordLayout) -> Vec<(f64, RecordCost)> {
    let name = NodeName::new("vm-0").expect("the name is valid");
    let identity = NodeIdentity::new(name, NodeIncarnation(INCARNATION));
    let zone = ZoneName::new("zone-1").expect("the name is valid");
    let mut machine = LeaseMachine::new(identity, zone, LeaseOptions::default(), 1);
    let mut routes = RouteTable::new();
    let mut names = SharedNames::default();
    let mut rows = Vec::new();
    let (mut base, mut nanos, mut bytes) = (0, 0, 0);

    // The first step fills the free lists of the allocator, so memory is counted from its end on.
    for step in 0..=STEPS {
        let texts: Vec<String> = (step * STEP..(step + 1) * STEP).map(record_text).collect();
        let started = thread_nanos();
        // Each record is parsed separately, as the daemon does.
        let mut records: Vec<VersionedRecord> = texts.iter().map(|text| parse(text)).collect();
        nanos += thread_nanos() - started;
        if layout != RecordLayout::OwnNames {
            for record in &mut records {
                names.intern_names(record);
            }
        }

        for record in &records {
            routes.learn(RouteHint::from(&record.record));
        }
        if layout != RecordLayout::RoutesOnly {
            let now = LocalMoment::from_millis(u64::from(step) + 1);
            machine.handle(now, LeaseEvent::RecordsListed(records));
        }
        let length = texts.iter().map(String::len).sum::<usize>();
        drop(texts);

        if step == 0 {
            base = resident_kib();
            nanos = 0;
            continue;
        }
        bytes += length;
        let slices = step * STEP;
        let cost = RecordCost {
            memory: f64_from_u64(resident_kib().saturating_sub(base)),
            json: f64_from_usize(bytes) / 1_024.0,
        };
        println!(
            "{slices},{:.0},{:.0},{:.2},{}",
            cost.memory,
            cost.json,
            f64_from_u64(nanos) / f64::from(slices) / 1_000.0,
            lookup_nanos(&routes, slices),
        );
        rows.push((f64::from(slices), cost));
    }

    // Leaked, so that the next measurement does not reuse memory that this one frees.
    std::mem::forget((machine, routes));
    rows
}

/// `SharedNames` interns node and service names.
#[derive(Debug, Default)]
struct SharedNames {
    nodes: BTreeSet<NodeName>,
    services: BTreeSet<ServiceName>,
}

impl SharedNames {
    /// Replaces the names of a record by the shared copies.
    fn intern_names(&mut self, record: &mut VersionedRecord) {
        let record = &mut record.record;
        let names = record.members.iter_mut().chain(&mut record.deputies);

        for name in names.chain([&mut record.owner.name]) {
            *name = intern(&mut self.nodes, name);
        }
        record.slice.service = intern(&mut self.services, &record.slice.service);
    }
}

/// Returns the shared copy of a name, which is added when it is new.
fn intern<T: Clone + Ord>(kept: &mut BTreeSet<T>, name: &T) -> T {
    if let Some(known) = kept.get(name) {
        return known.clone();
    }

    kept.insert(name.clone());
    name.clone()
}

/// Returns the mean nanoseconds of one lookup.
fn lookup_nanos(routes: &RouteTable, slices: u32) -> u64 {
    let service = ServiceName::new("agenda").expect("the name is valid");
    let started = thread_nanos();
    for lookup in 0..LOOKUPS {
        let index = lookup.wrapping_mul(7_919) % slices;
        black_box(routes.next(&SliceId::new(service.clone(), index), &[]));
    }

    (thread_nanos() - started) / u64::from(LOOKUPS)
}

/// Returns the stored JSON text of a slice's record.
fn record_text(index: u32) -> String {
    let service = ServiceName::new("agenda").expect("the name is valid");
    let owner = index % NODES;
    let starts = (0..MEMBERS).map(|place| NodeIncarnation(INCARNATION + u64::from(place)));
    let record = LeaseRecord {
        slice: SliceId::new(service, index),
        epoch: LeaseEpoch(5),
        owner: NodeIdentity::new(node(owner), NodeIncarnation(INCARNATION)),
        members: (0..MEMBERS).map(|place| node(owner + place * 7)).collect(),
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

/// Parses a stored record.
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
