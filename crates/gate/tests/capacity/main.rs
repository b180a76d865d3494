//! Tests of the learned capacity of a target, in virtual time.

mod limiters;
mod model;

use limiters::Limiter;
use model::{Scenario, Slowdown, TWO_CLASSES, run};

/// The seeds of each test.
const SEEDS: u64 = 6;

/// Returns the work that is completed in time over all seeds.
fn total(scenario: &Scenario, limiter: Limiter) -> f64 {
    (0..SEEDS)
        .map(|seed| run(scenario, limiter, seed).total())
        .sum()
}

#[test]
fn table() {
    let mut scenarios = vec![
        ("never x1.15", Scenario::steady(Slowdown::NEVER, 6.9)),
        ("never x0.8", Scenario::steady(Slowdown::NEVER, 4.8)),
        ("never x2", Scenario::steady(Slowdown::NEVER, 12.0)),
        ("from 2 x1.15", Scenario::steady(Slowdown::from(2), 2.3)),
        ("from 2 x0.9", Scenario::steady(Slowdown::from(2), 1.8)),
        ("from 2 x2", Scenario::steady(Slowdown::from(2), 4.0)),
        ("from 3 x1.15", Scenario::steady(Slowdown::from(3), 3.45)),
        ("from 3 x2", Scenario::steady(Slowdown::from(3), 6.0)),
        (
            "flat 2 x2",
            Scenario::steady(
                Slowdown {
                    from: 2,
                    steepness: 0.5,
                },
                4.0,
            ),
        ),
    ];
    let two: Vec<_> = scenarios
        .iter()
        .map(|(n, s)| {
            (
                format!("{n} 2cl"),
                Scenario {
                    classes: TWO_CLASSES,
                    ..s.clone()
                },
            )
        })
        .collect();
    let noisy: Vec<_> = scenarios
        .iter()
        .map(|(n, s)| {
            (
                format!("{n} noisy"),
                Scenario {
                    is_noisy: true,
                    ..s.clone()
                },
            )
        })
        .collect();
    let noisy2: Vec<_> = two
        .iter()
        .map(|(n, s)| {
            (
                format!("{n} noisy"),
                Scenario {
                    is_noisy: true,
                    ..s.clone()
                },
            )
        })
        .collect();
    scenarios.push((
        "change",
        Scenario {
            phases: vec![
                (0, Slowdown::NEVER),
                (20, Slowdown::from(2)),
                (40, Slowdown::NEVER),
            ],
            ..Scenario::steady(Slowdown::NEVER, 6.9)
        },
    ));
    scenarios.push((
        "change 2cl",
        Scenario {
            classes: TWO_CLASSES,
            phases: vec![
                (0, Slowdown::NEVER),
                (20, Slowdown::from(2)),
                (40, Slowdown::NEVER),
            ],
            ..Scenario::steady(Slowdown::NEVER, 6.9)
        },
    ));
    let all = scenarios
        .into_iter()
        .map(|(n, s)| (n.to_owned(), s))
        .chain(two)
        .chain(noisy)
        .chain(noisy2);
    for (name, s) in all {
        let v: Vec<f64> = [
            Limiter::Fixed(6),
            Limiter::Fixed(3),
            Limiter::Fixed(2),
            Limiter::AIMD,
            Limiter::GRADIENT,
            Limiter::Estimator,
        ]
        .iter()
        .map(|l| total(&s, *l))
        .collect();
        println!(
            "{name:28} 6:{:7.1} 3:{:7.1} 2:{:7.1} aimd:{:7.1} grad:{:7.1} est:{:7.1}  est/6 {:.3}",
            v[0],
            v[1],
            v[2],
            v[3],
            v[4],
            v[5],
            v[5] / v[0]
        );
        if name.starts_with("change") || name.contains("x2") {
            let o = run(&s, Limiter::Estimator, 1);
            println!(
                "   {:?}",
                o.limits
                    .iter()
                    .map(|l| (l * 10.0).round() / 10.0)
                    .collect::<Vec<_>>()
            );
        }
    }
}

#[test]
fn debug() {
    let s = Scenario {
        classes: TWO_CLASSES,
        is_noisy: true,
        ..Scenario::steady(Slowdown::NEVER, 6.9)
    };
    println!(
        "fixed {:.1} pace {:.1} est {:.1}",
        total(&s, Limiter::Fixed(6)),
        total(&s, Limiter::PaceOnly),
        total(&s, Limiter::Estimator)
    );
    eprintln!("-----");
    run(&s, Limiter::Estimator, 1);
    eprintln!("-----");
    let s = Scenario {
        classes: TWO_CLASSES,
        phases: vec![
            (0, Slowdown::NEVER),
            (20, Slowdown::from(2)),
            (40, Slowdown::NEVER),
        ],
        ..Scenario::steady(Slowdown::NEVER, 6.9)
    };
    run(&s, Limiter::Estimator, 1);
}
