//! Runs the caller stand-in.

use caller_standin::{
    audit::audit_run,
    cli::{self, CallerOptions},
    logs::{LoggedRun, read_log},
    plan::{PlannedRequest, RequestPlanner, plan_probes},
    record::RequestRecord,
    report::{RunReport, describe_latency},
    sender::CallerTask,
};
use compio::runtime::JoinHandle;
use std::{
    cell::Cell,
    fs,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};
use wagtail_core::service::WorkClass;

/// The exit code when an execution log cannot be read.
const EXIT_UNREADABLE: u8 = 2;

/// The exit code when the services are not ready in time.
const EXIT_UNREADY: u8 = 3;

/// The number of slices that one task probes in turn.
const SLICES_PER_PROBER: usize = 4;

/// The pause after each round of probes.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// The first random number stream of the probing tasks, above those of the callers.
const PROBER_STREAM: u64 = 1 << 32;

/// Sends the requests, checks the responses and prints the report.
#[compio::main]
async fn main() -> ExitCode {
    let options = cli::read_options(&cli::command().get_matches());

    if let Err(reason) = wait_until_ready(&options).await {
        eprintln!("caller-standin: {reason}");
        return ExitCode::from(EXIT_UNREADY);
    }
    println!("caller-standin: every slice is served");

    let finished = Rc::new(Cell::new(false));
    let probes = spawn_probes(&options, &finished);
    let records = send_all(&options).await;
    finished.set(true);
    let probes = join_all(probes).await;
    compio::time::sleep(Duration::from_millis(options.settle_ms)).await;

    let runs = match read_logs(&options) {
        Ok(runs) => runs,
        Err(reason) => {
            eprintln!("caller-standin: {reason}");
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };

    let audit = audit_run(records.iter().chain(&probes), &runs);
    let report = RunReport::new(&records, &probes, audit);
    println!("{}", describe_latency(&records, WorkClass::Short, "short"));
    println!("{}", describe_latency(&records, WorkClass::Long, "long"));
    print!("{}", report.describe());

    if report.passes() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Waits until a probe of every slice of every service got a response, at most `ready_ms`.
async fn wait_until_ready(options: &CallerOptions) -> Result<(), String> {
    let planner = RequestPlanner::new(options.seed, 0, options.services.clone(), options.keys);
    let mut task = CallerTask::new(planner, &options.nodes, Duration::ZERO);
    let end = Instant::now() + Duration::from_millis(options.ready_ms);

    for service in &options.services {
        for probe in plan_probes(service) {
            let left = end.saturating_duration_since(Instant::now());
            if !task.wait_for_response(&probe, left).await {
                return Err(format!("{} got no answer in time", probe.id));
            }
        }
    }

    Ok(())
}

/// Spawns the tasks that probe the slices of the keyed services until `finished` is set.
fn spawn_probes(
    options: &CallerOptions,
    finished: &Rc<Cell<bool>>,
) -> Vec<JoinHandle<Vec<RequestRecord>>> {
    let keyed = options.services.iter().filter(|service| service.slices > 0);
    let probes: Vec<PlannedRequest> = keyed.flat_map(plan_probes).collect();

    probes
        .chunks(SLICES_PER_PROBER)
        .enumerate()
        .map(|(index, chunk)| {
            let stream = PROBER_STREAM + index as u64;
            let planner =
                RequestPlanner::new(options.seed, stream, options.services.clone(), options.keys);
            let mut task = CallerTask::new(planner, &options.nodes, Duration::ZERO);
            let chunk = chunk.to_vec();
            let finished = Rc::clone(finished);

            compio::runtime::spawn(async move {
                task.probe(&chunk, PROBE_PAUSE, || finished.get()).await
            })
        })
        .collect()
}

/// Waits for tasks and joins their records.
async fn join_all(tasks: Vec<JoinHandle<Vec<RequestRecord>>>) -> Vec<RequestRecord> {
    let mut records = Vec::new();

    for task in tasks {
        records.extend(task.await.expect("a caller does not panic"));
    }

    records
}

/// Runs all callers until they have sent their requests, and returns the records.
async fn send_all(options: &CallerOptions) -> Vec<RequestRecord> {
    let callers = options.callers.min(options.requests);
    let callers_in_rate = u32::try_from(callers).unwrap_or(u32::MAX);
    let rate = u32::try_from(options.rate).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1) * callers_in_rate / rate;
    let sent = Rc::new(Cell::new(0));
    let half = options.requests / 2;

    let mut tasks = Vec::new();
    for caller in 0..callers {
        let planner = RequestPlanner::new(
            options.seed,
            caller as u64,
            options.services.clone(),
            options.keys,
        );
        let mut task = CallerTask::new(planner, &options.nodes, interval);
        let extra = usize::from(caller < options.requests % callers);
        let count = options.requests / callers + extra;
        let sent = Rc::clone(&sent);

        tasks.push(compio::runtime::spawn(async move {
            let count_request = || {
                sent.set(sent.get() + 1);
                if sent.get() == half {
                    println!("caller-standin: half of the requests are sent");
                }
            };
            task.run(count, count_request).await
        }));
    }

    join_all(tasks).await
}

/// Reads the execution logs of all targets.
fn read_logs(options: &CallerOptions) -> Result<Vec<LoggedRun>, String> {
    let mut runs = Vec::new();

    for path in &options.logs {
        let shown = path.display();
        let text = fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"))?;
        runs.extend(read_log(&text).map_err(|error| format!("{shown}: {error}"))?);
    }

    Ok(runs)
}
