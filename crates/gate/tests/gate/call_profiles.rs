//! What is learned of the calls of each route, from runs that overlap at random.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, sync::Arc};
use wagtail_core::units::LocalMoment;
use wagtail_gate::calls::CallProfiles;

/// `RouteLoad` describes the runs of a route.
#[derive(Debug, Clone, Copy)]
struct RouteLoad {
    name: &'static str,
    /// The probability that a run makes its two calls.
    calling: f64,
    /// The shortest and the longest time of a run, in milliseconds.
    millis: (u64, u64),
}

/// Lookups make two calls in 0.7 of the cases.
const LOOKUP: RouteLoad = RouteLoad {
    name: "lookup",
    calling: 0.7,
    millis: (30, 90),
};

/// Entries make no calls.
const ENTRY: RouteLoad = RouteLoad {
    name: "entry",
    calling: 0.0,
    millis: (30, 130),
};

/// `ProfileEvent` is an event at a target.
#[derive(Debug, Clone)]
enum ProfileEvent {
    Begin(Arc<str>),
    Call,
    End(Arc<str>),
}

/// `RunEvents` holds events by their time in milliseconds.
#[derive(Debug, Default)]
struct RunEvents(BTreeMap<(u64, usize), ProfileEvent>);

impl RunEvents {
    /// Adds an event.
    fn add(&mut self, millis: u64, event: ProfileEvent) {
        let ordinal = self.0.len();
        self.0.insert((millis, ordinal), event);
    }

    /// Adds a run, with its calls at random times within it.
    fn add_run(&mut self, load: RouteLoad, start: u64, random: &mut ChaCha8Rng) {
        let name: Arc<str> = Arc::from(load.name);
        let length = random.random_range(load.millis.0..=load.millis.1);
        self.add(start, ProfileEvent::Begin(Arc::clone(&name)));
        if random.random_bool(load.calling) {
            for _ in 0..2 {
                let call = start + random.random_range(1..length);
                self.add(call, ProfileEvent::Call);
            }
        }
        self.add(start + length, ProfileEvent::End(name));
    }

    /// Passes all events on in order.
    fn play(self, profiles: &mut CallProfiles) {
        let callee = Arc::from("registry-check");
        for ((millis, _), event) in self.0 {
            let now = LocalMoment::from_millis(millis);
            match event {
                ProfileEvent::Begin(route) => profiles.began(&route, now),
                ProfileEvent::Call => drop(profiles.called(&callee, now)),
                ProfileEvent::End(route) => profiles.ended(&route, now),
            }
        }
    }
}

/// Lets the estimates follow what has happened so far.
fn settle(profiles: &mut CallProfiles, millis: u64) {
    profiles.ended("", LocalMoment::from_millis(millis));
}

/// Returns the calls per run of lookups and entries.
fn learned(profiles: &CallProfiles) -> (Option<f32>, Option<f32>) {
    let of = |route| profiles.calls_per_run(route, "registry-check");

    (of("lookup"), of("entry"))
}

/// Guards against entries that are held back for a service that only lookups call, although both
/// always begin together.
#[test]
fn routes_that_run_together_in_a_fixed_ratio_are_told_apart_within_twenty_runs() {
    let mut wrong = Vec::new();
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut profiles, mut events) = (CallProfiles::default(), RunEvents::default());
        for batch in 0..22 {
            let start = 1_000 + batch * 80;
            events.add_run(LOOKUP, start, &mut random);
            events.add_run(ENTRY, start, &mut random);
        }
        events.play(&mut profiles);
        settle(&mut profiles, 4_000);

        let is_right = profiles.makes_calls("lookup", "registry-check")
            && !profiles.makes_calls("entry", "registry-check");
        if !is_right {
            wrong.push((seed, learned(&profiles)));
        }
    }

    // After so few runs, some entries have only run beside lookups that called.
    assert!(wrong.len() <= 20, "{} of 200: {wrong:?}", wrong.len());
}

/// Guards against means that are off under the usual load of a target.
#[test]
fn the_calls_per_run_are_learned_under_load() {
    for seed in 0..20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut profiles, mut events) = (CallProfiles::default(), RunEvents::default());
        for millis in 1_000..31_000 {
            if random.random_bool(0.0178) {
                events.add_run(LOOKUP, millis, &mut random);
            }
            if random.random_bool(0.0078) {
                events.add_run(ENTRY, millis, &mut random);
            }
        }
        events.play(&mut profiles);
        settle(&mut profiles, 32_000);

        let (lookup, entry) = learned(&profiles);
        let (lookup, entry) = (lookup.unwrap(), entry.unwrap());
        assert!((1.1..1.7).contains(&lookup), "seed {seed}: {lookup}");
        assert!(entry < 0.05, "seed {seed}: {entry}");
    }
}

/// Guards against a route that starts to make calls and is treated as before for good.
#[test]
fn a_change_is_followed() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (mut profiles, mut events) = (CallProfiles::default(), RunEvents::default());
    for step in 0..1_500 {
        let (start, has_changed) = (1_000 + step * 60, step >= 700);
        let mut entry = ENTRY;
        entry.calling = if has_changed { 0.7 } else { 0.0 };
        events.add_run(LOOKUP, start, &mut random);
        events.add_run(entry, start + random.random_range(0..60), &mut random);
    }
    events.play(&mut profiles);
    settle(&mut profiles, 92_000);

    let entry = learned(&profiles).1.unwrap();
    assert!((1.1..1.7).contains(&entry), "{entry}");
}

/// Guards against routes that come and go, of which more than are tracked replace the known ones, and
/// against a pause after which a known route counts as unknown.
#[test]
fn routes_come_and_go() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut profiles = CallProfiles::default();
    let mut events = RunEvents::default();
    for step in 0..300 {
        events.add_run(LOOKUP, 1_000 + step * 120, &mut random);
        events.add_run(ENTRY, 1_050 + step * 90, &mut random);
    }
    for step in 0..1_200 {
        let others = ["a", "b", "c", "d", "e", "f", "g"];
        let mut other = ENTRY;
        other.name = others[random.random_range(0..others.len())];
        events.add_run(other, 40_000 + step * 100, &mut random);
    }
    events.play(&mut profiles);
    settle(&mut profiles, 162_000);
    let after_pause = learned(&profiles);

    let mut events = RunEvents::default();
    for step in 0..60_u64 {
        let mut other = ENTRY;
        other.name = Box::leak(format!("once-{step}").into_boxed_str());
        events.add_run(other, 163_000 + step * 200, &mut random);
    }
    events.play(&mut profiles);

    assert!(after_pause.0.unwrap() > 1.0, "{after_pause:?}");
    assert!(after_pause.1.unwrap() < 0.05, "{after_pause:?}");
    assert_eq!(learned(&profiles), (None, None));
    let successor = profiles.calls_per_run("once-59", "registry-check");
    assert_eq!(successor, None);
    assert!(profiles.makes_calls("lookup", "registry-check"));
}

/// Guards against work that begins unchecked because a route has hardly run yet.
#[test]
fn a_route_with_few_runs_counts_as_one_that_makes_calls() {
    let mut profiles = CallProfiles::default();
    let mut events = RunEvents::default();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    events.add_run(LOOKUP, 1_000, &mut random);
    for step in 0..19 {
        events.add_run(ENTRY, 2_000 + step * 200, &mut random);
    }
    events.play(&mut profiles);

    assert_eq!(learned(&profiles).1, None);
    assert!(profiles.makes_calls("entry", "registry-check"));
}
