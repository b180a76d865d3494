//! How a request ended, as a line tells it.

use crate::line::{LineError, LogLine, Result};
use serde::Serialize;

/// The reason code of a response of the target.
const ANSWERED: &str = "answered";

/// The lowest HTTP status that counts as a failure.
const MIN_FAILURE_STATUS: u64 = 500;

/// The statuses that state that the request has not run.
const NOT_RUN_STATUSES: [u64; 4] = [408, 421, 429, 503];

/// `RequestPlace` is the node that logged the end of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestPlace {
    /// The node that the caller sent it to.
    Caller,
    /// The node beside a target that was asked.
    Target,
}

/// `RequestFate` is what became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestFate {
    /// It has a response of the target that is no failure.
    Answered,
    /// It did not run.
    Refused,
    /// It failed at the target, or nobody knows whether it ran.
    Failed,
}

/// `RequestLine` is the end of a request at one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLine {
    /// The identifier of the request.
    pub id: String,
    /// The node that logged it.
    pub place: RequestPlace,
    /// What became of it there.
    pub fate: RequestFate,
    /// The stable code of the reason.
    pub reason: String,
    /// The name of the route; `None` if none matched.
    pub route: Option<String>,
    /// The service; only callers' nodes log it.
    pub service: Option<String>,
    /// The nodes that were asked, in order.
    pub asked: Vec<String>,
    /// The time from its arrival to its end in milliseconds, if the line states it: at the caller's node all of it,
    /// at the target's node its wait for a slot.
    pub took_ms: Option<u64>,
    /// The latency objective in milliseconds, if the line states it.
    pub objective_ms: Option<u64>,
    /// The failures that this node did not log before this line.
    pub skipped: u64,
}

impl RequestLine {
    /// Reads the end of a request from a line, or `None` if the line tells of something else.
    ///
    /// # Errors
    ///
    /// Fails when the line lacks a field that lines of its event have.
    pub fn read(line: &LogLine) -> Result<Option<Self>> {
        let text = |key: &str| line.field(key).map(ToOwned::to_owned);
        let needed = |key: &str| text(key).ok_or(LineError::Malformed);
        let base = |place, fate, reason| -> Result<Self> {
            Ok(Self {
                id: needed("request_id")?,
                place,
                fate,
                reason,
                route: text("route"),
                service: text("service"),
                asked: Vec::new(),
                took_ms: None,
                objective_ms: line.number("objective_ms"),
                skipped: line.number("skipped").ok_or(LineError::Malformed)?,
            })
        };

        let request = match line.event.as_str() {
            "request-ended" => {
                let status = line.number("status").ok_or(LineError::Malformed)?;
                let reason = needed("reason")?;
                let asked = line.field("asked").unwrap_or_default();
                Self {
                    asked: asked
                        .split(',')
                        .filter(|node| !node.is_empty())
                        .map(ToOwned::to_owned)
                        .collect(),
                    took_ms: Some(line.number("took_ms").ok_or(LineError::Malformed)?),
                    ..base(RequestPlace::Caller, fate_of(status, &reason), reason)?
                }
            }
            "request-refused" => base(
                RequestPlace::Caller,
                RequestFate::Refused,
                needed("reason")?,
            )?,
            "order-ended" => {
                let reason = needed("outcome")?;
                let fate = if reason == ANSWERED {
                    RequestFate::Answered
                } else {
                    RequestFate::Refused
                };
                Self {
                    took_ms: Some(line.number("waited_ms").ok_or(LineError::Malformed)?),
                    ..base(RequestPlace::Target, fate, reason)?
                }
            }
            "order-failed" => base(RequestPlace::Target, RequestFate::Failed, needed("reason")?)?,
            _ => return Ok(None),
        };

        Ok(Some(request))
    }

    /// Returns whether the response came after the objective.
    pub fn is_late(&self) -> bool {
        self.place == RequestPlace::Caller
            && self.fate == RequestFate::Answered
            && matches!((self.took_ms, self.objective_ms), (Some(took), Some(objective)) if took > objective)
    }
}

/// Returns what became of a request that ended with a status at its caller's node.
fn fate_of(status: u64, reason: &str) -> RequestFate {
    match status {
        _ if reason == ANSWERED && status < MIN_FAILURE_STATUS => RequestFate::Answered,
        _ if reason == ANSWERED => RequestFate::Failed,
        status if NOT_RUN_STATUSES.contains(&status) => RequestFate::Refused,
        _ => RequestFate::Failed,
    }
}
