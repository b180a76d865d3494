//! Tests of command line parsing, intent files, and error messages with their exit codes.

use assert_matches::assert_matches;
use std::{fs, path::Path};
use wagtail_intent::{
    ConfirmConflict, IntentError, IntentRefusal, PlannedChange, reports::ErrorReport,
};
use wagtail_tool::{
    CommandLine, ExitStatus, OutputFormat, Result, ToolCommand, ToolError, args, errors, input,
};

fn parse(line: &str, variables: &[(&str, &str)]) -> Result<CommandLine> {
    let words = ["wagtail"].into_iter().chain(line.split_whitespace());
    let matches = args::build_command().get_matches_from(words);
    let variable = |name: &str| {
        let found = variables.iter().find(|(known, _)| *known == name);

        found.map(|(_, value)| (*value).to_owned())
    };

    args::read_matches(&matches, variable)
}

#[test]
fn the_definition_of_the_command_line_is_consistent() {
    args::build_command().debug_assert();
}

#[test]
fn options_override_the_environment() {
    let variables = [("WAGTAIL_NODE", "127.0.0.1:1"), ("WAGTAIL_TOKEN", " abc\n")];
    let line = parse("owner agenda slot-7", &variables).unwrap();

    assert_eq!(line.node.unwrap().port(), 1);
    assert_eq!(line.token.as_deref(), Some("abc"));
    assert_eq!(line.output, OutputFormat::Table);
    assert_matches!(line.command, ToolCommand::Owner { key, .. } if key == "slot-7");

    let line = parse(
        "--node 127.0.0.1:2 --output json drain vm-1 --yes",
        &variables,
    )
    .unwrap();
    assert_eq!(line.node.unwrap().port(), 2);
    assert_eq!(line.output, OutputFormat::Json);
    assert_matches!(
        line.command,
        ToolCommand::Drain {
            confirmed: true,
            ..
        }
    );
}

#[test]
fn the_token_is_read_from_its_file() {
    let path = std::env::temp_dir().join(format!("wagtail-token-{}", std::process::id()));
    fs::write(&path, "secret\n").unwrap();
    let line = parse(
        &format!("--node 127.0.0.1:2 --token-file {} status", path.display()),
        &[("WAGTAIL_TOKEN", "other")],
    );
    fs::remove_file(&path).unwrap();

    assert_eq!(line.unwrap().token.as_deref(), Some("secret"));
}

#[test]
fn invalid_values_are_reported_before_any_node_is_called() {
    let node = [("WAGTAIL_NODE", "127.0.0.1:1")];

    assert_matches!(
        parse("status", &[]),
        Err(ToolError::Usage {
            argument: "--node",
            ..
        })
    );
    assert_matches!(
        parse("status", &[("WAGTAIL_NODE", "home")]),
        Err(ToolError::Usage {
            argument: "--node",
            ..
        })
    );
    assert_matches!(
        parse("drain VM_1", &node),
        Err(ToolError::Usage { argument: "VM", .. })
    );
    assert_matches!(
        parse("confirm a/b", &node),
        Err(ToolError::Usage {
            argument: "PLAN",
            ..
        })
    );
    assert_matches!(
        parse("--token-file /nowhere/at/all status", &node),
        Err(error) if error.exit_status() == ExitStatus::BadInput
    );
}

#[test]
fn all_faults_of_an_intent_file_are_reported() {
    let path = Path::new("intent.yaml");
    let faulty = "services:\n  - name: agenda\n    keyed: true\n    slots: 0\ndrain: [vm-1]\n";

    let error = input::parse_text(path, faulty).unwrap_err();
    let text = errors::explain(&error, false);
    for part in [
        "services[0].slots: must be a whole number from 1 to 10000 requests",
        "services[0].connections: is required",
        "services[0].operations: is required",
        "next: mend the file",
    ] {
        assert!(text.contains(part), "{part} is not in {text}");
    }

    assert_matches!(
        input::parse_text(path, "drain: [vm-1]\ndrain: [vm-2]\n"),
        Err(ToolError::Syntax { .. })
    );
    assert_matches!(
        input::parse_text(path, "drain: ["),
        Err(ToolError::Syntax { .. })
    );
    assert_matches!(input::parse_text(path, "drain: [vm-1]"), Ok(_));
}

#[test]
fn each_failure_has_its_exit_code_and_next_step() {
    let answered = |error: &IntentError| ToolError::Answered {
        status: error.status(),
        report: Box::new(ErrorReport::from(error)),
    };
    let conflict = IntentError::Conflict {
        conflict: Box::new(ConfirmConflict {
            base_version: 4,
            found_version: 5,
            found_plan: "plan-5-x".into(),
            changes: vec![PlannedChange::DrainStarted {
                node: "vm-2".to_owned().try_into().unwrap(),
            }],
        }),
    };
    let refused = IntentError::Refused {
        refusals: vec![IntentRefusal {
            code: "last-target".into(),
            subject: "agenda".into(),
            reason: "no target would be left".into(),
            what_to_do: "start another target first".into(),
        }],
    };
    let unknown = IntentError::OutcomeUnknown {
        plan: "plan-5-x".into(),
    };

    let cases = [
        (answered(&conflict), 1, "VM vm-2 is drained"),
        (answered(&refused), 1, "start another target first"),
        (answered(&unknown), 4, "takes effect once at most"),
        (
            answered(&IntentError::Unavailable),
            3,
            "wait until the platform answers",
        ),
        (
            ToolError::Answered {
                status: 401,
                report: Box::new(ErrorReport::new("unauthorized", "no token")),
            },
            5,
            "--token-file",
        ),
    ];

    for (error, code, part) in cases {
        let text = errors::explain(&error, false);
        assert_eq!(error.exit_status().code(), code, "{text}");
        assert!(text.contains(part), "{part} is not in {text}");

        let json = errors::explain(&error, true);
        assert_eq!(
            serde_json::from_str::<ErrorReport>(&json).unwrap().code,
            error.code()
        );
    }
}
