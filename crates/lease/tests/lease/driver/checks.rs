//! The invariants, checked while the world runs.

use super::{MS, SECOND, Step, Work, World, micros_of};
use rand::Rng;
use wagtail_core::{ids::LeaseEpoch, slice::SliceId};

impl World {
    /// Takes in that a node starts to serve: epochs only grow, and each has one owner.
    pub(super) fn serve(&mut self, node: usize, slice: &SliceId, epoch: LeaseEpoch) {
        self.counts.epochs += 1;
        let last = self.served.get(slice).copied();

        if let Some((last, owner)) = last
            && (epoch < last || (epoch == last && owner != node))
        {
            let text = format!(
                "{} us: vm-{node} serves {slice} at {epoch:?} after vm-{owner} at {last:?}",
                self.now
            );
            self.violations.push(text);
        }

        self.served.insert(slice.clone(), (epoch, node));
        self.serving.entry(slice.clone()).or_default().insert(node);
    }

    /// Checks every slice, and sends one order of each owner to its target.
    pub(super) fn probe(&mut self) {
        for slice in self.slices() {
            let owners = self.owners(&slice);
            self.counts.owners += 1;

            if owners.len() > 1 {
                self.violations
                    .push(format!("{} us: {slice} is owned by {owners:?}", self.now));
            }

            let is_served = owners.iter().any(|owner| self.is_running(*owner));
            self.note_served(&slice, is_served);

            for owner in owners {
                if self.is_running(owner) {
                    self.order_work(owner, &slice);
                }
            }
        }

        self.plan(self.options.probe, Step::Probe);
    }

    pub(super) fn note_served(&mut self, slice: &SliceId, is_served: bool) {
        if is_served {
            self.unserved_since.remove(slice);
            return;
        }

        let since = *self.unserved_since.entry(slice.clone()).or_insert(self.now);
        let gap = self.now - since + self.options.probe;
        let longest = self.longest_gap.entry(slice.clone()).or_default();
        *longest = (*longest).max(gap);
    }

    /// Sends an order that was checked now and reaches its target a little later, where it runs to
    /// the end of the time that the lease left at the check.
    pub(super) fn order_work(&mut self, node: usize, slice: &SliceId) {
        let Some(grant) = self.grant(node, slice) else {
            return;
        };

        let longest = micros_of(self.options.lease.unfenced_wait) * 9 / 10;
        let from = self.now + self.rng.random_range(0..longest);
        let left = micros_of(grant.until.since(self.local(node)));
        let work = Work {
            node,
            epoch: grant.epoch,
            from,
            until: from + left,
        };

        self.check_work(slice, work);
    }

    /// Ends the work of an owner, some of it on its way yet, and returns when all of it has ended.
    pub(super) fn drain_work(&mut self, node: usize, slice: &SliceId) -> u64 {
        let mut end = self.now + self.rng.random_range(0..300 * MS);
        let work = self.work.entry(slice.clone()).or_default();

        for order in work.iter().filter(|order| order.node == node) {
            end = end.max(order.from);
        }

        for order in work.iter_mut().filter(|order| order.node == node) {
            order.until = order.until.min(end);
        }

        end - self.now
    }

    pub(super) fn check_work(&mut self, slice: &SliceId, work: Work) {
        let earlier = self.work.entry(slice.clone()).or_default();
        self.counts.work += 1;

        // A target that checks tokens refuses an order of an earlier epoch; another runs it.
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
