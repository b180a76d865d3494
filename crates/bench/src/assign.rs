//! Simulates the assignment of slices and measures its churn and imbalance in virtual time.

mod demand;
mod drive;
mod fleet;
mod naive;
mod scenario;

use clap::{Arg, ArgMatches, Command, value_parser};
use scenario::{Policy, Scenario, ScenarioResult};

/// The default number of seeds.
const SEEDS: &str = "3";
/// The number of targets of the small service, the size of both known deployments.
const SMALL: usize = 5;
/// The number of targets of the large service.
const LARGE: usize = 150;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("assign")
        .about("Measures churn and imbalance of the assignment in virtual time")
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value(SEEDS)
                .value_parser(value_parser!(u64))
                .help("Count of seeds, from 1"),
        )
        .arg(
            Arg::new("targets")
                .long("targets")
                .value_parser(value_parser!(u16).range(3..=1_000))
                .help("Targets of the service; 5 and 150 when absent"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_parser(Scenario::ALL.map(Scenario::name))
                .help("The only scenario to run"),
        )
}

/// Runs the selected scenarios and prints one row for each size, scenario and policy.
pub fn run(matches: &ArgMatches) {
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(1);
    let only = matches.get_one::<String>("scenario");
    let scenarios = Scenario::ALL
        .into_iter()
        .filter(|scenario| only.is_none_or(|name| name == scenario.name()));
    let sizes = match matches.get_one::<u16>("targets") {
        Some(targets) => vec![usize::from(*targets)],
        None => vec![SMALL, LARGE],
    };

    println!(
        "targets,scenario,policy,seeds,moved,least,moved/least,sd,imbalance before,worst,sd,\
         end,sd,seconds to 1.25,messages/node/s,bytes/message,us/event"
    );
    for targets in sizes {
        for scenario in scenarios.clone() {
            for policy in Policy::ALL {
                let results: Vec<ScenarioResult> = (1..=seeds)
                    .map(|seed| scenario::run(scenario, policy, targets, seed))
                    .collect();

                println!(
                    "{targets},{},{}",
                    scenario.name(),
                    summarize(policy, &results)
                );
            }
        }
    }
}

/// Returns the row of means and standard deviations over the seeds.
fn summarize(policy: Policy, results: &[ScenarioResult]) -> String {
    let column = |field: &dyn Fn(&ScenarioResult) -> f64| -> Vec<f64> {
        results.iter().map(field).collect()
    };
    let moved = column(&|result| result.moved);
    let least = column(&|result| result.least);
    let ratio = column(&|result| result.moved / result.least.max(1.0));
    let worst = column(&|result| result.worst);
    let end = column(&|result| result.end);

    format!(
        "{},{},{:.1},{:.1},{:.2},{:.2},{:.2},{:.2},{:.2},{:.2},{:.2},{:.1},{:.2},{:.0},{:.2}",
        policy.name(),
        results.len(),
        mean(&moved),
        mean(&least),
        mean(&ratio),
        standard_deviation(&ratio),
        mean(&column(&|result| result.before)),
        mean(&worst),
        standard_deviation(&worst),
        mean(&end),
        standard_deviation(&end),
        mean(&column(&|result| result.settled)),
        mean(&column(&|result| result.messages)),
        mean(&column(&|result| result.message_bytes)),
        mean(&column(&|result| result.event_micros)),
    )
}

/// Returns the mean of the values, zero when there are none.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / demand::f64_from_usize(values.len().max(1))
}

/// Returns the sample standard deviation of the values.
fn standard_deviation(values: &[f64]) -> f64 {
    let mean_value = mean(values);
    let squares: f64 = values
        .iter()
        .map(|value| (value - mean_value).powi(2))
        .sum();

    (squares / demand::f64_from_usize(values.len().saturating_sub(1).max(1))).sqrt()
}
