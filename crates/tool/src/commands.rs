//! Runs each command and prints its output.

use crate::{
    args::{CommandLine, OutputFormat, ToolCommand, build_command},
    client::AdminClient,
    errors::{Result, ToolError},
    input::read_intent,
    logs::{read_logs, render_logs},
    render,
};
use clap_complete::Shell;
use compio::runtime::Runtime;
use serde::Serialize;
use std::{
    io::{self, Write},
    net::SocketAddr,
};
use wagtail_intent::{IntentDocument, reports::ConfirmReport};

/// Runs a command and prints its output.
///
/// # Errors
///
/// Fails when the input is invalid, or the node is unreachable or refuses, or the output cannot be
/// written.
pub fn run(line: CommandLine) -> Result<()> {
    let Some(node) = line.node else {
        return run_alone(line.output, &line.command);
    };

    // An intent is validated before the node is called.
    let intent = match &line.command {
        ToolCommand::Plan { file } => Some(read_intent(file)?),
        ToolCommand::Drain { vm, .. } => Some(IntentDocument::with_drain(vm.clone())),
        _ => None,
    };
    let runtime = Runtime::new().map_err(|source| ToolError::Output { source })?;

    runtime.block_on(run_at_node(line, node, intent))
}

/// Runs a command that calls no node.
fn run_alone(output: OutputFormat, command: &ToolCommand) -> Result<()> {
    match command {
        ToolCommand::Completion { shell } => print_completion(*shell),
        ToolCommand::Logs(logs) => {
            let report = read_logs(logs)?;

            print(output, &report, |report| render_logs(report, logs.rows))
        }
        _ => Ok(()),
    }
}

/// Prints the completion script of a shell.
fn print_completion(shell: Shell) -> Result<()> {
    let mut script = Vec::new();

    clap_complete::generate(shell, &mut build_command(), "wagtail", &mut script);

    write_bytes(&script)
}

/// Runs a command that calls a node.
async fn run_at_node(
    line: CommandLine,
    node: SocketAddr,
    intent: Option<IntentDocument>,
) -> Result<()> {
    let client = AdminClient::new(node)?.with_token(line.token);
    let output = line.output;

    match line.command {
        ToolCommand::Plan { .. } => {
            let plan = client.make_plan(&intent.unwrap_or_default()).await?;

            print(output, &plan, render::render_plan)
        }
        ToolCommand::Drain { confirmed, .. } => {
            let plan = client.make_plan(&intent.unwrap_or_default()).await?;

            if !confirmed {
                return print(output, &plan, render::render_plan);
            }
            if output == OutputFormat::Table {
                print(output, &plan, render::render_changes)?;
            }
            let report = client.confirm(&plan.id, plan.base_version).await?;

            print_confirmed(output, &plan.id, &report)
        }
        ToolCommand::Confirm { plan } => {
            let base = client.read_plan(&plan).await?.base_version;
            let report = client.confirm(&plan, base).await?;

            print_confirmed(output, &plan, &report)
        }
        ToolCommand::Status => {
            let report = client.status().await?;

            print(output, &report, render::render_status)
        }
        ToolCommand::Services => {
            let report = client.services().await?;

            print(output, &report, render::render_services)
        }
        ToolCommand::Owner { service, key } => {
            let report = client.owner(&service, &key).await?;

            print(output, &report, render::render_owner)
        }
        ToolCommand::Watch { until } => watch(&client, output, until).await,
        ToolCommand::Completion { .. } | ToolCommand::Logs(_) => Ok(()),
    }
}

/// Prints the result of a confirmation.
fn print_confirmed(output: OutputFormat, plan: &str, report: &ConfirmReport) -> Result<()> {
    print(output, report, |report| {
        format!(
            "{plan} is confirmed as version {}\nnext: `wagtail watch --until {}` waits until a \
             node has it in force\n",
            report.version, report.version
        )
    })
}

/// Prints each version that comes into force, up to the version `until` if it is given.
async fn watch(client: &AdminClient, output: OutputFormat, until: Option<u64>) -> Result<()> {
    let mut shown = None;

    loop {
        let report = client.watch(shown.unwrap_or(0)).await?;

        // A node that restarted may report an older version than before until it has caught up.
        if shown.is_none_or(|shown| report.version > shown) {
            print_line(output, &report)?;
            shown = Some(report.version);
        }
        if until.is_some_and(|until| report.version >= until) {
            return Ok(());
        }
    }
}

/// Prints a version on one line, in JSON too.
fn print_line(output: OutputFormat, report: &wagtail_intent::reports::WatchReport) -> Result<()> {
    let text = match output {
        OutputFormat::Table => render::render_watch(report),
        OutputFormat::Json => serde_json::to_string(report).unwrap_or_default() + "\n",
    };

    write_bytes(text.as_bytes())
}

/// Prints a report in the chosen output format.
fn print<T: Serialize>(
    output: OutputFormat,
    report: &T,
    render: impl Fn(&T) -> String,
) -> Result<()> {
    let text = match output {
        OutputFormat::Table => render(report),
        OutputFormat::Json => serde_json::to_string_pretty(report).unwrap_or_default() + "\n",
    };

    write_bytes(text.as_bytes())
}

/// Writes to the standard output. A reader that closed the pipe is no error.
fn write_bytes(bytes: &[u8]) -> Result<()> {
    let mut output = io::stdout().lock();
    let written = output.write_all(bytes).and_then(|()| output.flush());

    match written {
        Err(source) if source.kind() != io::ErrorKind::BrokenPipe => {
            Err(ToolError::Output { source })
        }
        _ => Ok(()),
    }
}
