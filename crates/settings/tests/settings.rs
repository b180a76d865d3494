//! Tests of parsing and validating the settings file.

use assert_matches::assert_matches;
use wagtail_settings::{DaemonSettings, FaultKind, SettingFault, SettingsError};

/// A settings file with only the required fields.
const MINIMAL: &str = "
node: vm-1
zone: zone-a
listen:
  callers: 127.0.0.1:7001
  peers: 127.0.0.1:7002
  admin: 127.0.0.1:7003
  local: 127.0.0.1:7004
admin_token: 0123456789abcdef-token
platform: 127.0.0.1:7000
";

/// Returns the faults of an invalid file.
fn faults(text: &str) -> Vec<SettingFault> {
    match DaemonSettings::from_yaml(text) {
        Err(SettingsError::Invalid { faults }) => faults,
        other => panic!("expected faults, got {other:?}"),
    }
}

/// Returns the faults of an invalid file as they are shown to the operator.
fn lines(text: &str) -> Vec<String> {
    faults(text).iter().map(ToString::to_string).collect()
}

#[test]
fn absent_fields_take_their_defaults() {
    let settings = DaemonSettings::from_yaml(MINIMAL).unwrap();

    assert_eq!(settings.node.as_str(), "vm-1");
    assert_eq!(settings.region, None);
    assert_eq!(&*settings.log, "info");
    assert_eq!(settings.lease.term_ms, 700);
    assert_eq!(settings.lease.renew_ms, 200);
    assert!(!settings.admin_remote);
}

#[test]
fn every_default_lies_in_its_own_range() {
    let explicit = format!(
        "{MINIMAL}
limits: {{max_body_bytes: 1048576, max_header_bytes: 16384, max_requests: 4096}}
lease: {{term_ms: 700, renew_ms: 200, suspicion_ms: 600, stagger_ms: 120}}
shutdown: {{drain_ms: 30000}}
"
    );

    assert_eq!(
        DaemonSettings::from_yaml(&explicit),
        DaemonSettings::from_yaml(MINIMAL)
    );
}

#[test]
fn every_fault_is_listed_with_path_range_and_unit() {
    let text = "
node: VM 1
listen:
  callers: 127.0.0.1
  peers: 0.0.0.0:7002
  admin: 10.0.0.7:7003
  lokal: 127.0.0.1:7004
admin_token: short
platform: 127.0.0.1:7000
lease: {renew_ms: 900, stagger_ms: fast}
limits: {max_requests: 0}
shutdown: 5
colour: blue
";

    let seen = lines(text);

    for expected in [
        "node: \"VM 1\" is not a name of 1 to 63 of a-z, 0-9, '-', '_' and '.'",
        "zone: is missing; expected a name of 1 to 63 of a-z, 0-9, '-', '_' and '.'",
        "listen.callers: \"127.0.0.1\" is not an IP address with a port of 1..=65535, \
         such as 10.0.0.7:7000",
        "listen.local: is missing; expected an IP address with a port of 1..=65535",
        "listen.peers: 0.0.0.0:7002 is refused: the other nodes connect to this address, \
         so it must name an interface",
        "listen.admin: 10.0.0.7:7003 is refused: it must be a loopback address unless \
         admin_remote is true",
        "listen.lokal: is unknown; the fields here are callers, peers, admin, local",
        "limits.max_requests: 0 is outside 1..=100000 requests",
        "lease.renew_ms: 900 is outside 20..=350 (term_ms/2) milliseconds",
        "lease.stagger_ms: \"fast\" is not a whole number in 10..=2000 milliseconds",
        "shutdown: 5 is not a mapping of fields",
    ] {
        assert!(
            seen.iter().any(|line| line == expected),
            "{expected}\n{seen:#?}"
        );
    }

    // The other three faults are the token, `lease.suspicion_ms` with its range that depends on
    // `renew_ms`, and the unknown top-level field, which comes last.
    assert!(seen.iter().any(|line| line.starts_with("admin_token: ")));
    assert!(seen.last().unwrap().starts_with("colour: is unknown"));
    assert_eq!(seen.len(), 14, "{seen:#?}");
}

#[test]
fn the_token_appears_in_no_message() {
    let text = MINIMAL.replace("0123456789abcdef-token", "hunter two with spaces");
    let settings = DaemonSettings::from_yaml(MINIMAL).unwrap();

    assert!(!lines(&text).join("\n").contains("hunter"));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn two_listeners_cannot_share_an_address() {
    let text = MINIMAL.replace("127.0.0.1:7004", "127.0.0.1:7002");

    assert_eq!(
        lines(&text),
        ["listen.local: 127.0.0.1:7002 is refused: listen.peers has the same address"]
    );
}

#[test]
fn the_administration_api_must_be_on_loopback_unless_remote_access_is_allowed() {
    let text = MINIMAL.replace("admin: 127.0.0.1:7003", "admin: 10.0.0.7:7003");

    let seen = faults(&text);
    assert_eq!(seen.len(), 1);
    assert_matches!(seen[0].kind, FaultKind::Conflicting { .. });
    assert_matches!(
        DaemonSettings::from_yaml(&format!("{text}admin_remote: true\n")),
        Ok(_)
    );
}

#[test]
fn the_suspicion_time_covers_at_least_two_renewals() {
    let text = format!("{MINIMAL}lease: {{renew_ms: 350, suspicion_ms: 600}}\n");

    assert_eq!(
        lines(&text),
        ["lease.suspicion_ms: 600 is outside 700 (2*renew_ms)..=10000 milliseconds"]
    );
}

#[test]
fn invalid_yaml_and_duplicate_fields_are_syntax_errors() {
    assert_matches!(
        DaemonSettings::from_yaml("node: [vm"),
        Err(SettingsError::Syntax { .. })
    );
    assert_matches!(
        DaemonSettings::from_yaml(&format!("{MINIMAL}node: vm-2\n")),
        Err(SettingsError::Syntax { .. })
    );
}

#[test]
fn an_empty_file_lacks_every_required_field() {
    let paths: Vec<String> = faults("")
        .iter()
        .map(|fault| fault.path.to_string())
        .collect();

    assert_eq!(
        paths,
        [
            "node",
            "zone",
            "listen.callers",
            "listen.peers",
            "listen.admin",
            "listen.local",
            "admin_token",
            "platform"
        ]
    );
}

#[test]
fn the_example_file_is_valid_and_shows_the_defaults() {
    let example = include_str!("../../../docs/EXAMPLES/wagtaild.yaml");
    let minimal = MINIMAL.replace("0123456789abcdef-token", "change-this-token");

    assert_eq!(
        DaemonSettings::from_yaml(example),
        DaemonSettings::from_yaml(&minimal)
    );
}

#[test]
fn the_error_message_counts_the_faults() {
    let text = MINIMAL.replace("node: vm-1", "node: VM 1") + "colour: red\n";

    let message = DaemonSettings::from_yaml(&text).unwrap_err().to_string();

    assert!(message.starts_with("the settings have 2 fault(s)\n  node: "));
    assert_eq!(message.lines().count(), 3);
}
