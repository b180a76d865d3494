//! The reader of a whole settings file.

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

/// The filter of the logs of a file that names none.
const DEFAULT_LOG: &str = "info";

/// The renewals of a lease that fit into its term at least.
const RENEWALS_PER_TERM: u64 = 2;

/// The renewals that an owner misses at least before it is suspected.
const MISSED_RENEWALS: u64 = 2;

/// Reads the settings and lists every fault.
pub(crate) fn read_settings(text: &str) -> Result<DaemonSettings> {
    let value: Value = serde_yaml_ng::from_str(text).map_err(|error| SettingsError::Syntax {
        reason: Arc::from(error.to_string()),
    })?;
    let mut list = FaultList::default();

    let settings = read_file(value, &mut list);

    match settings {
        Some(settings) if list.faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::Invalid {
            faults: list.faults,
        }),
    }
}

/// Reads each field before it gives up on any.
fn read_file(value: Value, list: &mut FaultList) -> Option<DaemonSettings> {
    let mut file = SectionReader::open("", Some(value), list);

    let node = file.require_name("node", |text| NodeName::new(text), list);
    let zone = file.require_name("zone", |text| ZoneName::new(text), list);
    let region = file.take_name("region", |text| ZoneName::new(text), list);
    let admin_remote = file.take_bool("admin_remote", false, list);
    let listen = read_listen(file.take_section("listen", list), admin_remote, list);
    let admin_token = read_token(&mut file, list);
    let platform = file.require_address("platform", list);
    let statsd = file.take_address("statsd", list);
    let log = file.take_text("log", "a filter, such as info", list);
    let limits = read_limits(file.take_section("limits", list), list);
    let lease = read_lease(file.take_section("lease", list), list);
    let shutdown = read_shutdown(file.take_section("shutdown", list), list);
    file.close(list);

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

/// Reads the addresses to listen on.
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

/// Refuses a wildcard address for peers, since the other nodes are told this address.
fn check_peers(section: &SectionReader, address: Option<SocketAddr>, list: &mut FaultList) {
    if let Some(address) = address.filter(|address| address.ip().is_unspecified()) {
        let rule = "the other nodes connect to this address, so it must name an interface";
        push_conflict(section, "peers", address, rule, list);
    }
}

/// Refuses an administration address beyond loopback unless it is allowed.
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

/// Refuses an address that two listeners share.
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

/// Reports an address that clashes with another field.
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

/// Reads the administration token, which no message repeats.
fn read_token(file: &mut SectionReader, list: &mut FaultList) -> Option<Arc<str>> {
    let expected = format!(
        "a quoted text of {TOKEN_MIN_CHARS}..={TOKEN_MAX_CHARS} printable ASCII characters \
         without spaces"
    );
    let text = file.require_text("admin_token", &expected, list)?;

    let fits = (TOKEN_MIN_CHARS..=TOKEN_MAX_CHARS).contains(&text.len());
    let printable = text.bytes().all(|byte| byte.is_ascii_graphic());

    if !fits || !printable {
        let found = Value::String(format!("({} characters)", text.chars().count()));
        list.push_malformed(file.field_path("admin_token"), &found, &expected);
        return None;
    }

    Some(Arc::from(text))
}

/// Reads the limits on requests.
fn read_limits(mut section: SectionReader, list: &mut FaultList) -> LimitSettings {
    let limits = LimitSettings {
        max_body_bytes: section.take_number("max_body_bytes", &MAX_BODY_BYTES, list),
        max_header_bytes: section.take_number("max_header_bytes", &MAX_HEADER_BYTES, list),
        max_requests: section.take_number("max_requests", &MAX_REQUESTS, list),
    };
    section.close(list);

    limits
}

/// Reads the timing of leases, whose ranges depend on each other.
fn read_lease(mut section: SectionReader, list: &mut FaultList) -> LeaseSettings {
    let term_ms = section.take_number("term_ms", &LEASE_TERM_MS, list);
    let renew_range = LEASE_RENEW_MS.with_greatest(term_ms / RENEWALS_PER_TERM, "term_ms/2");
    let renew_ms = section.take_number("renew_ms", &renew_range, list);
    let least_suspicion = renew_ms.saturating_mul(MISSED_RENEWALS);
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

/// Reads the timing of a graceful shutdown.
fn read_shutdown(mut section: SectionReader, list: &mut FaultList) -> ShutdownSettings {
    let shutdown = ShutdownSettings {
        drain_ms: section.take_number("drain_ms", &DRAIN_MS, list),
    };
    section.close(list);

    shutdown
}
