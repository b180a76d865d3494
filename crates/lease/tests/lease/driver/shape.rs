//! The shape of a run, and what happens in it.

use super::MS;
use wagtail_core::{
    ids::{LeaseEpoch, NodeName, ZoneName},
    lease::LeaseRecord,
    slice::SliceId,
};
use wagtail_lease::{LeaseEvent, LeaseMachine, LeaseMessage, LeaseOptions};

/// `WorldOptions` is the shape of a run.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    pub nodes: usize,
    pub zones: usize,
    /// The zones of the first of two regions; absent in a fleet of one region.
    pub first_region_zones: Option<usize>,
    pub slices: u32,
    pub seed: u64,
    pub loss: f64,
    pub duplicates: f64,
    pub longest_delay: u64,
    /// The time between two probes of every slice.
    pub probe: u64,
    pub lease: LeaseOptions,
    pub fenced: bool,
    /// A fault: the clock stops while the node is suspended.
    pub clock_ignores_pauses: bool,
    /// A fault: a restart keeps its incarnation.
    pub keeps_incarnation: bool,
    /// Measures the encoded size of a message.
    pub measure: Option<fn(&LeaseMessage) -> usize>,
    /// Reads a clock in nanoseconds, to measure the machines' processor time.
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

/// `WorldCounts` is what was checked and measured.
#[derive(Debug, Clone, Default)]
pub struct WorldCounts {
    pub owners: u64,
    pub epochs: u64,
    pub work: u64,
    pub records: u64,
    pub messages: u64,
    pub bytes: u64,
    pub handled: u64,
    pub handled_ns: u64,
    pub reads: u64,
    pub writes: u64,
    pub max_writes_per_second: u64,
}

/// `Step` is something that happens at a moment.
#[derive(Debug, Clone)]
pub(super) enum Step {
    Wake {
        node: usize,
        token: u64,
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

/// `Node` is one VM.
#[derive(Debug)]
pub struct Node {
    pub name: NodeName,
    pub zone: ZoneName,
    pub start: u64,
    pub machine: Option<LeaseMachine>,
    pub listed: bool,
    pub draining: bool,
    pub(super) rate_ppm: u64,
    pub(super) offset: u64,
    pub(super) skipped: u64,
    pub(super) paused_until: u64,
    pub(super) token: u64,
}

/// `Work` is one order at a target.
#[derive(Debug, Clone)]
pub(super) struct Work {
    pub(super) node: usize,
    pub(super) epoch: LeaseEpoch,
    pub(super) from: u64,
    pub(super) until: u64,
}
