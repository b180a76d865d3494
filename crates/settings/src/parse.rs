//! The reader of a settings file with all its sections.

use crate::{
    faults::{FaultKind, Result, SettingsError},
    limits::{
        DRAIN_MS, LEASE_RENEW_MS, LEASE_STAGGER_MS, LEASE_SUSPICION_MS, LEASE_TERM_MS,
        MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_REQUESTS, TOKEN_MAX_CHARS, TOKEN_MIN_CHARS,
    },
    model::{DaemonSettings, LeaseSettings, LimitSettings, ListenSettings, ShutdownSettings},
    section::{FaultList, SectionReader},
};
use serde_yaml_ng::Value;
use std::{net::SocketAddr, sync::Arc};
use wagtail_core::ids::{NodeName, ZoneName};

/// The log filter of a file that sets none.
const DEFAULT_LOG: &str = "info";

/// The minimum number of renewal intervals in the term of a lease; two leave time for one lost
/// exchange.
const MIN_RENEWALS_PER_TERM: u64 = 2;

/// The minimum number of renewal intervals before a silent owner is suspected; with two, one late
/// renewal raises no suspicion.
const MIN_MISSED_RENEWALS: u64 = 2;

/// Parses and validates the settings, and returns all faults if there are any.
pub(crate) fn read_settings(text: &str) -> Result<DaemonSettings> {
    let value: Value = serde_yaml_ng::from_str(text).map_err(|error| SettingsError::Syntax {
        reason: Arc::from(error.to_string()),
    })?;
    let mut list = FaultList::default();

    let settings = read_root(value, &mut list);

    match settings {
        Some(settings) if list.faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::Invalid {
            faults: list.faults,
        }),
    }
}

/// Reads all fields of the top-level mapping, so that a fault in one hides none in others. Returns
/// `None` if a required field has no valid value.
fn read_root(value: Value, list: &mut FaultList) -> Option<DaemonSettings> {
    let mut root = SectionReader::open("", Some(value), list);

    let node = root.require_name("node", |text| NodeName::new(text), list);
    let zone = root.require_name("zone", |text| ZoneName::new(text), list);
    let region = root.take_name("region", |text| ZoneName::new(text), list);
    let admin_remote = root.take_bool("admin_remote", false, list);
    let listen = read_listen(root.take_section("listen", list), admin_remote, list);
    let admin_token = read_token(&mut root, list);
    let platform = root.require_address("platform", list);
    let statsd = root.take_address("statsd", list);
    let log = root.take_text("log", "a filter, such as info", list);
    let limits = read_limits(root.take_section("limits", list), list);
    let lease = read_lease(root.take_section("lease", list), list);
    let shutdown = read_shutdown(root.take_section("shutdown", list), list);
    root.close(list);

    Some(DaemonSettings {
        node: node?,
        zone: zone?,
        region,
        listen: listen?,
        admin_token: admin_token?,
        admin_remote,
        platform: platform?,
        statsd,
        log: Arc::from(log.as_deref().unwrap_or(DEFAULT_LOG)),
        limits,
        lease,
        shutdown,
    })
}

/// Reads the section of listen addresses.
fn read_listen(
    mut section: SectionReader,
    admin_remote: bool,
    list: &mut FaultList,
) -> Option<ListenSettings> {
    let callers = section.require_address("callers", list);
    let peers = section.require_address("peers", list);
    let admin = section.require_address("admin", list);
    let local = section.require_address("local", list);

    check_peers(&section, peers, list);
    check_admin(&section, admin, admin_remote, list);
    check_distinct(
        &section,
        &[
            ("callers", callers),
            ("peers", peers),
            ("admin", admin),
            ("local", local),
        ],
        list,
    );
    section.close(list);

    Some(ListenSettings {
        callers: callers?,
        peers: peers?,
        admin: admin?,
        local: local?,
    })
}

/// Rejects a wildcard address for peers, because the address is announced to the other nodes.
fn check_peers(section: &SectionReader, address: Option<SocketAddr>, list: &mut FaultList) {
    if let Some(address) = address.filter(|address| address.ip().is_unspecified()) {
        let rule = "the other nodes connect to this address, so it must name an interface";
        push_conflict(section, "peers", address, rule, list);
    }
}

/// Rejects an administration address that is not a loopback address, unless `admin_remote` is set.
fn check_admin(
    section: &SectionReader,
    address: Option<SocketAddr>,
    admin_remote: bool,
    list: &mut FaultList,
) {
    if admin_remote {
        return;
    }

    if let Some(address) = address.filter(|address| !address.ip().is_loopback()) {
        let rule = "it must be a loopback address unless admin_remote is true";
        push_conflict(section, "admin", address, rule, list);
    }
}

/// Rejects an address that an earlier listener already uses.
fn check_distinct(
    section: &SectionReader,
    listeners: &[(&'static str, Option<SocketAddr>)],
    list: &mut FaultList,
) {
    for (index, (name, address)) in listeners.iter().enumerate() {
        let Some(address) = address else {
            continue;
        };
        let earlier = listeners[..index]
            .iter()
            .find(|(_, other)| other.as_ref() == Some(address));

        if let Some((taken, _)) = earlier {
            let rule = format!("listen.{taken} has the same address");
            push_conflict(section, name, *address, &rule, list);
        }
    }
}

/// Adds a fault for an address that breaks a rule.
fn push_conflict(
    section: &SectionReader,
    name: &str,
    address: SocketAddr,
    rule: &str,
    list: &mut FaultList,
) {
    let kind = FaultKind::Conflicting {
        found: Arc::from(address.to_string()),
        rule: Arc::from(rule),
    };

    list.push(section.field_path(name), kind);
}

/// Reads the administration token. Faults show only its length, because messages may be logged.
fn read_token(root: &mut SectionReader, list: &mut FaultList) -> Option<Arc<str>> {
    let expected = format!(
        "a quoted text of {TOKEN_MIN_CHARS}..={TOKEN_MAX_CHARS} printable ASCII characters \
         without spaces"
    );
    let text = root.require_text("admin_token", &expected, list)?;

    let fits = (TOKEN_MIN_CHARS..=TOKEN_MAX_CHARS).contains(&text.len());
    let printable = text.bytes().all(|byte| byte.is_ascii_graphic());

    if !fits || !printable {
        let found = Value::String(format!("({} characters)", text.chars().count()));
        list.push_malformed(root.field_path("admin_token"), &found, &expected);
        return None;
    }

    Some(Arc::from(text))
}

/// Reads the section of request limits.
fn read_limits(mut section: SectionReader, list: &mut FaultList) -> LimitSettings {
    let limits = LimitSettings {
        max_body_bytes: section.take_number("max_body_bytes", &MAX_BODY_BYTES, list),
        max_header_bytes: section.take_number("max_header_bytes", &MAX_HEADER_BYTES, list),
        max_requests: section.take_number("max_requests", &MAX_REQUESTS, list),
    };
    section.close(list);

    limits
}

/// Reads the section of lease timing. The ranges of `renew_ms` and `suspicion_ms` depend on the
/// fields before them.
fn read_lease(mut section: SectionReader, list: &mut FaultList) -> LeaseSettings {
    let term_ms = section.take_number("term_ms", &LEASE_TERM_MS, list);
    let renew_range = LEASE_RENEW_MS.with_greatest(term_ms / MIN_RENEWALS_PER_TERM, "term_ms/2");
    let renew_ms = section.take_number("renew_ms", &renew_range, list);
    let least_suspicion = renew_ms.saturating_mul(MIN_MISSED_RENEWALS);
    let suspicion_range = LEASE_SUSPICION_MS.with_least(least_suspicion, "2*renew_ms");

    let lease = LeaseSettings {
        term_ms,
        renew_ms,
        suspicion_ms: section.take_number("suspicion_ms", &suspicion_range, list),
        stagger_ms: section.take_number("stagger_ms", &LEASE_STAGGER_MS, list),
    };
    section.close(list);

    lease
}

/// Reads the section of shutdown timing.
fn read_shutdown(mut section: SectionReader, list: &mut FaultList) -> ShutdownSettings {
    let shutdown = ShutdownSettings {
        drain_ms: section.take_number("drain_ms", &DRAIN_MS, list),
    };
    section.close(list);

    shutdown
}
