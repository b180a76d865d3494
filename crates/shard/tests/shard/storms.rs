//! Random faults in virtual time: no key is ever held by two lives, and tokens only rise.

use crate::{
    support::{beat, status},
    world::{Hold, Place, Store, Travel, take_reply},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::{heartbeat::HeldRange, units::LocalMoment};
use wagtail_shard::{
    balance::BalanceOptions,
    keeper::{GrantKeeper, HeartbeatVerdict, KeeperOptions},
    load::RangeLoad,
    planner::{PlannerOptions, RangePlanner},
    table::RangeTable,
};

/// The step of the virtual clock in milliseconds.
const STEP_MS: u64 = 10;

/// The virtual time of one storm in milliseconds.
const STORM_MS: u64 = 60_000;

/// The time between two heartbeats in milliseconds.
const BEAT_MS: u64 = 870;

/// The storms of one run.
const SEEDS: u64 = 12;

/// The targets of the service.
const TARGETS: usize = 5;

/// One run.
struct Storm {
    now: u64,
    places: Vec<Place>,
    store: Store,
    planner: Option<(usize, RangePlanner)>,
    next_plan: u64,
    random: ChaCha8Rng,
    last: HashMap<u16, (String, u64)>,
    served_ms: u64,
    break_wait: bool,
}

impl Storm {
    fn new(seed: u64, break_wait: bool) -> Self {
        let places = (0..TARGETS)
            .map(|index| Place {
                name: format!("n{index}"),
                started: 1,
                target_up_at: 0,
                target_frozen_until: 0,
                sequence: 0,
                next_beat: 100 * index as u64,
                holds: Vec::new(),
                released: Vec::new(),
                highest: HashMap::new(),
                keeper: GrantKeeper::new(
                    Arc::from(format!("n{index}")),
                    KeeperOptions::default(),
                    LocalMoment::ZERO,
                ),
                node_up_at: 0,
                node_frozen_until: 0,
                cut_until: 0,
                travels: Vec::new(),
                next_free: 0,
            })
            .collect();

        Self {
            now: 0,
            places,
            store: Store::default(),
            planner: None,
            next_plan: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            last: HashMap::new(),
            served_ms: 0,
            break_wait,
        }
    }

    fn run(&mut self) {
        while self.now < STORM_MS {
            self.store.settle(self.now);
            self.faults();
            for index in 0..TARGETS {
                self.target(index);
                self.node(index);
            }
            self.plan();
            self.check();
            self.now += STEP_MS;
        }
    }

    fn moment(&self) -> LocalMoment {
        LocalMoment::from_millis(self.now)
    }

    fn faults(&mut self) {
        if !self.random.random_bool(0.006) {
            return;
        }
        let index = self.random.random_range(0..TARGETS);
        let long = self.now + self.random.random_range(300..8_000);
        let place = &mut self.places[index];
        match self.random.random_range(0..6) {
            0 => {
                // The target's process ends and starts again.
                place.target_up_at = long;
                place.holds.clear();
                place.released.clear();
                place.highest.clear();
                place.sequence = 0;
                place.started = long.max(place.started + 1);
                place.next_beat = long;
                place
                    .travels
                    .retain(|(_, travel)| matches!(travel, Travel::Beat(..)));
            }
            1 => place.target_frozen_until = long,
            2 => {
                place.node_up_at = long;
                place
                    .travels
                    .retain(|(_, travel)| matches!(travel, Travel::Reply(..)));
                place.keeper = GrantKeeper::new(
                    Arc::from(place.name.clone()),
                    KeeperOptions::default(),
                    LocalMoment::from_millis(long),
                );
            }
            3 => place.node_frozen_until = long,
            4 => place.cut_until = long,
            _ => {
                // The whole VM loses power.
                place.target_up_at = long;
                place.holds.clear();
                place.released.clear();
                place.highest.clear();
                place.sequence = 0;
                place.started = long.max(place.started + 1);
                place.next_beat = long;
                place.node_up_at = long + 100;
                place.travels.clear();
                place.keeper = GrantKeeper::new(
                    Arc::from(place.name.clone()),
                    KeeperOptions::default(),
                    LocalMoment::from_millis(long + 100),
                );
            }
        }
    }

    /// Lets a target take an answer and send a heartbeat.
    fn target(&mut self, index: usize) {
        let now = self.now;
        let delay = self.random.random_range(1..30);
        let held_up = self.random.random_bool(0.03);
        let place = &mut self.places[index];
        if now < place.target_up_at || now < place.target_frozen_until {
            return;
        }
        place.holds.retain(|hold| now < hold.until);

        let arrived =
            |travel: &mut (u64, Travel)| travel.0 <= now && matches!(travel.1, Travel::Reply(..));
        let replies: Vec<_> = place.travels.extract_if(.., arrived).collect();
        for (_, travel) in replies {
            if let Travel::Reply(reply, sent, sequence) = travel
                && now - sent <= 1_000
                && sequence == place.sequence
            {
                take_reply(place, &reply, sent);
            }
        }

        if now >= place.next_beat {
            place.sequence += 1;
            place.next_beat = now
                + if place.released.is_empty() {
                    BEAT_MS
                } else {
                    100
                };
            let holds = place
                .holds
                .iter()
                .map(|hold| HeldRange {
                    from: hold.range.from,
                    to: hold.range.to,
                    token: hold.range.token,
                })
                .collect();
            let sent = beat(
                &place.name,
                place.started,
                place.sequence,
                holds,
                std::mem::take(&mut place.released),
            );
            let wait = if held_up { delay * 60 } else { delay };
            place.travels.push((now + wait, Travel::Beat(sent, now)));
        }
    }

    /// Lets a node answer a heartbeat.
    fn node(&mut self, index: usize) {
        let now = self.now;
        let moment = self.moment();
        if now < self.places[index].node_up_at || now < self.places[index].node_frozen_until {
            return;
        }
        let arrived =
            |travel: &mut (u64, Travel)| travel.0 <= now && matches!(travel.1, Travel::Beat(..));
        let beats: Vec<_> = self.places[index].travels.extract_if(.., arrived).collect();

        for (_, travel) in beats {
            let Travel::Beat(beat, sent) = travel else {
                continue;
            };
            let place = &mut self.places[index];
            if place.keeper.accept(&beat, moment) == HeartbeatVerdict::Stale {
                continue;
            }
            if now >= place.cut_until
                && let Some((revision, table)) = self.store.table.clone()
            {
                let mut next = table.clone();
                let changed = place.keeper.settle(&beat, &mut next);
                place.keeper.record_table(table, revision, moment);
                let unsettled = place.keeper.has_unresolved_writes(revision);
                if unsettled && !changed {
                    next.touch();
                }
                if changed || unsettled {
                    self.write_beside(index, revision, next);
                }
            }

            let place = &mut self.places[index];
            let reply = place.keeper.reply(&beat, moment, moment);
            let delay = self.random.random_range(1..200);
            place
                .travels
                .push((now + delay, Travel::Reply(reply, sent, beat.sequence)));
        }

        let place = &mut self.places[index];
        if now >= place.cut_until
            && now >= place.next_free
            && let Some((revision, table)) = self.store.table.clone()
        {
            let mut next = table;
            if place.keeper.free_lapsed(&mut next, moment) {
                place.next_free = now + 300;
                self.write_beside(index, revision, next);
            }
        }
    }

    /// Lets a node write and take note of what became of it.
    fn write_beside(&mut self, index: usize, expected: u64, next: RangeTable) {
        let certain = !self.random.random_bool(0.35);
        let moment = self.moment();
        let written = certain && self.store.write(expected, next.clone());
        let revision = self.store.revision;
        let keeper = &mut self.places[index].keeper;
        keeper.begin_write(expected, next.clone());

        if written {
            keeper.record_table(next, revision, moment);
        } else if !certain {
            let due = self.now + self.random.random_range(500..6_000);
            self.store.late.push((due, expected, next));
        }
    }

    /// Writes; some writes take effect late and without an answer.
    fn write(&mut self, expected: u64, table: RangeTable) -> bool {
        if self.random.random_bool(0.35) {
            let due = self.now + self.random.random_range(500..6_000);
            self.store.late.push((due, expected, table));
            return false;
        }
        self.store.write(expected, table)
    }

    /// Lets the first node that runs spread the keys.
    fn plan(&mut self) {
        if self.now < self.next_plan {
            return;
        }
        self.next_plan = self.now + 300;
        let now = self.now;
        let up = |place: &Place| now >= place.node_up_at && now >= place.node_frozen_until;
        let Some(leader) = self
            .places
            .iter()
            .position(|place| up(place) && now >= place.cut_until)
        else {
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
            .places
            .iter()
            .map(|place| Arc::from(place.name.clone()))
            .collect();
        let statuses: Vec<_> = self
            .places
            .iter()
            .filter(|place| up(place))
            .map(|place| {
                let mut status = status(&place.name, place.started, 100.0);
                status.life = place.keeper.life().cloned();
                status.ready = status.life.is_some();
                status.pieces = place
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
        let table = self.store.table.clone();
        let next = planner.plan(table.as_ref().map(|(_, table)| table), moment);
        if let Some(next) = next {
            self.write(table.map_or(0, |(revision, _)| revision), next);
        }
    }

    fn options(&self) -> PlannerOptions {
        let lapse = if self.break_wait {
            Duration::ZERO
        } else {
            KeeperOptions::default().revocation_lapse()
        };

        PlannerOptions {
            suspicion: Duration::from_millis(1_500),
            lapse,
            discovery_window: Duration::from_millis(500),
            min_move_interval: Duration::from_secs(2),
            overload_move_interval: Duration::from_secs(2),
            balance: BalanceOptions {
                min_utilisation: 0.1,
                min_difference: 0.2,
                max_moves: 4,
            },
        }
    }

    /// Checks that each sampled key has one holder at most and that its tokens rise.
    fn check(&mut self) {
        for key in (0..=u16::MAX).step_by(4_099) {
            let mut holders = Vec::new();
            for place in &self.places {
                let holds = |hold: &&Hold| {
                    self.now < hold.until && hold.range.from <= key && key <= hold.range.to
                };
                if let Some(hold) = place.holds.iter().find(holds) {
                    holders.push((
                        format!("{}@{}", place.name, place.started),
                        hold.range.token,
                    ));
                }
            }
            assert!(
                holders.len() <= 1,
                "key {key} is held by {holders:?} at {} ms",
                self.now
            );

            let Some((name, token)) = holders.pop() else {
                continue;
            };
            self.served_ms += STEP_MS;
            if let Some((last, last_token)) = self.last.get(&key)
                && *last != name
            {
                assert!(
                    token > *last_token,
                    "key {key} went from {last} at {last_token} to {name} at {token}"
                );
            }
            self.last.insert(key, (name, token));
        }
    }
}

#[test]
fn no_key_has_two_holders_in_any_storm() {
    let mut served = 0;
    for seed in 1..=SEEDS {
        let mut storm = Storm::new(seed, false);
        storm.run();
        served += storm.served_ms;
    }

    // 16 sampled keys; a storm strikes every 1.7 s.
    let whole = SEEDS * STORM_MS * 16;
    assert!(served * 2 > whole, "{served} of {whole} ms were served");
}

/// The broken variant: without the wait for the last hold, two lives hold one key.
#[test]
fn the_storms_find_a_planner_that_does_not_wait() {
    let found =
        (1..=SEEDS).any(|seed| std::panic::catch_unwind(|| Storm::new(seed, true).run()).is_err());

    assert!(found);
}
