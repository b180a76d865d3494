//! The choice of a target for services without keys.

use crate::standing::{AttemptResult, LoadHint, TargetStanding};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use wagtail_core::{ids::NodeName, units::LocalMoment};

/// `ChoiceOptions` are the settings of the choice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChoiceOptions {
    /// The targets that are compared for each attempt.
    pub choices: usize,
    /// The time for which a new target gets less than its share.
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

/// `ChoiceEvent` is something that an ingress learns of the targets of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceEvent {
    /// A target announced itself, or announced itself again after a restart.
    Joined {
        /// The node beside the target.
        node: NodeName,
        /// Whether the target has just started.
        cold: bool,
    },
    /// A target is gone.
    Left {
        /// The node beside the target.
        node: NodeName,
    },
    /// A target is to receive no new work.
    Draining {
        /// The node beside the target.
        node: NodeName,
    },
    /// A health endpoint spoke; it may lag or mislead.
    Health {
        /// The node beside the target.
        node: NodeName,
        /// What it said.
        healthy: bool,
    },
    /// An attempt wants a target.
    Wanted {
        /// The ingress's number for the attempt.
        attempt: u64,
        /// The nodes that this request was tried at.
        tried: Vec<NodeName>,
    },
    /// An attempt ended.
    Ended {
        /// The node beside the target.
        node: NodeName,
        /// How it ended.
        result: AttemptResult,
        /// The time from the choice to the end.
        took: Duration,
        /// The load that came along with the answer.
        hint: Option<LoadHint>,
    },
}

/// `ChoiceAction` is the answer to a wanted target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceAction {
    /// Send the attempt to this node.
    Send {
        /// The number of the attempt.
        attempt: u64,
        /// The node beside the target.
        node: NodeName,
    },
    /// No target is open to the attempt.
    NoTarget {
        /// The number of the attempt.
        attempt: u64,
    },
}

/// `ChoiceMachine` picks targets of one service by the ingress's own counts: the cheapest of
/// some picked at random, so that many ingresses do not all follow one hint.
#[derive(Debug)]
pub struct ChoiceMachine {
    /// The settings.
    options: ChoiceOptions,
    /// The source of the random picks.
    rng: ChaCha8Rng,
    /// The known targets.
    targets: BTreeMap<NodeName, TargetStanding>,
}

impl ChoiceMachine {
    /// Makes a machine that knows no target.
    pub fn new(options: ChoiceOptions, seed: u64) -> Self {
        Self {
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: BTreeMap::new(),
        }
    }

    /// Takes in an event and returns what the ingress does next.
    pub fn handle(&mut self, now: LocalMoment, event: ChoiceEvent) -> Vec<ChoiceAction> {
        match event {
            ChoiceEvent::Joined { node, cold } => self.join(now, node, cold),
            ChoiceEvent::Left { node } => {
                self.targets.remove(&node);
            }
            ChoiceEvent::Draining { node } => {
                self.update(&node, |standing| standing.draining = true);
            }
            ChoiceEvent::Health { node, healthy } => {
                self.update(&node, |standing| standing.healthy = healthy);
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
            } => self.update(&node, |standing| {
                standing.end(now, result, took);

                if let Some(hint) = hint {
                    standing.record_hint(now, hint);
                }
            }),
        }

        Vec::new()
    }

    /// Picks a target that was not tried and counts the attempt as under way there.
    pub fn choose(&mut self, now: LocalMoment, tried: &[NodeName]) -> Option<NodeName> {
        let mut open: Vec<NodeName> = self
            .targets
            .iter()
            .filter(|(node, standing)| standing.is_open(now) && !tried.contains(node))
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

        self.update(&node, |standing| standing.begin(now));

        Some(node)
    }

    /// Returns whether a target that was not tried is open.
    pub fn has_other(&self, now: LocalMoment, tried: &[NodeName]) -> bool {
        self.targets
            .iter()
            .any(|(node, standing)| standing.is_open(now) && !tried.contains(node))
    }

    /// Returns the known targets.
    pub fn targets(&self) -> impl Iterator<Item = (&NodeName, &TargetStanding)> {
        self.targets.iter()
    }

    /// Adds a target, or begins again with one that restarted.
    fn join(&mut self, now: LocalMoment, node: NodeName, cold: bool) {
        let pending = self
            .targets
            .get(&node)
            .map_or(0, |standing| standing.pending);
        let mut standing = TargetStanding::new(now, cold);

        // The attempts at the former process still end and are then counted out.
        standing.pending = pending;
        self.targets.insert(node, standing);
    }

    /// Changes the standing of a target, if it is known.
    fn update(&mut self, node: &NodeName, change: impl FnOnce(&mut TargetStanding)) {
        if let Some(standing) = self.targets.get_mut(node) {
            change(standing);
        }
    }
}
