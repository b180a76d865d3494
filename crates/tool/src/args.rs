//! The definition and the parsing of the command line.

use crate::errors::{Result, ToolError};
use clap::{
    Arg, ArgAction, ArgMatches, Command, ValueHint,
    builder::{EnumValueParser, PossibleValue},
    value_parser,
};
use clap_complete::Shell;
use std::{fs, net::SocketAddr, path::PathBuf};
use wagtail_core::ids::{NodeName, ServiceName};

/// The environment variable that holds the address of the node's admin port.
pub const NODE_VARIABLE: &str = "WAGTAIL_NODE";
/// The environment variable that holds the token.
pub const TOKEN_VARIABLE: &str = "WAGTAIL_TOKEN";
/// The path that stands for the standard input.
pub const STDIN_PATH: &str = "-";
/// The part of the help that lists the exit codes.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, or another plan was confirmed first; nothing was changed
  2  the command line or a file is invalid; nothing was changed
  3  the node or the platform is unreachable; nothing was changed
  4  no complete response; the plan may be in force: confirm it again
  5  the token is missing or wrong; nothing was changed";

/// `OutputFormat` is the format in which a command prints its output and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text and tables for people.
    Table,
    /// JSON for programs.
    Json,
}

impl clap::ValueEnum for OutputFormat {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(match self {
            Self::Table => PossibleValue::new("table"),
            Self::Json => PossibleValue::new("json"),
        })
    }
}

/// `ToolCommand` is a command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ToolCommand {
    /// Make a plan from an intent file.
    Plan {
        /// The path of the file; `-` stands for the standard input.
        file: PathBuf,
    },
    /// Put a plan in force.
    Confirm {
        /// The identifier of the plan.
        plan: String,
    },
    /// Show the state of the node.
    Status,
    /// Show the services in force at the node.
    Services,
    /// Show the owner of a key.
    Owner {
        /// The name of the service.
        service: ServiceName,
        /// The key whose owner is looked up.
        key: String,
    },
    /// Make a plan that drains a VM.
    Drain {
        /// The name of the VM.
        vm: NodeName,
        /// Whether the plan is confirmed without a separate command.
        confirmed: bool,
    },
    /// Show each configuration as it comes into force.
    Watch {
        /// The version to stop at; absent to go on until interrupted.
        until: Option<u64>,
    },
    /// Sum up the log lines of nodes.
    Logs(LogsCommand),
    /// Print the completion script of a shell.
    Completion {
        /// The shell whose completion script is printed.
        shell: Shell,
    },
}

/// `LogsCommand` holds the arguments of the command that sums up log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogsCommand {
    /// The paths of the files; `-` stands for the standard input.
    pub files: Vec<PathBuf>,
    /// The request whose way is shown.
    pub request_id: Option<String>,
    /// The length of a window of time in seconds.
    pub window_s: u64,
    /// The path of the SVG image of rates and latencies, if one is drawn.
    pub plot: Option<PathBuf>,
    /// The most rows of each table that is printed as text.
    pub rows: usize,
}

/// `CommandLine` is the parsed command line, completed from the environment and the token file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandLine {
    /// The address of the node; absent for a command that calls none.
    pub node: Option<SocketAddr>,
    /// The token, if one is given.
    pub token: Option<String>,
    /// The format in which results are printed.
    pub output: OutputFormat,
    /// The command to run.
    pub command: ToolCommand,
}

/// Returns the definition of the command line.
pub fn build_command() -> Command {
    Command::new("wagtail")
        .version(clap::crate_version!())
        .about("Plans, confirms and shows the configuration of wagtailpulley")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands(plan_commands())
        .subcommands(show_commands())
        .subcommand(logs_command())
}

/// Returns the arguments that every command takes.
fn global_args() -> [Arg; 3] {
    [
        Arg::new("node")
            .long("node")
            .value_name("ADDRESS")
            .global(true)
            .value_parser(value_parser!(SocketAddr))
            .help("Address of any node's admin port, as IP:PORT [env: WAGTAIL_NODE]"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .global(true)
            .value_parser(value_parser!(PathBuf))
            .value_hint(ValueHint::FilePath)
            .help("File that holds the token [env: WAGTAIL_TOKEN holds the token itself]"),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .global(true)
            .value_parser(EnumValueParser::<OutputFormat>::new())
            .default_value("table")
            .help("Output format"),
    ]
}

/// Returns the commands that plan and confirm.
fn plan_commands() -> [Command; 3] {
    [
        Command::new("plan")
            .about("Make a plan from an intent file; nothing is in force before `confirm`")
            .arg(
                Arg::new("file")
                    .value_name("FILE")
                    .required(true)
                    .value_parser(value_parser!(PathBuf))
                    .value_hint(ValueHint::FilePath)
                    .help("Intent file in YAML; `-` reads the standard input"),
            ),
        Command::new("confirm")
            .about("Put a plan in force; confirming it again has no further effect")
            .arg(text_arg("plan", "PLAN", "Identifier of the plan")),
        Command::new("drain")
            .about("Make a plan that drains a VM")
            .arg(text_arg("vm", "VM", "Name of the VM"))
            .arg(
                Arg::new("yes")
                    .long("yes")
                    .action(ArgAction::SetTrue)
                    .help("Confirm the plan at once"),
            ),
    ]
}

/// Returns the commands that show the state of the system or print a script.
fn show_commands() -> [Command; 5] {
    [
        Command::new("status").about("Show the state of the node"),
        Command::new("services").about("Show the services in force"),
        Command::new("owner")
            .about("Show who owns a key")
            .arg(text_arg("service", "SERVICE", "Name of the service"))
            .arg(text_arg("key", "KEY", "The key")),
        Command::new("watch")
            .about("Show each configuration as it comes into force at the node")
            .arg(
                Arg::new("until")
                    .long("until")
                    .value_name("VERSION")
                    .value_parser(value_parser!(u64))
                    .help("Stop once this version is in force"),
            ),
        Command::new("completion")
            .about("Print the completion script of a shell")
            .arg(
                Arg::new("shell")
                    .value_name("SHELL")
                    .required(true)
                    .value_parser(value_parser!(Shell))
                    .help("The shell"),
            ),
    ]
}

/// Returns the command that sums up log lines.
fn logs_command() -> Command {
    let path = |id: &'static str| {
        Arg::new(id)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .value_hint(ValueHint::FilePath)
    };

    Command::new("logs")
        .about("Sum up the log lines of nodes: who waited, who was refused, by which node and why")
        .arg(
            path("files")
                .num_args(0..)
                .help("The files, one or more a node; - or none for the standard input"),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("REQUEST")
                .help("Show the way of one request, with its calls, across all nodes"),
        )
        .arg(
            Arg::new("window")
                .long("window")
                .value_name("SECONDS")
                .default_value("2")
                .value_parser(value_parser!(u64).range(1..=86_400))
                .help("Length of a window of time"),
        )
        .arg(
            path("plot")
                .long("plot")
                .help("Write an SVG image of rates and latencies"),
        )
        .arg(
            Arg::new("rows")
                .long("rows")
                .value_name("N")
                .default_value("20")
                .value_parser(value_parser!(u16).range(1..=10_000))
                .help("The most rows of each table"),
        )
}

/// Reads the arguments of the command that sums up log lines.
fn read_logs(matches: &ArgMatches) -> LogsCommand {
    let files: Vec<PathBuf> = matches
        .get_many::<PathBuf>("files")
        .map(|files| files.cloned().collect())
        .unwrap_or_default();

    LogsCommand {
        files: if files.is_empty() {
            vec![PathBuf::from(STDIN_PATH)]
        } else {
            files
        },
        request_id: matches.get_one::<String>("id").cloned(),
        window_s: matches.get_one("window").copied().unwrap_or_default(),
        plot: matches.get_one::<PathBuf>("plot").cloned(),
        rows: matches
            .get_one::<u16>("rows")
            .map_or(usize::MAX, |rows| usize::from(*rows)),
    }
}

/// Returns a required argument with a string value.
fn text_arg(id: &'static str, name: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(name).required(true).help(help)
}

/// Returns whether the JSON output format was chosen, which applies to errors too.
pub fn wants_json(matches: &ArgMatches) -> bool {
    matches.get_one::<OutputFormat>("output") == Some(&OutputFormat::Json)
}

/// Converts the parsed arguments into a [`CommandLine`]. `variable` looks up environment variables.
///
/// A given option overrides its environment variable.
///
/// # Errors
///
/// Fails when a name, the node's address or the token is invalid, no node is given, or the token
/// file cannot be read.
pub fn read_matches(
    matches: &ArgMatches,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<CommandLine> {
    let command = read_command(matches)?;
    let output = matches.get_one::<OutputFormat>("output");
    let needs_node = !matches!(
        command,
        ToolCommand::Completion { .. } | ToolCommand::Logs(_)
    );

    let (node, token) = if needs_node {
        (
            Some(read_node(matches, &variable)?),
            read_token(matches, &variable)?,
        )
    } else {
        (None, None)
    };

    Ok(CommandLine {
        node,
        token,
        output: output.copied().unwrap_or(OutputFormat::Table),
        command,
    })
}

/// Returns the address of the node from its option or the environment.
fn read_node(
    matches: &ArgMatches,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr> {
    if let Some(node) = matches.get_one::<SocketAddr>("node") {
        return Ok(*node);
    }

    let usage_error = |reason: String| ToolError::Usage {
        argument: "--node",
        reason,
    };
    let text = variable(NODE_VARIABLE).ok_or_else(|| {
        usage_error(
            "give the address of any node's admin port, as IP:PORT, or set WAGTAIL_NODE".into(),
        )
    })?;

    text.parse().map_err(|error| {
        usage_error(format!(
            "WAGTAIL_NODE is {text:?}: {error}; it must be IP:PORT"
        ))
    })
}

/// Returns the token from its file or the environment; an empty one counts as absent.
fn read_token(
    matches: &ArgMatches,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Option<String>> {
    let token = match matches.get_one::<PathBuf>("token-file") {
        Some(path) => {
            let text = fs::read_to_string(path).map_err(|source| ToolError::File {
                path: path.clone(),
                source,
            })?;

            Some(text)
        }
        None => variable(TOKEN_VARIABLE),
    };
    let token = token.map(|token| token.trim().to_owned());

    match token {
        Some(token) if !token.bytes().all(|byte| byte.is_ascii_graphic()) => {
            Err(ToolError::Usage {
                argument: "token",
                reason: "it must be printable ASCII without spaces".into(),
            })
        }
        token => Ok(token.filter(|token| !token.is_empty())),
    }
}

/// Converts the parsed subcommand and its arguments.
fn read_command(matches: &ArgMatches) -> Result<ToolCommand> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(ToolError::Usage {
            argument: "COMMAND",
            reason: "is required".into(),
        });
    };
    let text = |id: &str| matches.get_one::<String>(id).cloned().unwrap_or_default();

    let command = match name {
        "plan" => ToolCommand::Plan {
            file: matches
                .get_one::<PathBuf>("file")
                .cloned()
                .unwrap_or_default(),
        },
        "confirm" => ToolCommand::Confirm {
            plan: parse_name("PLAN", text("plan"), NodeName::new)?.to_string(),
        },
        "status" => ToolCommand::Status,
        "services" => ToolCommand::Services,
        "owner" => ToolCommand::Owner {
            service: parse_name("SERVICE", text("service"), ServiceName::new)?,
            key: text("key"),
        },
        "drain" => ToolCommand::Drain {
            vm: parse_name("VM", text("vm"), NodeName::new)?,
            confirmed: matches.get_flag("yes"),
        },
        "watch" => ToolCommand::Watch {
            until: matches.get_one::<u64>("until").copied(),
        },
        "logs" => ToolCommand::Logs(read_logs(matches)),
        _ => ToolCommand::Completion {
            shell: matches
                .get_one::<Shell>("shell")
                .copied()
                .unwrap_or(Shell::Bash),
        },
    };

    Ok(command)
}

/// Parses a name on the command line; an error names the argument.
fn parse_name<T>(
    argument: &'static str,
    text: String,
    construct: impl Fn(String) -> wagtail_core::Result<T>,
) -> Result<T> {
    construct(text).map_err(|error| ToolError::Usage {
        argument,
        reason: error.to_string(),
    })
}
