//! The exchange of load reports and requests with the peers.
//!
//! Each target reports its load to one peer per report period. A target whose load has been below
//! the margin for a while requests the missing load from the receiver, and slices are handed over
//! only on such a request. Thus a joining target is filled by one peer after the other.

use crate::{
    events::AssignAction,
    machine::{AssignMachine, PendingLoad},
    peers::{LoadMessage, LoadReport, narrow_load},
};
use rand::{Rng, seq::IndexedRandom};
use wagtail_core::{ids::NodeName, units::LocalMoment};

impl AssignMachine {
    /// Reports the load of this target to one peer, once per report period.
    pub(crate) fn report(&mut self, now: LocalMoment) -> Option<AssignAction> {
        let due = |at: LocalMoment| now.since(at) >= self.options.report_period;

        if !self.last_report_at.is_none_or(due) || !self.is_eligible(&self.node) {
            return None;
        }

        let to = self.choose_peer()?;
        self.last_report_at = Some(now);

        let requested = self.missing_load(now);

        Some(self.send_load(now, to, requested))
    }

    /// Returns the peer to report to.
    ///
    /// While this target is overloaded it is a peer of low load, if one is known. Otherwise it is
    /// one of two random peers, in half of the cases the one whose load differs more from the load
    /// of this target.
    fn choose_peer(&mut self) -> Option<NodeName> {
        if self.is_overloaded()
            && let Some(peer) = self.choose_low_load_peer()
        {
            return Some(peer);
        }

        let eligible: Vec<NodeName> = self
            .eligible_targets()
            .map(|target| target.node)
            .filter(|node| *node != self.node)
            .collect();
        let sampled: Vec<NodeName> = eligible
            .choose_multiple(&mut self.random, 2)
            .cloned()
            .collect();
        let own = self.own_load() / f64::from(self.own_weight().max(1));
        // A peer whose load is unknown is preferred, so that its load becomes known.
        let load_difference = |node: &NodeName| {
            self.peers
                .get(node)
                .map_or(f64::INFINITY, |peer| (peer.relative_load() - own).abs())
        };

        // Half of the choices are purely random, so that the peers whose load differs most are not
        // the only ones that receive reports.
        if self.random.random_bool(0.5) {
            return sampled.into_iter().next();
        }

        sampled
            .into_iter()
            .max_by(|left, right| load_difference(left).total_cmp(&load_difference(right)))
    }

    /// Returns whether the load exceeds the fair load by more than the overload margin.
    fn is_overloaded(&self) -> bool {
        self.balance().is_some_and(|balance| {
            balance.load > balance.fair_load * (1.0 + self.options.overload_margin)
        })
    }

    /// Samples a few peers whose load is known and returns the least loaded one.
    ///
    /// The sample is random so that overloaded targets which know the same loads do not all choose
    /// the same peer.
    fn choose_low_load_peer(&mut self) -> Option<NodeName> {
        /// The number of peers in the sample.
        const SAMPLE_SIZE: usize = 4;

        let known: Vec<(f64, NodeName)> = self
            .peers
            .iter()
            .filter(|(node, _)| !self.avoided_until.contains_key(*node))
            .map(|(node, peer)| (peer.relative_load(), node.clone()))
            .collect();

        known
            .choose_multiple(&mut self.random, SAMPLE_SIZE)
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, node)| node.clone())
    }

    /// Returns the weight of this target, or zero before it is announced.
    pub(crate) fn own_weight(&self) -> u32 {
        self.members.get(&self.node).map_or(0, |own| own.weight)
    }

    /// Creates the message to a peer and records the load that it requests as pending.
    fn send_load(&mut self, now: LocalMoment, to: NodeName, requested: f64) -> AssignAction {
        if requested > 0.0 {
            self.pending.push(PendingLoad {
                at: now,
                rate: requested,
            });
        }

        let message = LoadMessage {
            report: LoadReport {
                node: self.node.clone(),
                age_ms: 0,
                load: narrow_load(self.own_load()),
                weight: self.own_weight(),
            },
            requested: narrow_load(requested),
            relayed: self.peers.latest_reports(now, &to),
        };

        AssignAction::SendLoad { to, message }
    }

    /// Returns the shortage that no pending request covers, or zero until the load has been below
    /// the margin for the settle time.
    fn missing_load(&mut self, now: LocalMoment) -> f64 {
        let settled = self
            .low_since
            .is_some_and(|since| now.since(since) >= self.options.settle_time);
        let shortage = self
            .balance()
            .map_or(0.0, |balance| balance.shortage(&self.options));

        if settled && !self.is_draining() {
            (shortage - self.pending_load(now)).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns the load that this target can take from an overloaded peer, or zero when the peer is
    /// not overloaded.
    fn relief_load(&mut self, now: LocalMoment, peer: &NodeName) -> f64 {
        let weight = f64::from(self.own_weight().max(1));
        let Some(balance) = self.balance() else {
            return 0.0;
        };
        let limit = balance.fair_load / weight * (1.0 + self.options.overload_margin);
        let overloaded = self
            .peers
            .get(peer)
            .is_some_and(|peer| peer.relative_load() > limit);

        if overloaded && !self.is_draining() {
            (balance.headroom(&self.options) - self.pending_load(now)).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns the load that was requested from peers and may still arrive.
    fn pending_load(&mut self, now: LocalMoment) -> f64 {
        // Within this time a requested slice has arrived and its rate has been measured.
        let arrival_time = self.options.report_period * 2;
        self.pending
            .retain(|pending| now.since(pending.at) < arrival_time);

        self.pending.iter().map(|pending| pending.rate).sum()
    }

    /// Records the loads that a peer reports. Hands slices over when the peer requests load, and
    /// otherwise replies with a request when this target can take load from the peer.
    pub(crate) fn on_load_message(
        &mut self,
        now: LocalMoment,
        message: LoadMessage,
    ) -> Vec<AssignAction> {
        let sender = message.report.node.clone();
        let requested = f64::from(message.requested);
        let others = message.relayed.into_iter();

        for report in others.chain([message.report]) {
            if report.node != self.node && self.is_eligible(&report.node) {
                self.peers.record(now, report);
            }
        }

        if requested > 0.0 && self.is_eligible(&sender) && !self.is_draining() {
            return self.hand_over(now, &sender, requested);
        }

        self.reply(now, sender).into_iter().collect()
    }

    /// Requests load from a peer that can spare some, at most once per report period.
    fn reply(&mut self, now: LocalMoment, sender: NodeName) -> Option<AssignAction> {
        let due = |at: LocalMoment| now.since(at) >= self.options.report_period;

        if !self.last_reply_at.is_none_or(due) {
            return None;
        }

        let own = self.own_load() / f64::from(self.own_weight().max(1));
        let can_spare = self
            .peers
            .get(&sender)
            .is_some_and(|peer| peer.relative_load() > own);
        let missing = if can_spare {
            self.missing_load(now)
        } else {
            0.0
        };
        let requested = missing.max(self.relief_load(now, &sender));

        if requested <= 0.0 {
            return None;
        }
        self.last_reply_at = Some(now);

        Some(self.send_load(now, sender, requested))
    }
}
