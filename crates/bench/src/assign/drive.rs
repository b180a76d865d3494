//! Advances a fleet step by step: hand-overs, messages, measurements and the actions of the
//! machines.

use crate::assign::fleet::{Fleet, MeasuredRate, index};
use rand::Rng;
use std::time::{Duration, Instant};
use wagtail_assign::{AssignAction, AssignEvent, LoadSample, SliceLoad};

/// The simulation steps per second, which is the interval of the load measurements.
const STEPS_PER_SECOND: u64 = 4;
/// The steps that a hand-over takes.
const MOVE_STEPS: u64 = 2;
/// The time constant in seconds of the moving average of the measured rates.
const RATE_WINDOW: f64 = 5.0;

/// `Traffic` counts the messages and the processing time of the machines.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// The number of sent messages.
    pub messages: u64,
    /// The size of the messages in bytes, in the encoding between daemons.
    pub bytes: u64,
    /// The number of handled ticks, measurements and messages.
    pub events: u64,
    /// The time spent on handling these events.
    pub busy: Duration,
}

impl Fleet {
    /// Runs one step; `decides` is false when a naive policy assigns the slices instead of the
    /// machines.
    pub fn run_step(&mut self, decides: bool) {
        self.step += 1;
        self.finish_takeovers();

        if !decides {
            return;
        }

        self.finish_moves();
        self.deliver();

        if self.step.is_multiple_of(STEPS_PER_SECOND) {
            self.measure();
        }

        let unowned = self.unowned();
        for target in 0..self.targets.len() {
            if !unowned.is_empty() {
                let slices = unowned.clone();
                self.deliver_event(target, AssignEvent::SlicesUnowned { slices });
            }
            self.deliver_event(target, AssignEvent::Tick);
        }
    }

    /// Returns the slices that never had an owner.
    fn unowned(&self) -> Vec<u32> {
        let unowned =
            |slice: &usize| self.owners[*slice].is_none() && !self.lost.contains_key(slice);

        (0..self.slices()).filter(unowned).map(index).collect()
    }

    /// Completes the takeovers that are due.
    fn finish_takeovers(&mut self) {
        let due: Vec<(usize, usize)> = self
            .lost
            .iter()
            .filter(|(_, (end, _))| *end <= self.step)
            .map(|(slice, (_, deputy))| (*slice, *deputy))
            .collect();

        if !due.is_empty() {
            self.announce();
        }
        for (slice, deputy) in due {
            self.lost.remove(&slice);
            self.take(slice, deputy);
        }
    }

    /// Completes the hand-overs that are due.
    fn finish_moves(&mut self) {
        let due: Vec<(usize, usize)> = self
            .moving
            .iter()
            .filter(|(_, (end, _))| *end <= self.step)
            .map(|(slice, (_, to))| (*slice, *to))
            .collect();

        for (slice, to) in due {
            self.moving.remove(&slice);
            let Some(from) = self.owners[slice] else {
                continue;
            };

            if self.targets[to].up {
                self.deliver_event(
                    from,
                    AssignEvent::MoveFinished {
                        slice: index(slice),
                    },
                );
                self.take(slice, to);
            } else {
                self.deliver_event(
                    from,
                    AssignEvent::MoveFailed {
                        slice: index(slice),
                    },
                );
            }
        }
    }

    /// Makes a target the owner of a slice and notifies its machine.
    fn take(&mut self, slice: usize, target: usize) {
        self.owners[slice] = Some(target);
        self.measured[slice] = MeasuredRate::default();
        self.moved += 1;
        self.deliver_event(
            target,
            AssignEvent::SliceTaken {
                slice: index(slice),
            },
        );
    }

    /// Delivers the messages that were sent in the previous step.
    fn deliver(&mut self) {
        for (to, message) in std::mem::take(&mut self.messages) {
            self.deliver_event(to, AssignEvent::LoadReceived { message });
        }
    }

    /// Passes every owner a measurement of its slices, with the noise of Poisson arrivals.
    fn measure(&mut self) {
        let keep = (-1.0 / RATE_WINDOW).exp();
        let mut samples = vec![LoadSample::default(); self.targets.len()];

        for slice in 0..self.slices() {
            let Some(owner) = self.owners[slice] else {
                continue;
            };
            let rate = self.demand.rate(slice);
            let counted = (rate + self.draw_normal() * rate.sqrt()).max(0.0);
            let measured = &mut self.measured[slice];

            measured.sum = measured.sum * keep + counted * (1.0 - keep);
            measured.weight = measured.weight * keep + 1.0 - keep;
            samples[owner].loads.push(SliceLoad {
                slice: index(slice),
                rate: measured.sum / measured.weight,
            });
        }

        for (target, sample) in samples.into_iter().enumerate() {
            self.deliver_event(target, AssignEvent::LoadMeasured { sample });
        }
    }

    /// Approximates a draw from the standard normal distribution by the sum of twelve uniform
    /// draws.
    fn draw_normal(&mut self) -> f64 {
        let draws: f64 = (0..12).map(|_| self.random.random_range(0.0..1.0)).sum();

        draws - 6.0
    }

    /// Passes an event to the machine of a target that is up and performs its actions.
    pub(super) fn deliver_event(&mut self, target: usize, event: AssignEvent) {
        if !self.targets[target].up {
            return;
        }

        let now = self.now();
        let steady = matches!(
            event,
            AssignEvent::Tick | AssignEvent::LoadMeasured { .. } | AssignEvent::LoadReceived { .. }
        );
        let begin = Instant::now();
        let actions = self.targets[target].machine.handle(now, event);

        if steady {
            self.traffic.busy += begin.elapsed();
            self.traffic.events += 1;
        }

        for action in actions {
            self.perform(target, action);
        }
    }

    /// Performs an action of a machine.
    fn perform(&mut self, target: usize, action: AssignAction) {
        match action {
            AssignAction::Claim { slice } => {
                if self.owners[slice as usize].is_none() {
                    self.take(slice as usize, target);
                }
            }
            AssignAction::Move { slice, to, .. } => {
                if let Some(to) = self.find(&to) {
                    let end = self.step + MOVE_STEPS;
                    self.moving.insert(slice as usize, (end, to));
                } else {
                    self.deliver_event(target, AssignEvent::MoveFailed { slice });
                }
            }
            AssignAction::SendLoad { to, message } => {
                let bytes = bincode::serde::encode_to_vec(&message, bincode::config::standard());
                self.traffic.messages += 1;
                self.traffic.bytes += bytes.map_or(0, |bytes| bytes.len() as u64);

                if let Some(to) = self.find(&to) {
                    self.messages.push((to, message));
                }
            }
            AssignAction::SplitKey { .. } => {}
        }
    }
}
