//! The options, counters, nodes and steps of a simulation.

use super::MS;
use wagtail_core::{
    ids::{LeaseEpoch, NodeName, ZoneName},
    lease::LeaseRecord,
    slice::SliceId,
};
use wagtail_lease::{LeaseEvent, LeaseMachine, LeaseMessage, LeaseOptions};

/// `WorldOptions` holds the size, the network conditions and the faults of a simulation. Times are
/// in microseconds.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    pub nodes: usize,
    pub zones: usize,
    /// The zones of the first of two regions; absent in a fleet of one region.
    pub first_region_zones: Option<usize>,
    pub slices: u32,
    pub seed: u64,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message is delivered twice.
    pub duplicates: f64,
    /// The longest delay of a message.
    pub longest_delay: u64,
    /// The time between two checks of every slice.
    pub probe: u64,
    pub lease: LeaseOptions,
    /// Whether the targets check fencing tokens.
    pub fenced: bool,
    /// A fault: the clock of a node stops while the node is suspended.
    pub clock_ignores_pauses: bool,
    /// A fault: a restarted node keeps its incarnation.
    pub keeps_incarnation: bool,
    /// Measures the encoded size of a message.
    pub measure: Option<fn(&LeaseMessage) -> usize>,
    /// Reads a clock in nanoseconds, to measure the processor time of the machines.
    pub stopwatch: Option<fn() -> u64>,
}

impl Default for WorldOptions {
    fn default() -> Self {
        Self {
            nodes: 8,
            zones: 3,
            first_region_zones: None,
            slices: 4,
            seed: 1,
            loss: 0.0,
            duplicates: 0.0,
            longest_delay: 2 * MS,
            probe: 10 * MS,
            lease: LeaseOptions::default(),
            fenced: false,
            clock_ignores_pauses: false,
            keeps_incarnation: false,
            measure: None,
            stopwatch: None,
        }
    }
}

/// `WorldCounts` counts what a simulation checked and measured.
#[derive(Debug, Clone, Default)]
pub struct WorldCounts {
    /// The checks of the owners of a slice.
    pub owners: u64,
    /// The checks of an epoch at which a node starts to serve.
    pub epochs: u64,
    /// The checks of work at a target.
    pub work: u64,
    /// The checks of a stored record.
    pub records: u64,
    pub messages: u64,
    pub bytes: u64,
    pub handled: u64,
    pub handled_ns: u64,
    pub reads: u64,
    pub writes: u64,
    pub max_writes_per_second: u64,
}

/// `Step` is an event that is scheduled in virtual time.
#[derive(Debug, Clone)]
pub(super) enum Step {
    Wake {
        node: usize,
        wake_id: u64,
    },
    Deliver {
        to: usize,
        event: LeaseEvent,
        start: Option<u64>,
    },
    Write {
        node: usize,
        start: u64,
        record: LeaseRecord,
        expected: u64,
        answered: bool,
    },
    Read {
        node: usize,
        start: u64,
        slice: SliceId,
        read_id: u64,
    },
    List {
        node: usize,
        start: u64,
    },
    Probe,
    Members,
}

/// `Node` is one simulated VM.
#[derive(Debug)]
pub struct Node {
    pub name: NodeName,
    pub zone: ZoneName,
    /// The incarnation of the running process.
    pub start: u64,
    /// The lease machine; absent while the node is down.
    pub machine: Option<LeaseMachine>,
    /// Whether the platform lists the node as a member.
    pub listed: bool,
    pub draining: bool,
    /// The rate of the local clock in millionths of real time.
    pub(super) rate_ppm: u64,
    /// The local clock at the start of the simulation.
    pub(super) offset: u64,
    /// The suspended time that the local clock has not counted.
    pub(super) skipped: u64,
    pub(super) paused_until: u64,
    /// The identifier of the latest wake-up; earlier ones are ignored.
    pub(super) wake_id: u64,
}

/// `Work` is the execution of one request at a target.
#[derive(Debug, Clone)]
pub(super) struct Work {
    pub(super) node: usize,
    pub(super) epoch: LeaseEpoch,
    pub(super) from: u64,
    pub(super) until: u64,
}
