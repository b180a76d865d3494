//! The invariants that are checked while the simulation runs.

use super::{MS, SECOND, Step, Work, World, micros_of};
use rand::Rng;
use wagtail_core::{ids::LeaseEpoch, slice::SliceId};

impl World {
    /// Records that a node starts to serve, and checks that epochs only grow and each has one
    /// owner.
    pub(super) fn serve(&mut self, node: usize, slice: &SliceId, epoch: LeaseEpoch) {
        self.counts.epochs += 1;
        let last = self.last_served.get(slice).copied();

        if let Some((last, owner)) = last
            && (epoch < last || (epoch == last && owner != node))
        {
            let text = format!(
                "{} us: vm-{node} serves {slice} at {epoch:?} after vm-{owner} at {last:?}",
                self.now
            );
            self.violations.push(text);
        }

        self.last_served.insert(slice.clone(), (epoch, node));
        self.serving.entry(slice.clone()).or_default().insert(node);
    }

    /// Checks that every slice has at most one owner, and lets each running owner dispatch a
    /// request to its target.
    pub(super) fn probe(&mut self) {
        for slice in self.slices() {
            let owners = self.owners(&slice);
            self.counts.owners += 1;

            if owners.len() > 1 {
                self.violations
                    .push(format!("{} us: {slice} is owned by {owners:?}", self.now));
            }

            let is_served = owners.iter().any(|owner| self.is_running(*owner));
            self.record_served(&slice, is_served);

            for owner in owners {
                if self.is_running(owner) {
                    self.dispatch_work(owner, &slice);
                }
            }
        }

        self.schedule(self.options.probe, Step::Probe);
    }

    /// Records whether a slice is served now, and updates its longest unserved time.
    pub(super) fn record_served(&mut self, slice: &SliceId, is_served: bool) {
        if is_served {
            self.unserved_since.remove(slice);
            return;
        }

        let since = *self.unserved_since.entry(slice.clone()).or_insert(self.now);
        let gap = self.now - since + self.options.probe;
        let longest = self.longest_gap.entry(slice.clone()).or_default();
        *longest = (*longest).max(gap);
    }

    /// Dispatches a request whose lease is checked now. It reaches its target a little later and
    /// runs there for the time that the lease had left at the check.
    pub(super) fn dispatch_work(&mut self, node: usize, slice: &SliceId) {
        let Some(grant) = self.grant(node, slice) else {
            return;
        };

        let longest = micros_of(self.options.lease.unfenced_wait) * 9 / 10;
        let from = self.now + self.rng.random_range(0..longest);
        let left = micros_of(grant.until.since(self.local_time(node)));
        let work = Work {
            node,
            epoch: grant.epoch,
            from,
            until: from + left,
        };

        self.check_work(slice, work);
    }

    /// Ends the work of an owner, including requests that have not reached the target yet, and
    /// returns the time in microseconds until all of it has ended.
    pub(super) fn drain_work(&mut self, node: usize, slice: &SliceId) -> u64 {
        let mut end = self.now + self.rng.random_range(0..300 * MS);
        let work = self.work.entry(slice.clone()).or_default();

        for request in work.iter().filter(|request| request.node == node) {
            end = end.max(request.from);
        }

        for request in work.iter_mut().filter(|request| request.node == node) {
            request.until = request.until.min(end);
        }

        end - self.now
    }

    /// Checks that work doesn't overlap with work that another node dispatched.
    pub(super) fn check_work(&mut self, slice: &SliceId, work: Work) {
        let earlier = self.work.entry(slice.clone()).or_default();
        self.counts.work += 1;

        // A target that checks fencing tokens refuses a request of an earlier epoch; one that
        // doesn't runs it.
        for other in earlier.iter() {
            let overlaps = other.from < work.until && work.from < other.until;

            let refused = self.options.fenced && other.epoch != work.epoch;

            if other.node != work.node && overlaps && !refused {
                let text = format!("{} us: {slice}: {work:?} runs beside {other:?}", self.now);
                self.violations.push(text);
                break;
            }
        }

        earlier.push_back(work);

        while earlier
            .front()
            .is_some_and(|first| first.until + 2 * SECOND < self.now)
        {
            earlier.pop_front();
        }
    }
}
