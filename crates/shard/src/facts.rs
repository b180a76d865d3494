//! What the record of a node states for good, whatever copy the store returns from.
//!
//! Pattern: a store that returns from a copy holds an earlier record of a node. Each node that has read the later one
//! still knows what it stated. One of them writes it into the record again, as the node itself may have been restarted
//! meanwhile and know nothing of it.

use crate::departures::DepartureList;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::objects::StoreRevision;
use wagtail_gate::crash_report::CrashReport;

/// The delay before the first node restores a record, in which the node of the record may do so itself.
const FIRST_RESTORE_DELAY: Duration = Duration::from_millis(300);

/// The delay after which the next node restores it, if the one before has not.
const RESTORE_INTERVAL: Duration = Duration::from_millis(100);

/// The longest delay, however many nodes there are.
const MAX_RESTORE_DELAY: Duration = Duration::from_secs(2);

/// `NodeFacts` is what a node states of the targets of its VM and no later record takes back.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeFacts {
    /// The targets that announced their leave.
    pub departures: DepartureList,
    /// The crashes of targets, and the requests that were cleared.
    pub crashes: CrashReport,
}

impl NodeFacts {
    /// Adds other facts, and drops the crashes that are too old at `now_ms`, in milliseconds since the Unix epoch.
    pub fn merge(&mut self, other: &Self, now_ms: u64) {
        self.departures.merge(&other.departures);
        self.crashes.merge(&other.crashes);
        self.crashes.expire(now_ms);
    }
}

/// `KnownFacts` is what this node knows of another one, and whether the store lacks some of it.
#[derive(Debug, Default)]
struct KnownFacts {
    facts: NodeFacts,
    /// The era in which the stored record last stated all of them.
    era: u64,
    is_lost: bool,
}

/// `FactMemory` holds the facts from all records that were read, by the name of the node. They outlast the records.
#[derive(Debug, Default)]
pub struct FactMemory {
    nodes: BTreeMap<Arc<str>, KnownFacts>,
}

impl FactMemory {
    /// Records the facts that the stored record of a node states at a revision, and returns all that are known.
    pub fn record(
        &mut self,
        node: &Arc<str>,
        mut stated: NodeFacts,
        revision: StoreRevision,
        now_ms: u64,
    ) -> NodeFacts {
        stated.crashes.expire(now_ms);
        let known = self.nodes.entry(Arc::clone(node)).or_default();
        known.facts.merge(&stated, now_ms);

        if known.facts == stated {
            known.era = revision.era;
            known.is_lost = false;
        } else if revision.era > known.era {
            known.is_lost = true;
        }
        let facts = known.facts.clone();
        if facts == NodeFacts::default() {
            self.nodes.remove(node);
        }
        facts
    }

    /// Returns the nodes whose stored records lack facts since the store has returned from a copy.
    pub fn lost(&self) -> impl Iterator<Item = &Arc<str>> {
        let lost = self.nodes.iter().filter(|(_, known)| known.is_lost);

        lost.map(|(node, _)| node)
    }

    /// Returns whether the stored record of a node lacks facts since the store has returned from a copy.
    pub fn is_lost(&self, node: &str) -> bool {
        self.nodes.get(node).is_some_and(|known| known.is_lost)
    }
}

/// Returns how long a node waits before it restores the record of another one. The nodes take turns, in the order of
/// their names from that of the record on, so that a different one comes first for each record. `nodes` are all of
/// them, in that order.
pub fn restore_delay(own: &str, recorded: &str, nodes: &[Arc<str>]) -> Duration {
    let (after, before): (Vec<&Arc<str>>, Vec<&Arc<str>>) = nodes
        .iter()
        .filter(|node| &***node != recorded)
        .partition(|node| &***node > recorded);
    let turn = after
        .into_iter()
        .chain(before)
        .position(|node| &**node == own);
    let turn = turn.and_then(|turn| u32::try_from(turn).ok());
    let delay = turn.map(|turn| FIRST_RESTORE_DELAY + RESTORE_INTERVAL.saturating_mul(turn));

    delay.map_or(MAX_RESTORE_DELAY, |delay| delay.min(MAX_RESTORE_DELAY))
}
