//! The `requests` subcommand and its output.

use crate::requests::{
    broken::BrokenPart,
    checks::InvariantChecks,
    scenarios::{self, ScenarioResult, ScenarioSetup},
    sizes::DeploymentSize,
    world::RouterVersion,
};
use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use wagtail_admit::AdmitOptions;

/// A function that runs and measures one scenario.
type ScenarioRun = fn(&ScenarioSetup) -> ScenarioResult;

/// The scenarios by the name on the command line.
const SCENARIOS: [(&str, ScenarioRun); 11] = [
    ("crest", scenarios::load_peak),
    ("crest-mixed", scenarios::load_peak_mixed),
    ("pulses", scenarios::pulses),
    ("head-of-line", scenarios::head_of_line),
    (
        "head-of-line-undeclared",
        scenarios::head_of_line_undeclared,
    ),
    ("hurt", scenarios::one_bad_target),
    ("strained", scenarios::strained),
    ("fairness", scenarios::fairness),
    ("flood", scenarios::flood),
    ("waste", scenarios::waste),
    ("storm", scenarios::storm),
];

/// The compared versions by the name on the command line.
const VERSIONS: [(&str, RouterVersion); 2] = [
    ("wagtail", RouterVersion::Wagtail),
    ("naive", RouterVersion::Naive),
];

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let names = SCENARIOS.map(|(name, _)| name);
    let names = names.into_iter().chain(["broken"]);

    Command::new("requests")
        .about("Measures the request decisions in virtual time")
        .arg(Arg::new("scenario").value_parser(PossibleValuesParser::new(names)))
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_parser(value_parser!(u64))
                .default_value("5"),
        )
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_parser(["malla", "suturo"]),
        )
        .arg(
            Arg::new("version")
                .long("version")
                .value_parser(["wagtail", "naive"]),
        )
        .arg(
            Arg::new("admit")
                .long("admit")
                .help("Settings beside each target that differ, as JSON")
                .value_parser(|text: &str| serde_json::from_str::<AdmitOptions>(text)),
        )
}

/// Runs the selected scenarios and prints their figures.
pub fn run(matches: &ArgMatches) {
    let wanted = matches.get_one::<String>("scenario");
    let fleet = matches.get_one::<String>("fleet");
    let version = matches.get_one::<String>("version");
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(1);
    let admit = matches.get_one::<AdmitOptions>("admit").cloned();
    let sizes = [DeploymentSize::malla(), DeploymentSize::suturo()];

    if wanted.is_some_and(|wanted| wanted == "broken") {
        print_broken(sizes[0], seeds);
    }

    for (name, scenario) in SCENARIOS {
        if wanted.is_some_and(|wanted| wanted != name) {
            continue;
        }

        for size in sizes {
            if fleet.is_some_and(|fleet| fleet != size.name) {
                continue;
            }

            for (label, router) in VERSIONS {
                if version.is_none_or(|version| version == label) {
                    let setup = ScenarioSetup {
                        admit: admit.clone().unwrap_or_default(),
                        ..ScenarioSetup::new(router, size, 0)
                    };

                    print_scenario(name, scenario, &setup, seeds);
                }
            }
        }
    }
}

/// Runs the scenario `storm` with each injected fault and prints how often the checks detect it.
fn print_broken(size: DeploymentSize, seeds: u64) {
    for part in BrokenPart::ALL {
        let version = RouterVersion::Broken(part);
        let mut checks = InvariantChecks::default();

        for seed in 1..=seeds {
            checks.add(&scenarios::storm(&ScenarioSetup::new(version, size, seed)).checks);
        }

        let found = checks.count(part.breaks());

        println!(
            "broken={part:?} fleet={} invariant={:?} found={}/{} in_all={}",
            size.name,
            part.breaks(),
            found.broken,
            found.checked,
            checks.broken(),
        );
    }
}

/// Runs a scenario once for each seed and prints the figures.
fn print_scenario(name: &str, scenario: ScenarioRun, setup: &ScenarioSetup, seeds: u64) {
    let results: Vec<ScenarioResult> = (1..=seeds)
        .map(|seed| {
            scenario(&ScenarioSetup {
                seed,
                ..setup.clone()
            })
        })
        .collect();

    println!(
        "{name} fleet={} version={:?} seeds={seeds}",
        setup.size.name, setup.version
    );
    print_results(&results);
}

/// Prints the median and range of each figure, and the counts of the invariants.
fn print_results(results: &[ScenarioResult]) {
    let Some(first) = results.first() else {
        return;
    };

    for figure in &first.figures {
        let mut values: Vec<f64> = results
            .iter()
            .map(|result| result.figure(figure.name))
            .collect();

        values.sort_by(f64::total_cmp);
        println!(
            "  {:24} median {:10.4}  least {:10.4}  most {:10.4}",
            figure.name,
            values[values.len() / 2],
            values[0],
            values[values.len() - 1],
        );
    }

    let mut checks = first.checks.clone();

    for result in &results[1..] {
        checks.add(&result.checks);
    }

    println!("  broken/checked: {checks}");
}
