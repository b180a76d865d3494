//! The home of a non-idempotent request: the only target that may run it, in a service without
//! keys.
//!
//! The daemon of a target remembers the identifiers of the requests that it ran, to detect
//! duplicates. A repeated request must therefore reach the same daemon, whichever ingress the
//! caller uses. An identifier that an ingress generates contains the name of the chosen node. For
//! an identifier that the caller chose, all ingresses compute the same node by rendezvous hashing
//! over the targets that were members when the identifier was issued.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, time::Duration};
use wagtail_core::{
    Result,
    ids::{NodeName, RequestId},
    slice::KeyHash,
    units::LocalMoment,
};

/// The separator between the node and the rest of an identifier that an ingress generated. Node
/// names cannot contain it.
const NODE_SEPARATOR: char = '~';

/// `HomeOptions` are the settings of a [`HomeTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HomeOptions {
    /// The time for which the daemons of the targets remember identifiers.
    pub memory_time: Duration,
    /// The time within which every ingress learns that a target joined or left. It is also the
    /// largest difference between the clocks of callers and ingresses.
    pub margin: Duration,
    /// The time after the start of a service's first target within which further targets count as
    /// joined together with it. During this time, requests with identifiers that callers chose
    /// are not protected against a second run.
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

/// `TargetMembership` is the period from a start of a target until it leaves or restarts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
struct TargetMembership {
    /// The start that the target announced.
    joined: LocalMoment,
    /// The node that runs the target.
    node: NodeName,
    /// The moment at which the target left, or restarted and lost its memory of identifiers;
    /// `None` while it is a member.
    left: Option<LocalMoment>,
}

/// `HomeChoice` tells where a non-idempotent request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HomeChoice {
    /// Only on this node.
    Only(NodeName),
    /// Nowhere: a target that has left or restarted may have run it already, or there is none.
    Refused,
}

/// `HomeTable` holds the memberships of the targets of one service. Ended ones are kept for as
/// long as a request that ran there may be repeated.
#[derive(Debug, Clone, Default)]
pub struct HomeTable {
    /// The times that decide which membership was the home of an identifier.
    options: HomeOptions,
    /// The memberships, ordered by start.
    memberships: Vec<TargetMembership>,
}

impl HomeTable {
    /// Creates an empty table.
    pub fn new(options: HomeOptions) -> Self {
        Self {
            options,
            memberships: Vec::new(),
        }
    }

    /// Adds a target. A current target with another start has restarted and lost its memory, so
    /// its former membership ends.
    ///
    /// `joined` is the announced start, not the moment at which this ingress learned of it: all
    /// ingresses must compute the same home.
    pub fn join(&mut self, node: NodeName, joined: LocalMoment) {
        let is_current =
            |membership: &TargetMembership| membership.node == node && membership.left.is_none();

        if self
            .memberships
            .iter()
            .any(|membership| is_current(membership) && membership.joined == joined)
        {
            return;
        }

        self.leave(&node, joined);
        self.memberships.push(TargetMembership {
            joined,
            node,
            left: None,
        });
        self.memberships.sort();
    }

    /// Ends the membership of a target at `left`.
    pub fn leave(&mut self, node: &NodeName, left: LocalMoment) {
        for membership in &mut self.memberships {
            if &membership.node == node && membership.left.is_none() {
                membership.left = Some(left);
            }
        }
    }

    /// Removes the memberships that ended so long ago that the daemons no longer remember any
    /// request from then.
    pub fn expire(&mut self, now: LocalMoment) {
        let kept = self.options.memory_time + self.options.margin * 2;

        self.memberships
            .retain(|membership| membership.left.is_none_or(|left| now.since(left) <= kept));
    }

    /// Returns where a non-idempotent request may run. `issued` is the time of issue that the
    /// identifier contains, if any.
    pub fn home(
        &self,
        now: LocalMoment,
        id: &RequestId,
        issued: Option<LocalMoment>,
    ) -> HomeChoice {
        let membership = match (named_home(id), issued) {
            (Some(node), _) => self
                .memberships
                .iter()
                .rfind(|membership| membership.node == node),
            (None, Some(issued)) => self.home_at(issued - self.options.margin, id),
            (None, None) => self.stable_home(now, id),
        };
        let still_remembered = |membership: &&TargetMembership| {
            // A restarted daemon has forgotten the identifiers that were issued before.
            named_home(id).is_none() || issued.is_none_or(|issued| issued >= membership.joined)
        };

        membership
            .filter(|membership| membership.left.is_none())
            .filter(still_remembered)
            .map_or(HomeChoice::Refused, |membership| {
                HomeChoice::Only(membership.node.clone())
            })
    }

    /// Returns the home of an identifier of unknown age: the membership that has been its home for
    /// all the time for which daemons remember identifiers, or `None` if the home changed
    /// within that time.
    fn stable_home(&self, now: LocalMoment, id: &RequestId) -> Option<&TargetMembership> {
        let end = now - self.options.margin;
        let start = end - self.options.memory_time;
        let first = self.first_joined();
        let joins = self
            .memberships
            .iter()
            .map(|membership| self.effective_join(membership));
        let leaves = self
            .memberships
            .iter()
            .filter_map(|membership| membership.left);
        let changes: BTreeSet<LocalMoment> = joins
            .chain(leaves)
            .chain([start.max(first), end])
            .filter(|change| start <= *change && *change <= end)
            .collect();
        let mut homes = changes.iter().map(|change| self.home_at(*change, id));
        let home = homes.next()??;

        homes.all(|other| other == Some(home)).then_some(home)
    }

    /// Returns the home of an identifier among the members at a moment. If there was none, it is
    /// the first known membership.
    fn home_at(&self, moment: LocalMoment, id: &RequestId) -> Option<&TargetMembership> {
        let is_member = |membership: &&TargetMembership| {
            self.effective_join(membership) <= moment
                && membership.left.is_none_or(|left| left > moment)
        };

        self.memberships
            .iter()
            .filter(is_member)
            .max_by_key(|membership| rank(&membership.node, id))
            .or_else(|| self.memberships.first())
    }

    /// Returns the start of the earliest known membership.
    fn first_joined(&self) -> LocalMoment {
        self.memberships
            .first()
            .map_or(LocalMoment::ZERO, |membership| membership.joined)
    }

    /// Returns the moment from which a membership counts, see [`HomeOptions::first_start`].
    fn effective_join(&self, membership: &TargetMembership) -> LocalMoment {
        let first = self.first_joined();

        if membership.joined.since(first) <= self.options.first_start {
            first
        } else {
            membership.joined
        }
    }
}

/// Generates a request identifier that names its home node.
///
/// `unique` should be a version 7 UUID, which contains the time of issue.
///
/// # Errors
///
/// Fails if the result is not a valid request identifier.
pub fn mint_identifier(node: &NodeName, unique: &str) -> Result<RequestId> {
    RequestId::new(format!("{node}{NODE_SEPARATOR}{unique}"))
}

/// Returns the node that an identifier names, if an ingress generated the identifier.
pub fn named_home(id: &RequestId) -> Option<NodeName> {
    let (node, _) = id.as_str().split_once(NODE_SEPARATOR)?;

    NodeName::new(node).ok()
}

/// Returns the rendezvous hash of a node for an identifier; the highest rank is the home.
fn rank(node: &NodeName, id: &RequestId) -> u64 {
    let text = format!("{node}{NODE_SEPARATOR}{id}");

    KeyHash::new(text.as_bytes()).0
}
