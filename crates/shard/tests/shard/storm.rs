//! A service of several targets in virtual time, with one store and one planner at a time, and the
//! faults that befall them.

use crate::{
    simulation::{
        HeldGrant, InFlightMessage, SimulatedVm, Store, StoredTable, WriteOutcome, apply_reply,
    },
    support::{heartbeat, status},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::{heartbeat::HeldRange, objects::StoreRevision, units::LocalMoment};
use wagtail_shard::{
    balance::BalanceOptions,
    keeper::{GrantKeeper, KeeperOptions},
    load::RangeLoad,
    planner::{PlannerOptions, RangePlanner},
    table::RangeTable,
};

/// The step of the virtual clock in milliseconds.
pub const STEP_MS: u64 = 10;

/// The time between two heartbeats in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 870;

/// The number of targets of the service.
const TARGET_COUNT: usize = 5;

/// The distance between two keys that are checked.
const KEY_DISTANCE: usize = 4_099;

/// The number of keys that are checked.
pub const CHECKED_KEYS: u64 = 16;

/// `StormOptions` chooses which faults a simulation draws.
#[derive(Debug, Clone, Copy, Default)]
#[expect(clippy::struct_excessive_bools, reason = "independent choices")]
pub struct StormOptions {
    /// The probability of a fault of a VM, a target or a node in each step.
    pub fault_rate: f64,
    /// The probability in each step that the store returns from a copy.
    pub return_rate: f64,
    /// Whether the planner frees revoked rows without waiting, which breaks the rule.
    pub skip_lapse_wait: bool,
    /// Whether the store responds to nodes within a few steps. Otherwise some calls take up to 0.6 s each
    /// way, so that the calls of a node overtake each other.
    pub prompt_calls: bool,
    /// Whether nodes take over tables that the watch tells of, and reads of other nodes.
    pub shares_reads: bool,
    /// Whether the planner moves no keys to balance the load.
    pub without_balancing: bool,
}

/// `ScriptedFault` is a fault at a set time. Durations and ages are in milliseconds, targets and
/// their nodes are given by index.
#[derive(Debug, Clone, Copy)]
pub enum ScriptedFault {
    /// The store is away and returns after this time from a copy of this age.
    StoreReturns { away: u64, age: u64 },
    /// The target's process restarts.
    TargetRestarts { index: usize, down: u64 },
    /// The target stands still and goes on afterwards.
    TargetFreezes { index: usize, frozen: u64 },
    /// The target announces its leave, so that its keys move while it works.
    TargetLeaves { index: usize },
    /// The node restarts and knows nothing of before.
    NodeRestarts { index: usize, down: u64 },
    /// The node stands still and goes on with what it knew.
    NodeFreezes { index: usize, frozen: u64 },
    /// The node does not reach the store.
    StoreCut { index: usize, cut: u64 },
    /// The VM loses power, with its node and its target.
    PowerLoss { index: usize, down: u64 },
}

/// `FaultSimulation` is one run of the service under faults.
#[derive(Debug)]
pub struct FaultSimulation {
    pub(crate) now: u64,
    pub(crate) vms: Vec<SimulatedVm>,
    pub(crate) store: Store,
    planner: Option<(usize, RangePlanner)>,
    next_plan: u64,
    pub(crate) random: ChaCha8Rng,
    /// For each checked key, the highest token under which each target had it.
    highest_tokens: HashMap<u16, HashMap<String, u64>>,
    /// What the planner knows of the table; it may be outdated, as a node learns of changes late.
    planner_view: StoredTable,
    /// The era that the planner knows.
    planner_era: u64,
    /// The last read of the table by any node: when it was sent, and what the store held.
    pub(crate) last_read: (u64, StoredTable),
    /// For each checked key, how long it was held.
    pub served_ms: HashMap<u16, u64>,
    pub(crate) options: StormOptions,
}

impl FaultSimulation {
    /// Creates a simulation whose faults are drawn from a seed.
    pub fn new(seed: u64, options: StormOptions) -> Self {
        let vms = (0..TARGET_COUNT)
            .map(|index| SimulatedVm {
                name: format!("n{index}"),
                started: 1,
                target_up_at: 0,
                target_frozen_until: 0,
                sequence: 0,
                next_heartbeat: 100 * index as u64,
                holds: Vec::new(),
                released: Vec::new(),
                highest_tokens: HashMap::new(),
                keeper: GrantKeeper::new(
                    Arc::from(format!("n{index}")),
                    KeeperOptions::default(),
                    LocalMoment::ZERO,
                ),
                node_up_at: 0,
                node_frozen_until: 0,
                store_cut_until: 0,
                leaving: false,
                messages: Vec::new(),
                next_free_attempt: 0,
                calls: Vec::new(),
                known: StoreRevision::ZERO,
            })
            .collect();

        Self {
            now: 0,
            vms,
            store: Store::default(),
            planner: None,
            next_plan: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            highest_tokens: HashMap::new(),
            planner_view: None,
            planner_era: 0,
            last_read: (0, None),
            served_ms: HashMap::new(),
            options,
        }
    }

    /// Runs until `end_ms`, with the scripted faults at their times.
    ///
    /// # Panics
    ///
    /// Panics when a key has two holders, or passes to another one without a higher token.
    pub fn run(&mut self, end_ms: u64, script: &[(u64, ScriptedFault)]) {
        while self.now < end_ms {
            self.store.settle(self.now);
            let now = self.now;
            for (_, fault) in script.iter().filter(|(at, _)| *at == now) {
                self.apply_fault(*fault);
            }
            self.inject_fault();
            for index in 0..TARGET_COUNT {
                self.target(index);
                self.node(index);
            }
            self.plan();
            self.check();
            self.now += STEP_MS;
        }
    }

    /// Returns for how long the checked keys were held in total, in milliseconds.
    pub fn served_total_ms(&self) -> u64 {
        self.served_ms.values().sum()
    }

    /// Returns the checked keys that a target holds now.
    pub fn keys_of(&self, index: usize) -> Vec<u16> {
        let prefix = format!("{}@", self.vms[index].name);

        checked_keys()
            .filter(|key| {
                self.holders(*key)
                    .iter()
                    .any(|(name, _)| name.starts_with(&prefix))
            })
            .collect()
    }

    pub(crate) fn moment(&self) -> LocalMoment {
        LocalMoment::from_millis(self.now)
    }

    /// Draws the faults of this step.
    fn inject_fault(&mut self) {
        if self.options.return_rate > 0.0 && self.random.random_bool(self.options.return_rate) {
            let away = self.random.random_range(0..1_500);
            let age = self.random.random_range(500..5_000);
            self.apply_fault(ScriptedFault::StoreReturns { away, age });
        }
        if self.options.fault_rate == 0.0 || !self.random.random_bool(self.options.fault_rate) {
            return;
        }

        let index = self.random.random_range(0..TARGET_COUNT);
        let duration = self.random.random_range(300..8_000);
        let fault = match self.random.random_range(0..6) {
            0 => ScriptedFault::TargetRestarts {
                index,
                down: duration,
            },
            1 => ScriptedFault::TargetFreezes {
                index,
                frozen: duration,
            },
            2 => ScriptedFault::NodeRestarts {
                index,
                down: duration,
            },
            3 => ScriptedFault::NodeFreezes {
                index,
                frozen: duration,
            },
            4 => ScriptedFault::StoreCut {
                index,
                cut: duration,
            },
            _ => ScriptedFault::PowerLoss {
                index,
                down: duration,
            },
        };
        self.apply_fault(fault);
    }

    /// Makes a fault begin now.
    fn apply_fault(&mut self, fault: ScriptedFault) {
        let now = self.now;
        if let ScriptedFault::NodeRestarts { index, .. } | ScriptedFault::PowerLoss { index, .. } =
            fault
        {
            self.abandon_calls(index);
        }
        match fault {
            ScriptedFault::StoreReturns { away, age } => {
                self.store.return_from_copy(now, age);
                self.store.away_until = now + away;
            }
            ScriptedFault::TargetRestarts { index, down } => {
                let vm = &mut self.vms[index];
                vm.restart_target(now + down);
                vm.messages
                    .retain(|(_, message)| matches!(message, InFlightMessage::Heartbeat(..)));
            }
            ScriptedFault::TargetFreezes { index, frozen } => {
                self.vms[index].target_frozen_until = now + frozen;
            }
            ScriptedFault::TargetLeaves { index } => self.vms[index].leaving = true,
            ScriptedFault::NodeRestarts { index, down } => {
                let vm = &mut self.vms[index];
                vm.messages
                    .retain(|(_, message)| matches!(message, InFlightMessage::Reply(..)));
                vm.restart_node(now + down);
            }
            ScriptedFault::NodeFreezes { index, frozen } => {
                self.vms[index].node_frozen_until = now + frozen;
            }
            ScriptedFault::StoreCut { index, cut } => {
                self.vms[index].store_cut_until = now + cut;
            }
            ScriptedFault::PowerLoss { index, down } => {
                let vm = &mut self.vms[index];
                vm.restart_target(now + down);
                vm.messages.clear();
                vm.restart_node(now + down + 100);
            }
        }
    }

    /// Returns whether a node reaches the store.
    pub(crate) fn reaches_store(&self, index: usize) -> bool {
        self.now >= self.vms[index].store_cut_until && self.now >= self.store.away_until
    }

    /// Runs one step of a target: applies the replies that arrived and sends a heartbeat when due.
    fn target(&mut self, index: usize) {
        let now = self.now;
        let delay = self.random.random_range(1..30);
        let is_delayed = self.random.random_bool(0.03);
        let vm = &mut self.vms[index];
        if now < vm.target_up_at || now < vm.target_frozen_until {
            return;
        }
        vm.holds.retain(|hold| now < hold.until);

        let arrived = |message: &mut (u64, InFlightMessage)| {
            message.0 <= now && matches!(message.1, InFlightMessage::Reply(..))
        };
        let replies: Vec<_> = vm.messages.extract_if(.., arrived).collect();
        for (_, message) in replies {
            if let InFlightMessage::Reply(reply, sent, sequence) = message
                && now - sent <= 1_000
                && sequence == vm.sequence
            {
                apply_reply(vm, &reply, sent);
            }
        }

        if now >= vm.next_heartbeat {
            vm.sequence += 1;
            vm.next_heartbeat = now
                + if vm.released.is_empty() {
                    HEARTBEAT_INTERVAL_MS
                } else {
                    100
                };
            let holds = vm
                .holds
                .iter()
                .map(|hold| HeldRange {
                    from: hold.range.from,
                    to: hold.range.to,
                    token: hold.range.token,
                })
                .collect();
            let sent = heartbeat(
                &vm.name,
                vm.started,
                vm.sequence,
                holds,
                std::mem::take(&mut vm.released),
            );
            let wait = if is_delayed { delay * 60 } else { delay };
            vm.messages
                .push((now + wait, InFlightMessage::Heartbeat(sent, now)));
        }
    }

    /// Writes the table. Some writes take effect later, without a response, and some are refused.
    pub(crate) fn write(&mut self, expected: StoreRevision, table: RangeTable) -> WriteOutcome {
        if self.random.random_bool(0.35) {
            let due = self.now + self.random.random_range(500..6_000);
            self.store.delay(due, expected.number, table);
            return WriteOutcome::Unknown;
        }
        if self.random.random_bool(0.1) {
            return WriteOutcome::Refused;
        }

        self.store
            .write(expected.number, table, self.now)
            .map_or(WriteOutcome::Conflict, WriteOutcome::Written)
    }

    /// Runs the planner on the first node that is up and reaches the store.
    fn plan(&mut self) {
        if self.now < self.next_plan {
            return;
        }
        self.next_plan = self.now + 300;
        let now = self.now;
        let is_up = |vm: &SimulatedVm| now >= vm.node_up_at && now >= vm.node_frozen_until;
        let leader =
            (0..TARGET_COUNT).find(|index| is_up(&self.vms[*index]) && self.reaches_store(*index));
        let Some(leader) = leader else {
            self.planner = None;
            return;
        };
        let moment = self.moment();
        if self
            .planner
            .as_ref()
            .is_none_or(|(index, _)| *index != leader)
        {
            self.planner = Some((leader, RangePlanner::new(self.options(), moment)));
        }

        let names: Vec<Arc<str>> = self
            .vms
            .iter()
            .map(|vm| Arc::from(vm.name.clone()))
            .collect();
        let statuses: Vec<_> = self
            .vms
            .iter()
            .filter(|vm| is_up(vm))
            .map(|vm| {
                let mut status = status(&vm.name, vm.started, 100.0);
                status.life = vm.keeper.life().cloned();
                status.ready = status.life.is_some() && !vm.leaving;
                status.pieces = vm
                    .keeper
                    .granted()
                    .iter()
                    .map(|range| RangeLoad {
                        from: range.from,
                        to: range.to,
                        rate: f32::from(range.to - range.from) / 100.0,
                    })
                    .collect();
                status
            })
            .collect();
        let Some((_, planner)) = &mut self.planner else {
            return;
        };
        planner.set_members(&names, moment);
        for status in statuses {
            planner.answered(status, moment);
        }
        // Now and then the node has not heard of the last change yet.
        if self.random.random_bool(0.8) {
            self.planner_view.clone_from(&self.store.table);
            self.planner_era = self.store.era;
        }
        let known = self.planner_view.clone();
        let expected = known
            .as_ref()
            .map_or(StoreRevision::new(self.planner_era, 0), |(revision, _)| {
                *revision
            });
        let table = known.as_ref().map(|(_, table)| table);
        if let Some(next) = planner.plan(table, expected, moment) {
            self.write(expected, next);
        }
    }

    fn options(&self) -> PlannerOptions {
        let lapse = if self.options.skip_lapse_wait {
            Duration::ZERO
        } else {
            KeeperOptions::default().revocation_lapse()
        };

        let move_interval = if self.options.without_balancing {
            Duration::MAX
        } else {
            Duration::from_secs(2)
        };

        PlannerOptions {
            suspicion: Duration::from_millis(1_500),
            lapse,
            discovery_window: Duration::from_millis(500),
            min_move_interval: move_interval,
            overload_move_interval: move_interval,
            balance: BalanceOptions {
                min_utilisation: 0.1,
                min_difference: 0.2,
                max_moves: 4,
            },
        }
    }

    /// Returns the targets that hold a key now, each with its token.
    fn holders(&self, key: u16) -> Vec<(String, u64)> {
        let mut holders = Vec::new();
        for vm in &self.vms {
            let holds = |hold: &&HeldGrant| {
                self.now < hold.until && hold.range.from <= key && key <= hold.range.to
            };
            if let Some(hold) = vm.holds.iter().find(holds) {
                holders.push((format!("{}@{}", vm.name, vm.started), hold.range.token));
            }
        }

        holders
    }

    /// Checks that each sampled key has at most one holder, whose token is above all under which other
    /// targets had it.
    fn check(&mut self) {
        for key in checked_keys() {
            let mut holders = self.holders(key);
            assert!(
                holders.len() <= 1,
                "key {key} is held by {holders:?} at {} ms",
                self.now
            );

            let Some((name, token)) = holders.pop() else {
                continue;
            };
            *self.served_ms.entry(key).or_default() += STEP_MS;
            let highest = self.highest_tokens.entry(key).or_default();
            for (other, other_token) in highest.iter().filter(|(other, _)| **other != name) {
                assert!(
                    token > *other_token,
                    "key {key} went from {other} at {other_token} to {name} at {token} by {} ms",
                    self.now
                );
            }
            let own = highest.entry(name).or_default();
            *own = token.max(*own);
        }
    }
}

/// Returns the keys that are checked.
fn checked_keys() -> impl Iterator<Item = u16> {
    (0..=u16::MAX).step_by(KEY_DISTANCE)
}
