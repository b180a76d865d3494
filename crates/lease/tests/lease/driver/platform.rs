//! The simulated object API of the platform, in virtual time.

use super::{MS, SECOND, Step, World};
use rand::Rng;
use wagtail_core::{lease::LeaseRecord, slice::SliceId};
use wagtail_lease::{LeaseEvent, VersionedRecord, WriteOutcome};

impl World {
    pub(super) fn is_platform_out(&self, node: usize) -> bool {
        self.outage || self.cut_from_platform.contains(&node)
    }

    pub(super) fn call_delay(&mut self) -> u64 {
        self.rng.random_range(MS..=self.platform_delay)
    }

    pub(super) fn write(
        &mut self,
        node: usize,
        start: u64,
        record: LeaseRecord,
        expected: u64,
        answered: bool,
    ) {
        let write_id = record.write_id;
        self.counts.writes += 1;
        let second = self.writes_by_second.entry(self.now / SECOND).or_default();
        *second += 1;
        self.counts.max_writes_per_second = self.counts.max_writes_per_second.max(*second);

        let outcome = if self.is_platform_out(node) {
            WriteOutcome::Refused
        } else {
            self.store_record(record, expected)
        };

        let outcome = if answered {
            outcome
        } else {
            WriteOutcome::Unknown
        };
        let delay = self.call_delay();
        let event = LeaseEvent::WriteFinished { write_id, outcome };
        self.schedule(
            delay,
            Step::Deliver {
                to: node,
                event,
                start: Some(start),
            },
        );
    }

    pub(super) fn store_record(&mut self, record: LeaseRecord, expected: u64) -> WriteOutcome {
        let stored = self.store.get(&record.slice);
        let found = stored.map_or(0, |stored| stored.version);

        if found != expected {
            return WriteOutcome::Conflict { stored: None };
        }

        // A stored record was acknowledged to its writer, or may have been, so that nothing older
        // may replace it.
        self.counts.records += 1;

        if let Some(stored) = stored {
            let is_settled = record.epoch == stored.record.epoch
                && record.set_epoch == stored.record.set_epoch
                && record.owner == stored.record.owner;

            if record.epoch < stored.record.epoch
                || (record.epoch == stored.record.epoch && !is_settled)
            {
                let text = format!("{} us: {:?} replaces {:?}", self.now, record, stored.record);
                self.violations.push(text);
            }
        }

        self.revision += 1;
        let version = self.revision;
        self.store
            .insert(record.slice.clone(), VersionedRecord { version, record });

        WriteOutcome::Written { version }
    }

    pub(super) fn read(&mut self, node: usize, start: u64, slice: SliceId, read_id: u64) {
        self.counts.reads += 1;
        let event = if self.is_platform_out(node) {
            LeaseEvent::ReadFailed { slice, read_id }
        } else {
            let stored = self.store.get(&slice).cloned();
            LeaseEvent::RecordRead {
                slice,
                read_id,
                stored,
            }
        };

        let delay = self.call_delay();
        self.schedule(
            delay,
            Step::Deliver {
                to: node,
                event,
                start: Some(start),
            },
        );
    }

    pub(super) fn list(&mut self, node: usize, start: u64) {
        if self.nodes[node].start != start || self.nodes[node].machine.is_none() {
            return;
        }

        if self.is_platform_out(node) {
            self.schedule(500 * MS, Step::List { node, start });
            return;
        }

        let event = LeaseEvent::RecordsListed(self.store.values().cloned().collect());
        let delay = self.call_delay();
        self.schedule(
            delay,
            Step::Deliver {
                to: node,
                event,
                start: Some(start),
            },
        );
    }
}
