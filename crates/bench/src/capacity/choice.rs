//! Processor time of one choice among the targets of a service without keys.

use super::{
    fit::{LineFit, f64_from_u64, f64_from_usize},
    process::thread_nanos,
};
use std::time::Duration;
use wagtail_core::{ids::NodeName, units::LocalMoment};
use wagtail_route::{AttemptResult, ChoiceEvent, ChoiceMachine, ChoiceOptions};

/// The measured numbers of targets.
const TARGETS: [usize; 6] = [3, 14, 50, 150, 300, 620];
/// The planned number of targets of one service.
const PLANNED_TARGETS: f64 = 150.0;
/// The number of choices that are timed at each size.
const TIMED: u32 = 5_000;

/// Prints the time of a choice by the number of targets.
pub fn run() {
    println!("targets,us/choice");
    let points: Vec<(f64, f64)> = TARGETS
        .iter()
        .map(|targets| {
            let micros = measure(*targets);
            println!("{targets},{micros:.2}");
            (f64_from_usize(*targets), micros)
        })
        .collect();

    LineFit::new(&points).print("choice", "us", "target", PLANNED_TARGETS);
}

/// Returns the mean microseconds of one choice and the end of its attempt.
fn measure(targets: usize) -> f64 {
    let mut machine = ChoiceMachine::new(ChoiceOptions::default(), 1);
    let now = LocalMoment::from_millis(1_000);
    for index in 0..targets {
        let node = NodeName::new(format!("vm-{index}")).expect("the name is valid");
        machine.handle(now, ChoiceEvent::Joined { node, cold: false });
    }

    let started = thread_nanos();
    for _ in 0..TIMED {
        let node = machine.choose(now, &[]).expect("a target is open");
        machine.handle(
            now,
            ChoiceEvent::Ended {
                node,
                result: AttemptResult::Answered,
                took: Duration::from_millis(1),
                hint: None,
            },
        );
    }

    f64_from_u64(thread_nanos() - started) / f64::from(TIMED) / 1_000.0
}
