//! Guards against a request that runs twice while its slice moves between owners, in random runs.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wagtail_admit::{
    AdmitAction, AdmitEvent, AdmitMachine, AdmitOptions, IdentifierAge, MemoryTransfer,
    WorkArrival, WorkOutcome,
};
use wagtail_core::{
    ids::{OperationName, RequestId, TenantName},
    service::WorkClass,
    units::LocalMoment,
    verdict::RunVerdict,
};

/// The slice that moves.
const SLICE: u32 = 7;

/// Returns the moment some milliseconds after the origin.
fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// The time between two steps in milliseconds.
const STEP_MS: u64 = 5;

/// `MoveMemory` is what happens to the memory when the slice moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveMemory {
    /// It is transferred, or its loss is reported.
    Reported,
    /// It is lost without a report.
    Unreported,
}

/// `MoveRun` is one random run with three nodes that own the slice in turn.
struct MoveRun {
    /// The machines of the nodes.
    nodes: [AdmitMachine; 3],
    /// The index of the owner.
    owner: usize,
    /// Whether the owner drains the slice.
    draining: bool,
    /// The requests at the targets, by node and ticket.
    in_flight: BTreeSet<(usize, u64)>,
    /// The identifier and its time of issue for each ticket.
    tickets: Vec<(usize, LocalMoment)>,
    /// The time of issue of each identifier.
    issued: Vec<LocalMoment>,
    /// How often each identifier ran.
    runs: BTreeMap<usize, u32>,
    /// Whether a loss of the remembered requests at a move is reported to the new owner.
    memory: MoveMemory,
    /// The source of randomness.
    rng: ChaCha8Rng,
    /// The count of moves and losses.
    moves: u32,
}

impl MoveRun {
    /// Creates a run with the first node as the owner.
    fn new(seed: u64, memory: MoveMemory) -> Self {
        let node = |seed| AdmitMachine::new(AdmitOptions::new(3, 10), seed);

        Self {
            nodes: [node(1), node(2), node(3)],
            owner: 0,
            draining: false,
            in_flight: BTreeSet::new(),
            tickets: Vec::new(),
            issued: Vec::new(),
            runs: BTreeMap::new(),
            memory,
            rng: ChaCha8Rng::seed_from_u64(seed),
            moves: 0,
        }
    }

    /// Runs a number of random steps.
    fn run(mut self, steps: u64) -> Self {
        for step in 1..=steps {
            let now = at(step * STEP_MS);

            match self.rng.random_range(0..100) {
                0 => self.begin_move(now),
                1 => self.lose_lease(now),
                2..50 => self.call(now),
                _ => self.end_request(now),
            }
        }

        self
    }

    /// Sends a request with a new identifier, or one of the last few, to the owner.
    fn call(&mut self, now: LocalMoment) {
        let known = self.issued.len();
        let identifier = if known > 0 && self.rng.random_bool(0.5) {
            self.rng.random_range(known.saturating_sub(10)..known)
        } else {
            self.issued.push(now);
            known
        };
        let ticket = self.tickets.len() as u64;
        let issued = self.issued[identifier];

        self.tickets.push((identifier, issued));

        let arrival = WorkArrival {
            ticket,
            id: RequestId::new(format!("call-{identifier}")).expect("a valid identifier"),
            tenant: TenantName::new("tenant").expect("a valid name"),
            operation: OperationName::new("book").expect("a valid name"),
            class: WorkClass::Short,
            idempotent: false,
            slice: Some(SLICE),
            deadline: now + Duration::from_millis(400),
            age: IdentifierAge::Issued(issued),
        };

        self.handle(now, self.owner, AdmitEvent::Arrived(arrival));
    }

    /// Passes an event to a node and carries out the resulting actions.
    fn handle(&mut self, now: LocalMoment, node: usize, event: AdmitEvent) {
        for action in self.nodes[node].handle(now, event) {
            match action {
                AdmitAction::Dispatch { ticket } => {
                    self.in_flight.insert((node, ticket));
                }
                AdmitAction::CancelAtTarget { ticket } => {
                    // The target may have run it before it noticed the cancellation.
                    self.in_flight.remove(&(node, ticket));
                    self.count_run(ticket);
                    self.report(now, node, ticket, WorkOutcome::Abandoned);
                }
                AdmitAction::SliceDrained { .. } => self.end_move(now),
                _ => {}
            }
        }
    }

    /// Reports the end of a request.
    fn report(&mut self, now: LocalMoment, node: usize, ticket: u64, outcome: WorkOutcome) {
        let event = AdmitEvent::Finished {
            ticket,
            outcome,
            took: Duration::from_millis(10),
        };

        self.handle(now, node, event);
    }

    /// Ends a request with a random outcome: completed, perhaps run, or not run.
    fn end_request(&mut self, now: LocalMoment) {
        let Some((node, ticket)) = self.in_flight.pop_first() else {
            return;
        };
        let outcome = match self.rng.random_range(0..4) {
            0 => WorkOutcome::Failed {
                verdict: RunVerdict::NotRun,
            },
            1 => WorkOutcome::Failed {
                verdict: RunVerdict::Unknown,
            },
            _ => WorkOutcome::Answered { bytes: 10 },
        };
        let ran = !matches!(
            outcome,
            WorkOutcome::Failed {
                verdict: RunVerdict::NotRun
            }
        );

        if ran {
            self.count_run(ticket);
        }

        self.report(now, node, ticket, outcome);
    }

    /// Counts a run of the identifier of a ticket.
    fn count_run(&mut self, ticket: u64) {
        let index = usize::try_from(ticket).expect("a ticket is an index");
        let (identifier, _) = self.tickets[index];

        *self.runs.entry(identifier).or_default() += 1;
    }

    /// Begins a planned move of the slice.
    fn begin_move(&mut self, now: LocalMoment) {
        if !self.draining {
            self.draining = true;
            self.handle(now, self.owner, AdmitEvent::SliceStopping { slice: SLICE });
        }
    }

    /// Ends a planned move by transferring the memory to the next owner.
    fn end_move(&mut self, now: LocalMoment) {
        let memory = self.nodes[self.owner].transfer_memory(now, SLICE);

        self.give(now, memory);
    }

    /// Takes the slice from an owner whose lease has lapsed and whose memory is unreachable.
    fn lose_lease(&mut self, now: LocalMoment) {
        self.draining = true;
        self.handle(now, self.owner, AdmitEvent::SliceLost { slice: SLICE });
        self.give(now, MemoryTransfer::Lost);
    }

    /// Gives the slice to a random other node.
    fn give(&mut self, now: LocalMoment, transfer: MemoryTransfer) {
        let former = self.owner;

        self.owner = (former + self.rng.random_range(1..3)) % 3;
        self.draining = false;
        self.moves += 1;

        if self.memory == MoveMemory::Reported {
            self.nodes[self.owner].import_memory(now, SLICE, transfer);
        }

        self.handle(now, self.owner, AdmitEvent::SliceGained { slice: SLICE });
        self.handle(now, former, AdmitEvent::TargetStarted);
    }

    /// Returns how many identifiers ran more than once.
    fn repeated(&self) -> usize {
        self.runs.values().filter(|runs| **runs > 1).count()
    }
}

#[test]
fn no_request_runs_twice_while_its_slice_moves() {
    for seed in 0..20 {
        let run = MoveRun::new(seed, MoveMemory::Reported).run(10_000);

        assert_eq!(run.repeated(), 0, "seed {seed}");
        assert!(run.moves > 50 && run.runs.len() > 200, "seed {seed}");
    }
}

#[test]
fn an_unreported_loss_of_memory_leads_to_repeated_runs() {
    let run = MoveRun::new(1, MoveMemory::Unreported).run(10_000);

    assert!(run.repeated() > 0);
}
