//! The renewals of the held slices with their witnesses.

use crate::{
    machine::LeaseMachine,
    message::{GrantRefusal, HolderChange, LeaseMessage, RefusalReason},
    pairs::WitnessPair,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wagtail_core::{ids::NodeName, lease::LeaseRecord, units::LocalMoment};

/// The margin after the lapse of another holder's grant before a witness is asked again.
const ASK_MARGIN: Duration = Duration::from_millis(2);

impl LeaseMachine {
    /// Handles the response of a witness to a renewal.
    pub(crate) fn renewed(
        &mut self,
        now: LocalMoment,
        from: &NodeName,
        sequence: u64,
        refusals: &[GrantRefusal],
        changes: &[HolderChange],
    ) {
        let response = self
            .pairs
            .get_mut(from)
            .and_then(|pair| pair.acknowledged(now, sequence));

        let Some((sent, asked)) = response else {
            return;
        };

        for asked in asked.iter() {
            let Some(holder) = self.holders.get_mut(&asked.slice) else {
                continue;
            };

            let refusal = refusals
                .iter()
                .find(|refusal| refusal.slice == asked.slice && refusal.epoch == asked.epoch);

            if let Some(refusal) = refusal {
                holder.refused(from, asked.epoch, &refusal.reason, now);
                continue;
            }

            let change = changes
                .iter()
                .find(|change| change.slice == asked.slice && change.epoch == asked.epoch)
                .map(|change| change.followed);

            holder.granted(from, asked.epoch, sent, change);
        }

        self.ask_after_lapse(now, from, refusals);
        self.learn_from(refusals);
    }

    /// Sends the renewals that are due to the witnesses, of which this node may be one.
    pub(crate) fn send_renewals(&mut self, now: LocalMoment) {
        // The response of this node as its own witness can change the lists again.
        for _ in 0..8 {
            self.relist(now);

            let due: Vec<NodeName> = self
                .pairs
                .values()
                .filter(|pair| pair.send_at <= now)
                .map(|pair| pair.to.clone())
                .collect();

            if due.is_empty() {
                break;
            }

            for to in due {
                self.send_renewal(now, &to);
            }

            self.advance_holders(now);
        }
    }

    /// Sends the next renewal to a witness.
    fn send_renewal(&mut self, now: LocalMoment, to: &NodeName) {
        let Some(pair) = self.pairs.get_mut(to) else {
            return;
        };

        let message = pair.renewal(now, self.counter.next());
        pair.send_at = now + self.options.renew_interval;

        if *to == self.identity.name {
            self.renew_myself(now, message);
        } else {
            self.send(to.clone(), message);
        }
    }

    /// Handles a renewal from this node to itself as a witness, and its response.
    fn renew_myself(&mut self, now: LocalMoment, message: LeaseMessage) {
        let me = self.identity.clone();
        let response = self.witnesses.renew(now, &me, &me, message, &self.options);

        match response {
            Some(LeaseMessage::Renewed {
                sequence,
                refusals,
                changes,
            }) => self.renewed(now, &me.name, sequence, &refusals, &changes),
            Some(LeaseMessage::BundleMissing { sequence }) => {
                if let Some(pair) = self.pairs.get_mut(&me.name) {
                    pair.bundle_missing(now, sequence);
                }
            }
            _ => {}
        }
    }

    /// Rebuilds the lists of slices to renew, if they are outdated.
    fn relist(&mut self, now: LocalMoment) {
        if !self.are_lists_outdated {
            return;
        }

        self.are_lists_outdated = false;

        let mut lists = self.lists();
        let wanted: BTreeSet<NodeName> = lists.keys().cloned().collect();

        self.pairs.retain(|name, _| wanted.contains(name));

        for name in wanted {
            let records = lists.remove(&name).unwrap_or_default();
            let pair = self
                .pairs
                .entry(name.clone())
                .or_insert_with(|| WitnessPair::new(name, now));

            pair.list(records, now, &mut self.counter);
        }
    }

    /// Returns the records whose grants each witness is asked for. The members of the shared set
    /// receive renewals even for an empty list, so that it is known whether they respond before a
    /// slice relies on them.
    fn lists(&self) -> BTreeMap<NodeName, Vec<LeaseRecord>> {
        let mut lists: BTreeMap<NodeName, Vec<LeaseRecord>> = BTreeMap::new();

        if !self.holders.is_empty() {
            for identity in &self.set {
                lists.entry(identity.name.clone()).or_default();
            }
        }

        for holder in self.holders.values().filter(|holder| holder.is_asking()) {
            for name in holder.recipients() {
                lists.entry(name).or_default().push(holder.record.clone());
            }
        }

        lists
    }

    /// Schedules the next renewal for the moment at which all grants to earlier holders that a
    /// witness named have lapsed.
    fn ask_after_lapse(&mut self, now: LocalMoment, from: &NodeName, refusals: &[GrantRefusal]) {
        let remaining = refusals
            .iter()
            .filter_map(|refusal| match refusal.reason {
                RefusalReason::Outstanding { remaining_us } => Some(remaining_us),
                _ => None,
            })
            .max();

        if let (Some(remaining), Some(pair)) = (remaining, self.pairs.get_mut(from)) {
            let lapsed = now + Duration::from_micros(remaining) + ASK_MARGIN;
            pair.send_at = pair.send_at.min(lapsed);
        }
    }

    /// Learns the newer records that refusing witnesses know.
    fn learn_from(&mut self, refusals: &[GrantRefusal]) {
        for refusal in refusals {
            if let RefusalReason::Superseded {
                newest: Some(newest),
                ..
            } = &refusal.reason
            {
                self.learn(newest);
            }
        }
    }
}
