//! What the target states about itself in its responses.

use super::TargetProxy;
use crate::{
    messages::{NoticeReport, TargetNotice},
    ports::ResponseFields,
};
use event_listener::EventListener;
use std::time::Duration;
use tracing::{info, warn};
use wagtail_core::{
    heartbeat::{TargetDeparture, TargetIncarnation},
    notice::{LimitStatement, LoadStatement, RequestRate},
    units::LocalMoment,
};
use wagtail_net::clock;

/// The shortest time between two log lines on changes of the value of a limit.
const MIN_LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// `NoticeState` tracks the statements of the present incarnation of the target. The limit itself is
/// in force at the gate, and a leave is kept as a departure.
#[derive(Debug, Default)]
pub(super) struct NoticeState {
    /// Whether the target has responded to this process.
    has_responded: bool,
    limit_logged_at: LocalMoment,
    malformed_logged: bool,
    malformed_load_logged: bool,
    capacity_logged_at: LocalMoment,
}

impl TargetProxy {
    /// Returns the rate of requests that the target accepts, or `None` if it names no limit.
    pub fn limit(&self) -> Option<RequestRate> {
        self.state.borrow().gate.limit()
    }

    /// Records what a response of an incarnation of the target states, unless that one has been
    /// replaced. `is_named` says that the response names the request that it arrived for; any other
    /// may be old, so it neither withdraws nor raises a limit.
    pub(super) fn record_notice(
        &self,
        life: &TargetIncarnation,
        fields: &ResponseFields,
        is_named: bool,
    ) {
        if self.state.borrow().keeper.life() != Some(life) {
            return;
        }

        self.state.borrow_mut().notices.has_responded = true;
        let known = self.limit();
        let limit = fields.limit.limit_after(known, is_named);
        self.apply_limit(life, limit);

        if fields.limit == LimitStatement::Malformed {
            self.log_malformed_limit(life, known);
        }
        self.record_load(life, fields.load);
        if fields.is_leaving {
            self.record_stated_leave(life);
        }
    }

    /// Records the load that a response states. A malformed one leaves the previous one in force and is
    /// logged once for each incarnation.
    fn record_load(&self, life: &TargetIncarnation, load: LoadStatement) {
        let state = &mut *self.state.borrow_mut();

        match load {
            LoadStatement::Stated(load) => state.gate.set_load(load, clock::now()),
            LoadStatement::Absent => {}
            LoadStatement::Malformed => {
                if !std::mem::replace(&mut state.notices.malformed_load_logged, true) {
                    warn!(event = "target-load-malformed", life = %life);
                }
            }
        }
    }

    /// Logs a change of the learned limit, at most every `MIN_LIMIT_LOG_INTERVAL`. The latest change
    /// within that interval is logged when it has passed.
    pub(super) fn log_capacity(&self) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        if now.since(state.notices.capacity_logged_at) < MIN_LIMIT_LOG_INTERVAL {
            return;
        }
        let Some(change) = state.gate.take_capacity_change() else {
            return;
        };

        state.notices.capacity_logged_at = now;
        info!(
            event = "capacity-learned",
            limit = change.limit,
            slots = change.slots,
            before = change.before.level,
            throughput = change.after.throughput,
            throughput_before = change.before.throughput
        );
    }

    /// Records that an incarnation of the target states its leave, which is final: it gets no requests
    /// after its drain time, and heartbeats that it sent before do not bring it back into service.
    fn record_stated_leave(&self, life: &TargetIncarnation) {
        let is_known = self.with_keeper(|keeper| keeper.has_departed(life));
        if is_known {
            return;
        }
        info!(event = "target-states-leave", life = %life);
        self.with_keeper(|keeper| keeper.depart(TargetDeparture::from(life)));
        self.departed.notify(usize::MAX);

        self.leave(clock::now());
    }

    /// Returns a future that ends when the target next states its leave in a response.
    pub fn stated_leave(&self) -> EventListener {
        self.departed.listen()
    }

    /// Applies what another node was told of the target by an earlier process of this one. A leave is
    /// final. A limit holds until the target responds to this process.
    pub(super) fn apply_notice(&self, notice: &TargetNotice) {
        let is_present = self.state.borrow().keeper.life() == Some(&notice.life);
        let departure = TargetDeparture::from(&notice.life);
        let is_news =
            notice.is_leaving && self.with_keeper(|keeper| !keeper.has_departed(&notice.life));
        if is_news {
            let is_covered =
                self.with_keeper(|keeper| keeper.life().is_some_and(|life| departure.covers(life)));
            info!(event = "target-leave-reported", life = %notice.life, is_present = is_covered);
            self.with_keeper(|keeper| keeper.depart(departure));
            self.departed.notify(usize::MAX);
            if is_covered {
                self.leave_at_once(clock::now());
            }
        }

        let has_responded = self.state.borrow().notices.has_responded;
        let is_lower = match (notice.limit, self.limit()) {
            (Some(reported), Some(known)) => reported < known,
            (reported, None) => reported.is_some(),
            (None, Some(_)) => false,
        };
        if is_present && !has_responded && is_lower {
            self.apply_limit(&notice.life, notice.limit);
        }
    }

    /// Returns what this node knows from responses of its target.
    pub(super) fn notice_report(&self) -> NoticeReport {
        let state = self.state.borrow();
        let Some(life) = state.keeper.life() else {
            return NoticeReport::Unknown;
        };
        let notice = TargetNotice {
            life: life.clone(),
            limit: state.gate.limit(),
            is_leaving: state.keeper.has_departed(life),
        };

        if notice.is_leaving || notice.limit.is_some() {
            NoticeReport::Stated(notice)
        } else if state.notices.has_responded {
            NoticeReport::Nothing
        } else {
            NoticeReport::Unknown
        }
    }

    /// Logs, once for each incarnation, that a limit cannot be parsed and which one stays in force.
    fn log_malformed_limit(&self, life: &TargetIncarnation, kept: Option<RequestRate>) {
        let notices = &mut self.state.borrow_mut().notices;

        if !std::mem::replace(&mut notices.malformed_logged, true) {
            let kept = kept.map(RequestRate::per_second);
            warn!(event = "target-limit-malformed", life = %life, kept);
        }
    }

    /// Puts a limit in force, which may refuse queued requests.
    fn apply_limit(&self, life: &TargetIncarnation, limit: Option<RequestRate>) {
        let now = clock::now();
        let actions = {
            let state = &mut *self.state.borrow_mut();
            state
                .notices
                .log_limit(life, state.gate.limit(), limit, now);
            state.gate.set_limit(limit, now)
        };

        self.apply_actions(actions);
    }
}

impl NoticeState {
    /// Logs a limit that differs from the known one. Changes of its value are logged at most every
    /// `MIN_LIMIT_LOG_INTERVAL`.
    fn log_limit(
        &mut self,
        life: &TargetIncarnation,
        known: Option<RequestRate>,
        limit: Option<RequestRate>,
        now: LocalMoment,
    ) {
        let is_value_change = known.is_some() && limit.is_some();
        let is_recent = now.since(self.limit_logged_at) < MIN_LIMIT_LOG_INTERVAL;
        if limit == known || (is_value_change && is_recent) {
            return;
        }

        self.limit_logged_at = now;
        info!(
            event = "target-limit", life = %life, per_second = limit.map(RequestRate::per_second),
            before = known.map(RequestRate::per_second)
        );
    }
}
