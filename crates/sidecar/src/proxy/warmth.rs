//! Protects a cold target: what its heartbeats state of its warm-up, and the limit that follows.

use super::TargetProxy;
use crate::settings::SidecarSettings;
use std::time::Duration;
use tracing::info;
use wagtail_core::{notice::RequestRate, units::LocalMoment};
use wagtail_gate::warmup::{TargetWarmth, WarmupOptions};
use wagtail_net::clock;

/// Returns the terms on which the target counts as cold.
pub(super) fn warmup_options(settings: &SidecarSettings) -> WarmupOptions {
    WarmupOptions {
        factor: settings.cold_factor,
        slack: settings.cold_slack,
        ..WarmupOptions::with_interval(settings.heartbeat)
    }
}

impl TargetProxy {
    /// Returns the rate of requests that the target gets while it is cold, or `None` if it is warm.
    pub fn cold_limit(&self) -> Option<RequestRate> {
        self.state.borrow().gate.limits().cold_limit(clock::now())
    }

    /// Records what a heartbeat states of the warm-up of the target. A target that has become cold may
    /// refuse queued requests.
    pub(super) fn record_warm_up(&self, warm_up_left: Duration, now: LocalMoment) {
        self.update_cold_rate(now);
        let actions = self.state.borrow_mut().gate.heard(warm_up_left, now);

        self.apply_actions(actions);
        self.log_warmth(now);
    }

    /// Takes over the rate that the configuration in force states for cold targets of the service.
    pub(super) fn update_cold_rate(&self, now: LocalMoment) {
        let version = self.view.versions().config;
        let mut state = self.state.borrow_mut();
        if std::mem::replace(&mut state.cold_rate_version, version) == version {
            return;
        }

        let cold_rate = self.view.hosts().and_then(|hosts| {
            let entry = hosts.service(&self.settings.service)?;
            entry.cold_rate
        });
        state.gate.set_cold_rate(cold_rate, now);
    }

    /// Logs whether the target is cold, if that has changed since it was last logged.
    pub(super) fn log_warmth(&self, now: LocalMoment) {
        let mut state = self.state.borrow_mut();
        let warmth = state.gate.limits().warmth(now);
        if std::mem::replace(&mut state.warmth, warmth) == warmth {
            return;
        }

        let life = state.keeper.life().map(ToString::to_string);
        let life = life.as_deref().unwrap_or("");
        if warmth == TargetWarmth::Warm {
            info!(event = "target-warm", life);
        } else {
            info!(
                event = "target-cold",
                life,
                reason = warmth.as_str(),
                warm_up_ms = state.gate.limits().cold_left(now).as_millis(),
                per_second = state
                    .gate
                    .limits()
                    .cold_limit(now)
                    .map(RequestRate::per_second)
            );
        }
    }
}
