//! Placement, the choice of lease members, load measurement and the choice of moves and splits.

use assert_matches::assert_matches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeSet, time::Duration};
use wagtail_assign::{
    AssignAction, AssignEvent, AssignMachine, HotKey, LoadMessage, LoadMeter, LoadReport,
    LoadSample, MemberCandidate, PlacementTarget, SliceLoad, TargetMember, choose_members,
    place_slice, rank_targets, ranks_within,
};
use wagtail_core::{
    ids::{NodeName, ServiceName, ZoneName},
    slice::SliceId,
    units::LocalMoment,
};

fn node(index: usize) -> NodeName {
    NodeName::new(format!("vm-{index}")).unwrap()
}

fn slice(index: u32) -> SliceId {
    SliceId::new(ServiceName::new("agenda").unwrap(), index)
}

fn targets(count: usize) -> Vec<PlacementTarget> {
    (0..count)
        .map(|index| PlacementTarget::new(node(index), 6))
        .collect()
}

#[test]
fn a_joining_target_takes_slices_and_no_other_slice_moves() {
    let before = targets(9);
    let after = targets(10);
    let mut moved = 0;

    for index in 0..2_000 {
        let old = place_slice(&slice(index), &before);
        let new = place_slice(&slice(index), &after);
        if old != new {
            assert_eq!(new, Some(node(9)));
            moved += 1;
        }
    }

    // A tenth of the slices is expected to move; four standard deviations are 54.
    assert!((146..=254).contains(&moved), "{moved}");
}

#[test]
fn slices_follow_the_weights_and_ranks_agree() {
    let mut list = targets(4);
    list[0].weight = 12;
    list[1].weight = 0;
    let mut counts = [0; 4];

    for index in 0..4_000 {
        let ranked = rank_targets(&slice(index), &list);
        assert_eq!(ranked.len(), 3);
        for (rank, name) in ranked.iter().enumerate() {
            assert!(ranks_within(&slice(index), name, &list, rank + 1));
            assert!(!ranks_within(&slice(index), name, &list, rank));
        }
        let first = (0..4).find(|index| node(*index) == ranked[0]).unwrap();
        counts[first] += 1;
    }

    // The target with half of the weight is expected to own half of 4,000 slices, within four
    // standard deviations.
    assert!((1_874..=2_126).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[1], 0);
}

fn fleet(zones: &[usize]) -> Vec<MemberCandidate> {
    let member = |(index, zone): (usize, &usize)| MemberCandidate {
        node: node(index),
        zone: ZoneName::new(["az-a", "az-b", "az-c"][*zone]).unwrap(),
        deputy: index % 4 != 3,
    };

    zones.iter().enumerate().map(member).collect()
}

#[test]
fn the_loss_of_any_zone_leaves_a_majority_of_five() {
    let zones: Vec<usize> = (0..30).map(|index| index % 3).collect();
    let nodes = fleet(&zones);

    for owner in 0..30 {
        let choice = choose_members(&slice(0), &node(owner), &nodes);
        let other = choose_members(&slice(9), &node(owner), &nodes);
        assert_eq!(choice.members.len(), 5);
        assert_eq!(choice.members[0], node(owner));
        assert_eq!(
            choice.members, other.members,
            "all slices of an owner share one set of members"
        );

        let distinct: BTreeSet<_> = choice.members.iter().collect();
        assert_eq!(distinct.len(), 5);
        for zone in 0..3 {
            let in_zone = |member: &&NodeName| {
                (0..30).any(|index| zones[index] == zone && &&node(index) == member)
            };
            assert!(choice.members.iter().filter(in_zone).count() <= 2);
        }
        assert!(
            choice
                .deputies
                .iter()
                .all(|deputy| choice.members[1..].contains(deputy))
        );
    }
}

#[test]
fn the_slices_of_a_lost_node_spread_over_all_its_deputies() {
    let nodes = fleet(&[0, 1, 2, 0, 1, 2, 0, 1, 2, 0]);
    let first: BTreeSet<NodeName> = (0..64)
        .filter_map(|index| {
            choose_members(&slice(index), &node(0), &nodes)
                .deputies
                .first()
                .cloned()
        })
        .collect();
    let all = choose_members(&slice(0), &node(0), &nodes).deputies.len();

    assert!(all >= 3, "{all}");
    assert_eq!(first.len(), all);
}

#[test]
fn small_fleets_have_fewer_members() {
    for (zones, size) in [
        (&[0, 1, 2, 0][..], 3),
        (&[0, 1, 2], 3),
        (&[0, 1], 1),
        (&[0], 1),
    ] {
        let choice = choose_members(&slice(0), &node(0), &fleet(zones));
        assert_eq!(choice.members.len(), size);
    }

    // The limit per zone does not apply when there are too few zones.
    let choice = choose_members(&slice(0), &node(0), &fleet(&[0; 6]));
    assert_eq!(choice.members.len(), 5);
}

#[test]
fn the_meter_measures_rates_and_finds_hot_keys_among_many() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut meter = LoadMeter::new(LocalMoment::ZERO, Duration::from_secs(5));
    let mut sample = LoadSample::default();

    for second in 1..=30 {
        for _ in 0..700 {
            meter.record(1, &format!("cold-{}", random.random_range(0..100_000)));
        }
        for _ in 0..300 {
            meter.record(2, "hot");
        }
        sample = meter.sample(LocalMoment::from_millis(second * 1_000));
    }

    let rate = |index: u32| {
        sample
            .loads
            .iter()
            .find(|load| load.slice == index)
            .unwrap()
            .rate
    };
    assert!((rate(1) - 700.0).abs() < 1.0);
    assert!((rate(2) - 300.0).abs() < 1.0);
    assert_eq!(&*sample.hot[0].key, "hot");
    assert!(
        (250.0..=330.0).contains(&sample.hot[0].rate),
        "{}",
        sample.hot[0].rate
    );

    // The rate of a slice that arrived recently is complete after one period.
    for _ in 0..50 {
        meter.record(7, "new");
    }
    let sample = meter.sample(LocalMoment::from_millis(31_000));
    assert!(
        sample
            .loads
            .iter()
            .any(|load| load.slice == 7 && (load.rate - 50.0).abs() < 1.0)
    );
}

/// Creates a machine that owns one slice for each of `rates`, in a service of three targets; the
/// other two have a load of 400 requests a second each. Returns it with the current time.
fn loaded_machine(rates: &[f64], hot: HotKey) -> (AssignMachine, LocalMoment) {
    let start = LocalMoment::from_millis(1_000);
    let now = start + Duration::from_mins(1);
    let service = ServiceName::new("agenda").unwrap();
    let mut machine = AssignMachine::new(start, node(0), service, 1);
    let member = |index: usize| TargetMember {
        node: node(index),
        weight: 6,
        draining: false,
    };
    let members = (0..3).map(member).collect();
    machine.handle(start, AssignEvent::MembersChanged { members });

    for (index, _) in (0..).zip(rates) {
        machine.handle(start, AssignEvent::SliceTaken { slice: index });
    }
    for index in 1..3 {
        let message = LoadMessage {
            report: LoadReport {
                node: node(index),
                age_ms: 0,
                load: 400.0,
                weight: 6,
            },
            requested: 0.0,
            relayed: Vec::new(),
        };
        machine.handle(now, AssignEvent::LoadReceived { message });
    }
    let loads = (0..)
        .zip(rates)
        .map(|(slice, &rate)| SliceLoad { slice, rate });
    let sample = LoadSample {
        loads: loads.collect(),
        hot: vec![hot],
    };
    machine.handle(now, AssignEvent::LoadMeasured { sample });

    (machine, now)
}

fn hot_key(rate: f64) -> HotKey {
    HotKey {
        slice: 0,
        key: "slot-7".into(),
        rate,
    }
}

#[test]
fn a_hot_key_is_split_out_only_when_no_slice_can_relieve_the_target() {
    let splits = |machine: &mut AssignMachine, now| {
        let actions = machine.handle(now, AssignEvent::Tick);

        actions
            .iter()
            .any(|action| matches!(action, AssignAction::SplitKey { slice: 0, .. }))
    };

    let (mut alone, now) = loaded_machine(&[1_000.0], hot_key(600.0));
    assert!(splits(&mut alone, now));
    assert!(
        !splits(&mut alone, now + Duration::from_secs(1)),
        "no second split within the cooldown"
    );

    let (mut whole, now) = loaded_machine(&[1_000.0], hot_key(950.0));
    assert!(
        !splits(&mut whole, now),
        "the key carries nearly the whole load of its slice"
    );

    let (mut others, now) = loaded_machine(&[700.0, 100.0, 100.0, 100.0], hot_key(400.0));
    assert!(!splits(&mut others, now), "the other slices can move");
}

#[test]
fn a_target_hands_over_no_more_than_was_requested() {
    let (mut machine, now) = loaded_machine(&[500.0, 200.0, 120.0, 60.0, 30.0], hot_key(1.0));
    let message = LoadMessage {
        report: LoadReport {
            node: node(1),
            age_ms: 0,
            load: 400.0,
            weight: 6,
        },
        requested: 190.0,
        relayed: Vec::new(),
    };
    let actions = machine.handle(now, AssignEvent::LoadReceived { message });

    // The largest slices that fit into 190 requests a second, with two moves in flight at most.
    assert_matches!(
        actions.as_slice(),
        [
            AssignAction::Move { slice: 2, .. },
            AssignAction::Move { slice: 3, .. }
        ]
    );
    assert_eq!(machine.moves_in_flight(), 2);
}

#[test]
fn invalid_reports_and_unknown_senders_are_ignored() {
    let (mut machine, now) = loaded_machine(&[1_000.0, 90.0], hot_key(1.0));
    for (index, load, weight) in [(1, f32::NAN, 6), (1, -5.0, 6), (1, 1.0, 0), (9, 1.0, 6)] {
        let message = LoadMessage {
            report: LoadReport {
                node: node(index),
                age_ms: 0,
                load,
                weight,
            },
            requested: if index == 9 { 500.0 } else { f32::NAN },
            relayed: Vec::new(),
        };
        let actions = machine.handle(now, AssignEvent::LoadReceived { message });

        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, AssignAction::Move { .. })),
            "{actions:?}"
        );
    }
}
