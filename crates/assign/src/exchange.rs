//! The exchange of loads with the peers.
//!
//! Each target tells its load to one peer a period. One whose load has been too low for a while
//! asks the receiver for the load that it lacks, and only a receiver that was asked hands slices
//! over. So a target that joins is filled by one peer after the other.

use crate::{
    events::AssignAction,
    machine::{AskedLoad, AssignMachine},
    peers::{LoadMessage, LoadReport, narrow_load},
};
use rand::{Rng, seq::IndexedRandom};
use wagtail_core::{ids::NodeName, units::LocalMoment};

impl AssignMachine {
    /// Reports the own load to one peer a period.
    pub(crate) fn report(&mut self, now: LocalMoment) -> Option<AssignAction> {
        let due = |at: LocalMoment| now.since(at) >= self.options.report_period;

        if !self.reported.is_none_or(due) || !self.takes_slices(&self.node) {
            return None;
        }

        let to = self.choose_peer()?;
        self.reported = Some(now);

        let wanted = self.lacking_load(now);

        Some(self.send_load(now, to, wanted))
    }

    /// Returns the peer to report to: one with room when the own load is far above the mean, else
    /// one of two random peers.
    fn choose_peer(&mut self) -> Option<NodeName> {
        if self.is_hot()
            && let Some(peer) = self.choose_relief()
        {
            return Some(peer);
        }

        let able: Vec<NodeName> = self
            .able_members()
            .map(|target| target.node)
            .filter(|node| *node != self.node)
            .collect();
        let drawn: Vec<NodeName> = able.choose_multiple(&mut self.random, 2).cloned().collect();
        let own = self.own_load() / f64::from(self.own_weight().max(1));
        // A peer of unknown load comes first, so that it becomes known.
        let distance = |node: &NodeName| {
            self.peers
                .get(node)
                .map_or(f64::INFINITY, |peer| (peer.relative_load() - own).abs())
        };

        // A random peer now and then keeps the far ones from being the only ones that are heard.
        if self.random.random_bool(0.5) {
            return drawn.into_iter().next();
        }

        drawn
            .into_iter()
            .max_by(|left, right| distance(left).total_cmp(&distance(right)))
    }

    /// Returns whether the own load is far above the mean.
    fn is_hot(&self) -> bool {
        self.balance()
            .is_some_and(|balance| balance.load > balance.fair * (1.0 + self.options.hot_margin))
    }

    /// Draws a few peers of known load and returns the least loaded one. Hot targets with the same
    /// knowledge draw differently, so they do not all turn to one peer.
    fn choose_relief(&mut self) -> Option<NodeName> {
        /// The peers to draw.
        const DRAWN: usize = 4;

        let known: Vec<(f64, NodeName)> = self
            .peers
            .iter()
            .filter(|(node, _)| !self.avoided.contains_key(*node))
            .map(|(node, peer)| (peer.relative_load(), node.clone()))
            .collect();

        known
            .choose_multiple(&mut self.random, DRAWN)
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, node)| node.clone())
    }

    /// Returns the own weight.
    pub(crate) fn own_weight(&self) -> u32 {
        self.members.get(&self.node).map_or(0, |own| own.weight)
    }

    /// Makes the message for a peer and notes the load that it asks for.
    fn send_load(&mut self, now: LocalMoment, to: NodeName, wanted: f64) -> AssignAction {
        if wanted > 0.0 {
            self.asked.push(AskedLoad {
                at: now,
                rate: wanted,
            });
        }

        let message = LoadMessage {
            report: LoadReport {
                node: self.node.clone(),
                age_ms: 0,
                load: narrow_load(self.own_load()),
                weight: self.own_weight(),
            },
            wanted: narrow_load(wanted),
            relayed: self.peers.latest(now, &to),
        };

        AssignAction::SendLoad { to, message }
    }

    /// Returns the load that the target lacks and has not asked for, once it has lacked it for a
    /// while.
    fn lacking_load(&mut self, now: LocalMoment) -> f64 {
        let settled = self
            .low_since
            .is_some_and(|since| now.since(since) >= self.options.settle_time);
        let shortage = self
            .balance()
            .map_or(0.0, |balance| balance.shortage(&self.options));

        if settled && !self.is_draining() {
            (shortage - self.asked_load(now)).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns the load that the target can take off a peer that is loaded far above the mean.
    fn relieving_load(&mut self, now: LocalMoment, peer: &NodeName) -> f64 {
        let weight = f64::from(self.own_weight().max(1));
        let Some(balance) = self.balance() else {
            return 0.0;
        };
        let limit = balance.fair / weight * (1.0 + self.options.hot_margin);
        let hot = self
            .peers
            .get(peer)
            .is_some_and(|peer| peer.relative_load() > limit);

        if hot && !self.is_draining() {
            (balance.room(&self.options) - self.asked_load(now)).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns the load that peers were asked for and that may still arrive.
    fn asked_load(&mut self, now: LocalMoment) -> f64 {
        // A slice that was asked for arrives, and its rate is measured, within this time.
        let pending = self.options.report_period * 2;
        self.asked.retain(|asked| now.since(asked.at) < pending);

        self.asked.iter().map(|asked| asked.rate).sum()
    }

    /// Takes the load of a peer, hands slices over when it asks, and answers when the own load is
    /// too low.
    pub(crate) fn on_message(
        &mut self,
        now: LocalMoment,
        message: LoadMessage,
    ) -> Vec<AssignAction> {
        let sender = message.report.node.clone();
        let wanted = f64::from(message.wanted);
        let others = message.relayed.into_iter();

        for report in others.chain([message.report]) {
            if report.node != self.node && self.takes_slices(&report.node) {
                self.peers.take(now, report);
            }
        }

        if wanted > 0.0 && self.takes_slices(&sender) && !self.is_draining() {
            return self.give(now, &sender, wanted);
        }

        self.reply(now, sender).into_iter().collect()
    }

    /// Asks a peer that can spare load for some, at most once a period.
    fn reply(&mut self, now: LocalMoment, sender: NodeName) -> Option<AssignAction> {
        let due = |at: LocalMoment| now.since(at) >= self.options.report_period;

        if !self.replied.is_none_or(due) {
            return None;
        }

        let own = self.own_load() / f64::from(self.own_weight().max(1));
        let spare = self
            .peers
            .get(&sender)
            .is_some_and(|peer| peer.relative_load() > own);
        let lacking = if spare { self.lacking_load(now) } else { 0.0 };
        let wanted = lacking.max(self.relieving_load(now, &sender));

        if wanted <= 0.0 {
            return None;
        }
        self.replied = Some(now);

        Some(self.send_load(now, sender, wanted))
    }
}
