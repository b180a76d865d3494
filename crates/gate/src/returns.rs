//! Refused callers that repeat their request before the time that they were asked to wait.

use std::{collections::HashMap, time::Duration};
use wagtail_core::units::LocalMoment;

/// The maximum number of refused requests that are remembered.
const MAX_ENTRIES: usize = 4_096;

/// The early returns that are refused for each refusal. Callers repeat a request once or twice;
/// further requests that look the same come from other callers.
const RETURNS_PER_REFUSAL: u32 = 2;

/// `RefusedRequest` is a refused request whose caller is to wait.
#[derive(Debug, Clone, Copy)]
struct RefusedRequest {
    /// The time until which a repetition is early.
    early_until: LocalMoment,
    /// The time that the caller was asked to wait for.
    until: LocalMoment,
    /// The number of early returns that may still be refused.
    returns: u32,
}

/// `EarlyReturns` recognizes callers that repeat a refused request before half of the delay that they
/// were asked for has passed.
///
/// Requests are known by a number that a request and its repetitions have in common. Callers that send
/// the same request cannot be told apart, so a refusal delays at most `RETURNS_PER_REFUSAL` requests.
#[derive(Debug, Default)]
pub struct EarlyReturns {
    requests: HashMap<u64, RefusedRequest>,
}

impl EarlyReturns {
    /// Records that a request was refused and its caller asked to wait for `delay`.
    pub fn refused(&mut self, request_id: u64, delay: Duration, now: LocalMoment) {
        if delay.is_zero() {
            return;
        }
        if self.requests.len() >= MAX_ENTRIES && !self.requests.contains_key(&request_id) {
            self.requests.retain(|_, request| request.until > now);
            if self.requests.len() >= MAX_ENTRIES {
                return;
            }
        }

        let earlier = self
            .requests
            .get(&request_id)
            .filter(|request| request.until > now)
            .map_or(0, |request| request.returns);
        let refused = RefusedRequest {
            early_until: now + delay / 2,
            until: now + delay,
            returns: earlier + RETURNS_PER_REFUSAL,
        };
        self.requests.insert(request_id, refused);
    }

    /// Returns the rest of the delay if a request is the early return of a refused caller.
    pub fn check(&mut self, request_id: u64, now: LocalMoment) -> Option<Duration> {
        let request = self.requests.get_mut(&request_id)?;
        if now >= request.until {
            self.requests.remove(&request_id);
            return None;
        }
        if now >= request.early_until || request.returns == 0 {
            return None;
        }

        request.returns -= 1;
        Some(request.until.since(now))
    }
}
