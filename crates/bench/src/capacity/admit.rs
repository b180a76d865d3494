//! Processor time and memory of the admission machine of one target.

use super::{
    fit::{LineFit, f64_from_u64, f64_from_usize},
    process::{resident_kib, thread_nanos},
};
use std::{collections::VecDeque, time::Duration};
use wagtail_admit::{
    AdmitAction, AdmitEvent, AdmitMachine, AdmitOptions, IdentifierAge, WorkArrival, WorkOutcome,
};
use wagtail_core::{
    ids::{OperationName, RequestId, TenantName},
    service::WorkClass,
    units::LocalMoment,
};

/// The number of requests that are timed at each size.
const TIMED: u64 = 20_000;
/// The requests per second of one node at the planned size.
const PLANNED_RATE: f64 = 2_742.0;
/// The number of requests that the target runs at the same time.
const SLOTS: u32 = 6;
/// The time for which each request ran at the target.
const TOOK: Duration = Duration::from_millis(1);
/// The size of a response in bytes.
const RESPONSE_BYTES: u64 = 200;
/// The measured numbers of tenants.
const TENANTS: [usize; 5] = [1, 10, 100, 500, 1_000];
/// The measured numbers of remembered identifiers.
const IDENTIFIERS: [usize; 5] = [0, 20_000, 40_000, 60_000, 80_000];
/// The measured numbers of queued requests.
const QUEUED: [usize; 5] = [0, 250, 500, 1_000, 2_000];

/// `AdmitRun` drives one admission machine at a fixed virtual time.
#[derive(Debug)]
struct AdmitRun {
    /// The admission machine whose processor time and memory are measured.
    machine: AdmitMachine,
    /// The fixed virtual time.
    now: LocalMoment,
    /// The last issued ticket.
    ticket: u64,
    /// The number of tenants that send requests.
    tenants: usize,
    /// Whether the requests are idempotent.
    idempotent: bool,
    /// The tickets that the target runs, oldest first.
    running: VecDeque<u64>,
    /// The number of refused requests.
    refused: u64,
}

impl AdmitRun {
    /// Creates a run with an idle target.
    fn new(tenants: usize, idempotent: bool) -> Self {
        let options = AdmitOptions {
            slots: SLOTS,
            memory_entries: 200_000,
            ..AdmitOptions::default()
        };

        Self {
            machine: AdmitMachine::new(options, 1),
            now: LocalMoment::from_millis(1_000),
            ticket: 0,
            tenants,
            idempotent,
            running: VecDeque::new(),
            refused: 0,
        }
    }

    /// Passes an event to the machine and records its actions.
    fn handle(&mut self, event: AdmitEvent) {
        for action in self.machine.handle(self.now, event) {
            match action {
                AdmitAction::Dispatch { ticket } => self.running.push_back(ticket),
                AdmitAction::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    /// Passes the arrival of one request to the machine.
    fn arrive(&mut self) {
        self.ticket += 1;
        let tenant = usize::try_from(self.ticket).unwrap_or(0) % self.tenants;
        let arrival = WorkArrival {
            ticket: self.ticket,
            id: RequestId::new(format!("0198a1b2-c3d4-7e5f-8a9b-{:012x}", self.ticket))
                .expect("the identifier is valid"),
            tenant: TenantName::new(format!("tenant-{tenant}")).expect("the name is valid"),
            operation: OperationName::new("create").expect("the name is valid"),
            class: WorkClass::Short,
            idempotent: self.idempotent,
            deadline: self.now + Duration::from_secs(30),
            slice: Some(7),
            age: IdentifierAge::Made,
        };

        self.handle(AdmitEvent::Arrived(arrival));
    }

    /// Ends the oldest request that the target runs.
    fn finish(&mut self) {
        if let Some(ticket) = self.running.pop_front() {
            self.handle(AdmitEvent::Finished {
                ticket,
                outcome: WorkOutcome::Answered {
                    bytes: RESPONSE_BYTES,
                },
                took: TOOK,
            });
        }
    }

    /// Lets requests arrive and end, and returns the mean microseconds of each.
    fn time_requests(&mut self) -> f64 {
        let refused = self.refused;
        let started = thread_nanos();
        for _ in 0..TIMED {
            self.arrive();
            self.finish();
        }
        let nanos = thread_nanos() - started;

        assert!(self.refused == refused, "requests were refused");

        f64_from_u64(nanos) / f64_from_u64(TIMED) / 1_000.0
    }
}

/// Prints the time of an idempotent request by the number of tenants.
pub fn by_tenants() {
    println!("tenants,us/request");
    let mut points = Vec::new();

    for tenants in TENANTS {
        let mut run = AdmitRun::new(tenants, true);
        let micros = run.time_requests();
        println!("{tenants},{micros:.2}");
        points.push((f64_from_usize(tenants), micros));
    }

    let fit = LineFit::new(&points);
    fit.print("request", "us", "tenant", 100.0);
    print_core(fit.intercept + 100.0 * fit.slope);
}

/// Prints the memory and the time of a non-idempotent request by the number of remembered
/// identifiers.
pub fn by_identifiers() {
    println!("remembered,memory KiB,us/request");
    let mut run = AdmitRun::new(10, false);
    let before = resident_kib();
    let (mut memory, mut times) = (Vec::new(), Vec::new());

    for remembered in IDENTIFIERS {
        while run.machine.summary().remembered < remembered {
            run.arrive();
            run.finish();
        }

        let kib = f64_from_u64(resident_kib().saturating_sub(before));
        let micros = run.time_requests();
        println!("{remembered},{kib:.0},{micros:.2}");
        memory.push((f64_from_usize(remembered), kib));
        // The timed requests are remembered too, so the size is that at their middle.
        times.push((
            f64_from_usize(remembered) + f64_from_u64(TIMED) / 2.0,
            micros,
        ));
    }

    LineFit::new(&memory).print("memory", "KiB", "identifier", 100_000.0);
    LineFit::new(&times).print("request", "us", "identifier", 100_000.0);
}

/// Prints the time of a request by the number of queued ones.
pub fn by_queue() {
    println!("waiting,us/request");
    let mut points = Vec::new();

    for waiting in QUEUED {
        let mut run = AdmitRun::new(10, true);
        for _ in 0..waiting {
            run.arrive();
        }
        let micros = run.time_requests();
        println!("{waiting},{micros:.2}");
        points.push((f64_from_usize(waiting), micros));
    }

    LineFit::new(&points).print("request", "us", "waiting request", 100.0);
}

/// Prints the share of a core that the requests of one node take.
fn print_core(micros: f64) {
    println!(
        "at {PLANNED_RATE} requests/s and 100 tenants: {:.2} % of a core",
        micros * PLANNED_RATE / 10_000.0
    );
}
