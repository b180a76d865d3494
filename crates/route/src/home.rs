//! The one target that may run a given non-idempotent request of a service without keys.
//!
//! The daemon beside a target remembers the identifiers that it ran. A repeat must therefore
//! reach the same daemon, whichever ingress the caller picks. An identifier made at an ingress
//! names the chosen node. For a caller's own identifier all ingresses compute the same node
//! from the targets that were there when the identifier was issued.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, time::Duration};
use wagtail_core::{
    Result,
    ids::{NodeName, RequestId},
    slice::KeyHash,
    units::LocalMoment,
};

/// The character between the node and the rest of an identifier made at an ingress. No node
/// name holds it.
const NODE_SEPARATOR: char = '~';

/// `HomeOptions` are the settings of a home table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HomeOptions {
    /// The time for which the daemons beside the targets remember identifiers.
    pub memory_time: Duration,
    /// The time in which every ingress learns that a target joined or left, and the largest
    /// difference between the clocks of callers and ingresses.
    pub margin: Duration,
    /// The time after the first target of a service in which further ones count as joined
    /// with it. A caller's own identifiers are not protected while it lasts.
    pub first_start: Duration,
}

impl Default for HomeOptions {
    fn default() -> Self {
        Self {
            memory_time: Duration::from_mins(2),
            margin: Duration::from_secs(2),
            first_start: Duration::from_secs(10),
        }
    }
}

/// `HomeStay` is one start of a target, from its joining to its leaving.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
struct HomeStay {
    /// The moment at which it joined.
    joined: LocalMoment,
    /// The node beside the target.
    node: NodeName,
    /// The moment at which it left, or started again without its memory.
    left: Option<LocalMoment>,
}

/// `HomeChoice` is where a non-idempotent request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HomeChoice {
    /// Only at this node.
    Only(NodeName),
    /// Nowhere: a node that is gone may have run it.
    Refused,
}

/// `HomeTable` holds the targets of one service, past ones included for as long as their runs
/// matter.
#[derive(Debug, Clone, Default)]
pub struct HomeTable {
    /// The settings.
    options: HomeOptions,
    /// The starts of targets, oldest first.
    stays: Vec<HomeStay>,
}

impl HomeTable {
    /// Makes an empty table.
    pub fn new(options: HomeOptions) -> Self {
        Self {
            options,
            stays: Vec::new(),
        }
    }

    /// Adds a target. A target that is known already has started again and lost its memory.
    ///
    /// `joined` is the announced start, not the moment at which this ingress learned of it.
    pub fn join(&mut self, node: NodeName, joined: LocalMoment) {
        let known = |stay: &HomeStay| stay.node == node && stay.left.is_none();

        if self
            .stays
            .iter()
            .any(|stay| known(stay) && stay.joined == joined)
        {
            return;
        }

        self.leave(&node, joined);
        self.stays.push(HomeStay {
            joined,
            node,
            left: None,
        });
        self.stays.sort();
    }

    /// Notes that a target is gone for good.
    pub fn leave(&mut self, node: &NodeName, left: LocalMoment) {
        for stay in &mut self.stays {
            if &stay.node == node && stay.left.is_none() {
                stay.left = Some(left);
            }
        }
    }

    /// Drops the targets that left so long ago that all of their runs are forgotten.
    pub fn expire(&mut self, now: LocalMoment) {
        let kept = self.options.memory_time + self.options.margin * 2;

        self.stays
            .retain(|stay| stay.left.is_none_or(|left| now.since(left) <= kept));
    }

    /// Returns where a non-idempotent request may run. `issued` is the time of issue that the
    /// identifier carries, if any.
    pub fn home(
        &self,
        now: LocalMoment,
        id: &RequestId,
        issued: Option<LocalMoment>,
    ) -> HomeChoice {
        let stay = match (named_home(id), issued) {
            (Some(node), _) => self.stays.iter().rfind(|stay| stay.node == node),
            (None, Some(issued)) => self.stay_at(issued - self.options.margin, id),
            (None, None) => self.lasting_stay(now, id),
        };
        let restarted = |stay: &&HomeStay| {
            // A node that started again has forgotten what was issued before.
            named_home(id).is_none() || issued.is_none_or(|issued| issued >= stay.joined)
        };

        stay.filter(|stay| stay.left.is_none())
            .filter(restarted)
            .map_or(HomeChoice::Refused, |stay| {
                HomeChoice::Only(stay.node.clone())
            })
    }

    /// Returns the stay that has been the home of an identifier of unknown age for as long as
    /// runs are remembered, or nothing when the home changed meanwhile.
    fn lasting_stay(&self, now: LocalMoment, id: &RequestId) -> Option<&HomeStay> {
        let end = now - self.options.margin;
        let start = end - self.options.memory_time;
        let first = self.first_joined();
        let joins = self.stays.iter().map(|stay| self.counted_join(stay));
        let leaves = self.stays.iter().filter_map(|stay| stay.left);
        let changes: BTreeSet<LocalMoment> = joins
            .chain(leaves)
            .chain([start.max(first), end])
            .filter(|change| start <= *change && *change <= end)
            .collect();
        let mut homes = changes.iter().map(|change| self.stay_at(*change, id));
        let home = homes.next()??;

        homes.all(|other| other == Some(home)).then_some(home)
    }

    /// Returns the home of an identifier among the targets of a moment, or the first target
    /// when there was none yet.
    fn stay_at(&self, moment: LocalMoment, id: &RequestId) -> Option<&HomeStay> {
        let there = |stay: &&HomeStay| {
            self.counted_join(stay) <= moment && stay.left.is_none_or(|left| left > moment)
        };

        self.stays
            .iter()
            .filter(there)
            .max_by_key(|stay| rank(&stay.node, id))
            .or_else(|| self.stays.first())
    }

    /// Returns the moment at which the first target joined.
    fn first_joined(&self) -> LocalMoment {
        self.stays
            .first()
            .map_or(LocalMoment::ZERO, |stay| stay.joined)
    }

    /// Returns the moment from which a target counts.
    fn counted_join(&self, stay: &HomeStay) -> LocalMoment {
        let first = self.first_joined();

        if stay.joined.since(first) <= self.options.first_start {
            first
        } else {
            stay.joined
        }
    }
}

/// Makes an identifier that names the node that keeps its answer.
///
/// # Errors
///
/// Fails when the result is no identifier; `unique` is best a UUID of version 7, which carries
/// the time of issue.
pub fn mint_identifier(node: &NodeName, unique: &str) -> Result<RequestId> {
    RequestId::new(format!("{node}{NODE_SEPARATOR}{unique}"))
}

/// Returns the node that an identifier names.
pub fn named_home(id: &RequestId) -> Option<NodeName> {
    let (node, _) = id.as_str().split_once(NODE_SEPARATOR)?;

    NodeName::new(node).ok()
}

/// Returns the rank of a node for an identifier; the highest rank is the home.
fn rank(node: &NodeName, id: &RequestId) -> u64 {
    let text = format!("{node}{NODE_SEPARATOR}{id}");

    KeyHash::new(text.as_bytes()).0
}
