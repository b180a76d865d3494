//! Load balancing for services without keys: the power of two choices, over the load and latency
//! that one ingress has observed.

use crate::state::{AttemptResult, LoadHint, TargetState};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{ids::NodeName, units::LocalMoment};

/// `ChoiceOptions` are the settings of a [`ChoiceMachine`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChoiceOptions {
    /// The number of randomly picked targets whose costs are compared for each attempt.
    pub choices: usize,
    /// The time for which a cold target gets less than its share of the requests.
    pub warmup: Duration,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        Self {
            choices: 2,
            warmup: Duration::from_secs(3),
        }
    }
}

/// `ChoiceEvent` is an input of a [`ChoiceMachine`]: what an ingress learns of the targets of one
/// service, or a request for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceEvent {
    /// A target registered, or registered again after a restart.
    Joined {
        /// The node that runs the target.
        node: NodeName,
        /// Whether the target has just started.
        cold: bool,
    },
    /// A target was removed.
    Left {
        /// The node that runs the target.
        node: NodeName,
    },
    /// A target is draining: it gets no new requests.
    Draining {
        /// The node that runs the target.
        node: NodeName,
    },
    /// A target's health endpoint reported. The report may be late or wrong.
    Health {
        /// The node that runs the target.
        node: NodeName,
        /// Whether the target was reported healthy.
        healthy: bool,
    },
    /// An attempt needs a target.
    Wanted {
        /// The number that the ingress gave to the attempt.
        attempt: u64,
        /// The nodes that earlier attempts of the same request were sent to.
        tried: Vec<NodeName>,
    },
    /// An attempt at a target ended.
    Ended {
        /// The node that runs the target.
        node: NodeName,
        /// How it ended.
        result: AttemptResult,
        /// The time from the choice of the target to the end of the attempt.
        took: Duration,
        /// The load that the response carried, if any.
        hint: Option<LoadHint>,
    },
}

/// `ChoiceAction` is the output for [`ChoiceEvent::Wanted`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceAction {
    /// Send the attempt to this node.
    Send {
        /// The number of the attempt.
        attempt: u64,
        /// The node that runs the target.
        node: NodeName,
    },
    /// No untried target accepts new attempts.
    NoTarget {
        /// The number of the attempt.
        attempt: u64,
    },
}

/// `ChoiceMachine` is a state machine without I/O that balances the requests of one service. It
/// takes the cheapest of a few randomly picked targets, with costs from the ingress's own
/// attempts. The random picks keep many ingresses from all sending to the target that looks idle.
#[derive(Debug)]
pub struct ChoiceMachine {
    /// The number of targets to compare, and the warm-up time of cold ones.
    options: ChoiceOptions,
    /// The seeded generator of the random picks.
    rng: ChaCha8Rng,
    /// The state of each known target, by its node.
    targets: BTreeMap<NodeName, TargetState>,
}

impl ChoiceMachine {
    /// Creates a machine without targets. `seed` determines the random picks.
    pub fn new(options: ChoiceOptions, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: BTreeMap::new(),
        }
    }

    /// Applies an event and returns what the ingress has to do: one action for
    /// [`ChoiceEvent::Wanted`], nothing for other events.
    pub fn handle(&mut self, now: LocalMoment, event: ChoiceEvent) -> Vec<ChoiceAction> {
        match event {
            ChoiceEvent::Joined { node, cold } => self.join(now, node, cold),
            ChoiceEvent::Left { node } => {
                self.targets.remove(&node);
            }
            ChoiceEvent::Draining { node } => {
                self.update(&node, |state| state.draining = true);
            }
            ChoiceEvent::Health { node, healthy } => {
                self.update(&node, |state| state.healthy = healthy);
            }
            ChoiceEvent::Wanted { attempt, tried } => {
                let action = self
                    .choose(now, &tried)
                    .map_or(ChoiceAction::NoTarget { attempt }, |node| {
                        ChoiceAction::Send { attempt, node }
                    });

                return vec![action];
            }
            ChoiceEvent::Ended {
                node,
                result,
                took,
                hint,
            } => self.update(&node, |state| {
                state.end(now, result, took);

                if let Some(hint) = hint {
                    state.record_hint(now, hint);
                }
            }),
        }

        Vec::new()
    }

    /// Picks an open target that is not in `tried` and counts an attempt in flight there.
    pub fn choose(&mut self, now: LocalMoment, tried: &[NodeName]) -> Option<NodeName> {
        let mut open: Vec<NodeName> = self
            .targets
            .iter()
            .filter(|(node, state)| state.is_open(now) && !tried.contains(node))
            .map(|(node, _)| node.clone())
            .collect();
        let mut best: Option<(u64, NodeName)> = None;

        for _ in 0..self.options.choices.max(1) {
            if open.is_empty() {
                break;
            }

            let index = self.rng.random_range(0..open.len());
            let node = open.swap_remove(index);
            let cost = self.targets[&node].cost(now, self.options.warmup);

            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, node));
            }
        }

        let (_, node) = best?;

        self.update(&node, |state| state.begin(now));

        Some(node)
    }

    /// Returns whether a target that is not in `tried` is open.
    pub fn has_other(&self, now: LocalMoment, tried: &[NodeName]) -> bool {
        self.targets
            .iter()
            .any(|(node, state)| state.is_open(now) && !tried.contains(node))
    }

    /// Returns the nodes of the known targets, with their states.
    pub fn targets(&self) -> impl Iterator<Item = (&NodeName, &TargetState)> {
        self.targets.iter()
    }

    /// Adds a target, or resets the state of one that restarted.
    fn join(&mut self, now: LocalMoment, node: NodeName, cold: bool) {
        let pending = self.targets.get(&node).map_or(0, |state| state.pending);
        let mut state = TargetState::new(now, cold);

        // Attempts at the previous process are still in flight; their ends decrement this count.
        state.pending = pending;
        self.targets.insert(node, state);
    }

    /// Applies `change` to the state of a target, if the target is known.
    fn update(&mut self, node: &NodeName, change: impl FnOnce(&mut TargetState)) {
        if let Some(state) = self.targets.get_mut(node) {
            change(state);
        }
    }
}
