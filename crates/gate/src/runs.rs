//! Which requests may have run at the target when its process ended.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};
use wagtail_core::{digest::RequestContent, heartbeat::TargetIncarnation, units::LocalMoment};

/// The time for which a request without a whole response counts as one that may still run.
const UNRESOLVED_TIME: Duration = Duration::from_secs(2);

/// The maximum number of such requests.
const MAX_UNRESOLVED: usize = 64;

/// `RunEnd` tells how a request that was sent to the target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The target responded with success, and the whole response arrived.
    Succeeded,
    /// The target did not run the request, or its whole response arrived but tells of a failure.
    Settled,
    /// There is no whole response, so the request may still run.
    Unresolved,
}

/// `RunOrigin` tells when and why a request was sent to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunOrigin {
    /// When it was sent.
    pub began_at: LocalMoment,
    /// Whether its caller's node sent it after an earlier run of it had failed.
    pub is_repeat: bool,
}

/// `EndedRun` is a request that may have run when the process of the target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// The content of the request.
    pub content: RequestContent,
    /// When and why it was sent.
    pub origin: RunOrigin,
}

/// `TargetRun` is a request that was sent to an incarnation of the target.
#[derive(Debug, Clone, PartialEq, Eq)]
struct TargetRun {
    life: TargetIncarnation,
    content: RequestContent,
    origin: RunOrigin,
}

impl TargetRun {
    /// Returns the run as one that the end of the process may have cut off.
    fn end(self) -> EndedRun {
        EndedRun {
            content: self.content,
            origin: self.origin,
        }
    }
}

/// `RunTracker` holds the requests that run at the target, and those that may still run there.
#[derive(Debug, Default)]
pub struct RunTracker {
    running: HashMap<u64, TargetRun>,
    unresolved: VecDeque<(LocalMoment, TargetRun)>,
}

impl RunTracker {
    /// Records that a request is sent to an incarnation of the target. `ticket` identifies it.
    pub fn begin(
        &mut self,
        ticket: u64,
        life: TargetIncarnation,
        content: RequestContent,
        origin: RunOrigin,
    ) {
        let run = TargetRun {
            life,
            content,
            origin,
        };
        self.running.insert(ticket, run);
    }

    /// Returns the contents of the requests that run.
    pub fn running(&self) -> impl Iterator<Item = &RequestContent> {
        self.running.values().map(|run| &run.content)
    }

    /// Records how a request ended. Returns its content if it succeeded.
    pub fn finish(&mut self, ticket: u64, end: RunEnd, now: LocalMoment) -> Option<RequestContent> {
        let run = self.running.remove(&ticket)?;

        match end {
            RunEnd::Succeeded => return Some(run.content),
            RunEnd::Settled => {}
            RunEnd::Unresolved => {
                if self.unresolved.len() == MAX_UNRESOLVED {
                    self.unresolved.pop_front();
                }
                self.unresolved.push_back((now, run));
            }
        }
        None
    }

    /// Records that the process of an incarnation of the target has ended at `ended_at`, and returns the requests
    /// that may have run there at that moment.
    pub fn end_incarnation(
        &mut self,
        life: &TargetIncarnation,
        ended_at: LocalMoment,
    ) -> Vec<EndedRun> {
        let running = self.running.extract_if(|_, run| run.life == *life);
        let mut ended: Vec<EndedRun> = running.map(|(_, run)| run.end()).collect();

        for (at, run) in std::mem::take(&mut self.unresolved) {
            if run.life != *life {
                self.unresolved.push_back((at, run));
            } else if ended_at.since(at) <= UNRESOLVED_TIME {
                ended.push(run.end());
            }
        }
        ended
    }
}
