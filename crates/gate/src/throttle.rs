//! How much of the new work of a target begins while services that it calls are overloaded.

use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The weight of the latest report in the moving average; each target of the called service reports
/// a share of its own.
const REPORT_AVERAGE_WEIGHT: f32 = 0.25;

/// The time without reports after which all new work may start again.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// The time constant in seconds with which the offered work of a rank decays.
const OFFER_DECAY_SECONDS: f32 = 2.0;

/// The most requests of a rank that may start in a row after a time without any.
const MAX_CREDIT: f32 = 2.0;

/// The weight of the latest call in the moving average of the times that calls take.
const CALL_AVERAGE_WEIGHT: f32 = 0.1;

/// The time that calls take, relative to their objective, up to which the share is not reduced for
/// it.
const MAX_CALL_TIME: f32 = 0.4;

/// The factor by which calls that take one more objective divide the share.
const CALL_TIME_WEIGHT: f32 = 5.0;

/// The maximum number of ranks and of called services.
const MAX_ENTRIES: usize = 16;

/// `RankOffers` holds the new work of one rank.
#[derive(Debug, Default)]
struct RankOffers {
    /// The decayed number of calls that the offered work would make.
    calls: f32,
    credit: f32,
}

/// `WorkThrottle` admits the share of new work that one called service asks for. The most urgent
/// rank goes first; the rest is for the next one.
#[derive(Debug)]
pub struct WorkThrottle {
    /// The share that the targets of the service ask for.
    share: f32,
    /// The mean time that recent calls of this target took, relative to their objective.
    call_time: f32,
    reported_at: LocalMoment,
    has_expired: bool,
    offered_at: LocalMoment,
    ranks: BTreeMap<u32, RankOffers>,
}

impl Default for WorkThrottle {
    fn default() -> Self {
        Self {
            share: 1.0,
            call_time: 0.0,
            reported_at: LocalMoment::ZERO,
            has_expired: true,
            offered_at: LocalMoment::ZERO,
            ranks: BTreeMap::new(),
        }
    }
}

impl WorkThrottle {
    /// Records the share of new work that a target of the called service asks for, from 0 to 1.
    pub fn report(&mut self, share: f32, now: LocalMoment) {
        self.expire(now);
        let weight = if self.has_expired {
            1.0
        } else {
            REPORT_AVERAGE_WEIGHT
        };
        self.share += (share - self.share) * weight;
        self.reported_at = now;
        self.has_expired = false;
    }

    /// Records the time that a call took, relative to its objective. The reports cannot tell of work
    /// that its calls keep from ending: it takes the slots of this target, so that less begins, and
    /// the called service sees no more calls than it serves.
    pub fn call_ended(&mut self, time: f32) {
        self.call_time += (time - self.call_time) * CALL_AVERAGE_WEIGHT;
    }

    /// Records an offered request of a rank that makes some calls to the service, and returns whether
    /// it may start. [`Self::take`] has to follow if it does.
    pub fn offer(&mut self, rank: u32, calls: f32, now: LocalMoment) -> bool {
        self.expire(now);
        let decay = (-now.since(self.offered_at).as_secs_f32() / OFFER_DECAY_SECONDS).exp();
        self.offered_at = now;
        for offers in self.ranks.values_mut() {
            offers.calls *= decay;
        }
        let is_new = !self.ranks.contains_key(&rank);
        if is_new && self.ranks.len() >= MAX_ENTRIES {
            self.ranks.retain(|_, offers| offers.calls > 0.01);
        }
        let offers = self.ranks.entry(rank).or_default();
        offers.calls += calls;
        if is_new {
            // A rank without recent work starts with its first request.
            offers.credit = 1.0;
        }

        let rank_share = self.rank_share(rank);
        let Some(offers) = self.ranks.get_mut(&rank) else {
            return true;
        };
        offers.credit = (offers.credit + rank_share).min(MAX_CREDIT);
        offers.credit >= 1.0
    }

    /// Takes the credit of a request that starts.
    pub fn take(&mut self, rank: u32) {
        if let Some(offers) = self.ranks.get_mut(&rank) {
            offers.credit = (offers.credit - 1.0).max(0.0);
        }
    }

    /// Returns the share of new work that is admitted at present, from 0 to 1.
    pub fn share(&self, now: LocalMoment) -> f32 {
        if now.since(self.reported_at) > MAX_REPORT_AGE {
            1.0
        } else {
            self.reduced_share()
        }
    }

    /// Returns the reported share, reduced for calls that take too long.
    fn reduced_share(&self) -> f32 {
        let excess = (self.call_time - MAX_CALL_TIME).max(0.0);

        self.share / (1.0 + excess * CALL_TIME_WEIGHT)
    }

    /// Returns the share of the work of a rank that is admitted: what the more urgent ranks leave.
    fn rank_share(&self, rank: u32) -> f32 {
        let offered: f32 = self.ranks.values().map(|offers| offers.calls).sum();
        let ahead: f32 = self
            .ranks
            .range(..rank)
            .map(|(_, offers)| offers.calls)
            .sum();
        let own = self.ranks.get(&rank).map_or(0.0, |offers| offers.calls);

        ((offered * self.reduced_share() - ahead) / own.max(f32::MIN_POSITIVE)).clamp(0.0, 1.0)
    }

    /// Admits all work if the last report is too old.
    fn expire(&mut self, now: LocalMoment) {
        if now.since(self.reported_at) > MAX_REPORT_AGE {
            self.share = 1.0;
            self.call_time = 0.0;
            self.has_expired = true;
        }
    }
}

/// `CalleeThrottles` holds the throttle of each called service.
#[derive(Debug, Default)]
pub struct CalleeThrottles {
    services: BTreeMap<Arc<str>, WorkThrottle>,
}

impl CalleeThrottles {
    /// Records the share of new work that a target of a called service asks for, from 0 to 1.
    pub fn report(&mut self, service: &Arc<str>, share: f32, now: LocalMoment) {
        if let Some(throttle) = self.services.get_mut(service) {
            throttle.report(share, now);
        } else if self.services.len() < MAX_ENTRIES {
            let mut throttle = WorkThrottle::default();
            throttle.report(share, now);
            self.services.insert(Arc::clone(service), throttle);
        }
    }

    /// Records the time that a call to a service took, relative to its objective.
    pub fn call_ended(&mut self, service: &str, time: f32) {
        if let Some(throttle) = self.services.get_mut(service) {
            throttle.call_ended(time);
        }
    }

    /// Decides on a request of a rank. `calls` returns the calls that it makes to a service, zero if
    /// it makes none. It starts only if all services that it calls agree, so the lowest of their
    /// shares counts.
    ///
    /// # Errors
    ///
    /// Returns the name of a service that does not agree.
    pub fn admit(
        &mut self,
        rank: u32,
        calls: impl Fn(&str) -> f32,
        now: LocalMoment,
    ) -> Result<(), Arc<str>> {
        let mut refusing = None;
        for (service, throttle) in &mut self.services {
            let calls = calls(service);
            if calls > 0.0 && !throttle.offer(rank, calls, now) && refusing.is_none() {
                refusing = Some(Arc::clone(service));
            }
        }
        if let Some(service) = refusing {
            return Err(service);
        }

        for (service, throttle) in &mut self.services {
            if calls(service) > 0.0 {
                throttle.take(rank);
            }
        }
        Ok(())
    }

    /// Returns the share of new work that is admitted for a called service, from 0 to 1.
    pub fn share(&self, service: &str, now: LocalMoment) -> f32 {
        self.services
            .get(service)
            .map_or(1.0, |throttle| throttle.share(now))
    }

    /// Returns the called services with the share of new work that is admitted for each.
    pub fn shares(&self, now: LocalMoment) -> impl Iterator<Item = (&Arc<str>, f32)> {
        self.services
            .iter()
            .map(move |(service, throttle)| (service, throttle.share(now)))
    }
}
