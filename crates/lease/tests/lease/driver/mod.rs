//! A deterministic simulation: the real lease machines on a simulated network, platform and targets
//! in virtual time.

mod checks;
mod platform;
mod state;
pub mod storm;

pub use state::{Node, WorldCounts, WorldOptions};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use state::{Step, Work};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeIncarnation, NodeName, ServiceName, ZoneName},
    slice::SliceId,
    units::LocalMoment,
};
use wagtail_lease::{
    LeaseAction, LeaseEvent, LeaseMachine, LeaseMessage, LeaseProblem, MemberInfo, ServeGrant,
    VersionedRecord,
};

/// One millisecond in microseconds, the unit of all times in the simulation.
pub const MS: u64 = 1_000;
/// One second in microseconds.
pub const SECOND: u64 = 1_000_000;

/// `World` is the state of one simulation: the nodes, the network and the platform.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub options: WorldOptions,
    pub nodes: Vec<Node>,
    pub store: BTreeMap<SliceId, VersionedRecord>,
    pub outage: bool,
    /// The nodes that can't reach the platform, while the others can.
    pub cut_from_platform: BTreeSet<usize>,
    pub lost_answers: f64,
    pub platform_delay: u64,
    pub counts: WorldCounts,
    pub violations: Vec<String>,
    pub problems: Vec<(u64, String, LeaseProblem)>,
    /// The longest time for which each slice was unserved since the last reset.
    pub longest_gap: BTreeMap<SliceId, u64>,
    unserved_since: BTreeMap<SliceId, u64>,
    service: ServiceName,
    revision: u64,
    /// The ends of the cuts of links, by sender and receiver.
    link_cuts: BTreeMap<(usize, usize), u64>,
    /// The times and identifiers of the scheduled steps, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    /// The identifier of the step scheduled last.
    step_id: u64,
    /// The nodes that have started to serve each slice and have not stopped since.
    serving: BTreeMap<SliceId, BTreeSet<usize>>,
    /// The epoch and node that last started to serve each slice.
    last_served: BTreeMap<SliceId, (LeaseEpoch, usize)>,
    work: BTreeMap<SliceId, VecDeque<Work>>,
    writes_by_second: BTreeMap<u64, u64>,
    pub rng: ChaCha8Rng,
}

impl World {
    pub fn new(options: WorldOptions) -> Self {
        let mut world = Self {
            now: 0,
            nodes: Vec::new(),
            store: BTreeMap::new(),
            outage: false,
            cut_from_platform: BTreeSet::new(),
            lost_answers: 0.0,
            platform_delay: 5 * MS,
            counts: WorldCounts::default(),
            violations: Vec::new(),
            problems: Vec::new(),
            longest_gap: BTreeMap::new(),
            unserved_since: BTreeMap::new(),
            service: ServiceName::new("agenda").unwrap(),
            revision: 0,
            link_cuts: BTreeMap::new(),
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            step_id: 0,
            serving: BTreeMap::new(),
            last_served: BTreeMap::new(),
            work: BTreeMap::new(),
            writes_by_second: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
        };

        for index in 0..world.options.nodes {
            let node = world.create_node(index);
            world.nodes.push(node);
            world.start(index);
        }

        world.announce_members();
        let probe = world.options.probe;
        world.schedule(probe, Step::Probe);
        world
    }

    /// Tells the nodes in turn to claim the slices, so that these spread over the nodes. The claims
    /// take effect during the next [`Self::run_for`].
    pub fn claim_all(&mut self) {
        for index in 0..self.options.slices {
            let node = index as usize % self.nodes.len();
            let slice = self.slice(index);
            self.tell(node, LeaseEvent::Claim { slice });
        }
    }

    pub fn slice(&self, index: u32) -> SliceId {
        SliceId::new(self.service.clone(), index)
    }

    pub fn slices(&self) -> Vec<SliceId> {
        (0..self.options.slices)
            .map(|index| self.slice(index))
            .collect()
    }

    pub fn run_for(&mut self, micros: u64) {
        let end = self.now + micros;

        while let Some(Reverse((at, step_id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }

            self.queue.pop();
            self.now = at;
            let step = self.steps.remove(&step_id).unwrap();
            self.run_step(step);
        }

        self.now = end;
    }

    /// Kills a node, which loses all it remembers.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].machine = None;

        for nodes in self.serving.values_mut() {
            nodes.remove(&node);
        }
    }

    /// Restarts a node, which is killed first when it runs. It gets a new incarnation, unless
    /// [`WorldOptions::keeps_incarnation`] is set.
    pub fn restart(&mut self, node: usize) {
        if self.nodes[node].machine.is_some() {
            self.kill(node);
        }

        if !self.options.keeps_incarnation {
            self.nodes[node].start += 1;
        }

        self.nodes[node].paused_until = 0;
        self.start(node);
        self.announce_members();
    }

    pub fn pause(&mut self, node: usize, micros: u64) {
        let until = self.now + micros;

        if self.options.clock_ignores_pauses && until > self.nodes[node].paused_until {
            let from = self.nodes[node].paused_until.max(self.now);
            self.nodes[node].skipped += until - from;
        }

        self.nodes[node].paused_until = self.nodes[node].paused_until.max(until);
    }

    /// Drops messages in one direction between two nodes for `micros`.
    pub fn cut(&mut self, from: usize, to: usize, micros: u64) {
        self.link_cuts.insert((from, to), self.now + micros);
    }

    pub fn tell(&mut self, node: usize, event: LeaseEvent) {
        self.schedule(
            0,
            Step::Deliver {
                to: node,
                event,
                start: None,
            },
        );
    }

    /// Tells every node the members after a short delay, as the platform's watch does.
    pub fn announce_members(&mut self) {
        let delay = self.rng.random_range(20 * MS..200 * MS);
        self.schedule(delay, Step::Members);
    }

    /// Returns the nodes that may serve a slice now, which include suspended ones.
    pub fn owners(&self, slice: &SliceId) -> Vec<usize> {
        let candidates = self.serving.get(slice).into_iter().flatten();

        candidates
            .copied()
            .filter(|node| self.grant(*node, slice).is_some())
            .collect()
    }

    pub fn owner(&self, slice: &SliceId) -> Option<usize> {
        self.owners(slice).first().copied()
    }

    pub fn identity(&self, node: usize) -> NodeIdentity {
        let node = &self.nodes[node];

        NodeIdentity::new(node.name.clone(), NodeIncarnation(node.start))
    }

    /// Returns the index of the node of a name.
    pub fn node(&self, name: &NodeName) -> usize {
        let place = self.nodes.iter().position(|node| &node.name == name);

        place.expect("the node exists")
    }

    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].machine.is_some() && self.nodes[node].paused_until <= self.now
    }

    pub fn reset_gaps(&mut self) {
        self.longest_gap.clear();
        self.unserved_since.clear();
    }

    fn create_node(&mut self, index: usize) -> Node {
        let zone = index % self.options.zones;

        Node {
            name: NodeName::new(format!("vm-{index}")).unwrap(),
            zone: ZoneName::new(format!("zone-{zone}")).unwrap(),
            start: 1,
            machine: None,
            listed: true,
            draining: false,
            rate_ppm: self.rng.random_range(990_000..=1_010_000),
            offset: self.rng.random_range(0..SECOND * 1_000),
            skipped: 0,
            paused_until: 0,
            wake_id: 0,
        }
    }

    fn start(&mut self, node: usize) {
        let seed = self.rng.random();
        let identity = self.identity(node);
        let zone = self.nodes[node].zone.clone();
        let machine = LeaseMachine::new(identity, zone, self.options.lease.clone(), seed);
        let service = self.service.clone();
        let fenced = self.options.fenced;
        let start = self.nodes[node].start;

        self.nodes[node].machine = Some(machine);
        self.nodes[node].listed = true;
        self.tell(node, LeaseEvent::ServiceFencing { service, fenced });
        self.schedule(10 * MS, Step::List { node, start });
    }

    fn schedule(&mut self, delay: u64, step: Step) {
        self.step_id += 1;
        self.queue.push(Reverse((self.now + delay, self.step_id)));
        self.steps.insert(self.step_id, step);
    }

    fn local_time(&self, node: usize) -> LocalMoment {
        let node = &self.nodes[node];
        let real = self.now - node.skipped.min(self.now);

        LocalMoment::from_micros(node.offset + real * node.rate_ppm / 1_000_000)
    }

    fn grant(&self, node: usize, slice: &SliceId) -> Option<ServeGrant> {
        let machine = self.nodes[node].machine.as_ref()?;

        // A suspended node makes this check when it resumes, which is no earlier than now, provided
        // that its clock counts the time spent suspended.
        machine.may_serve(self.local_time(node), slice)
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Wake { node, wake_id } if self.nodes[node].wake_id != wake_id => {}
            Step::Wake { node, .. } => self.handle(node, LeaseEvent::Tick),
            Step::Deliver { to, event, start } => {
                if start.is_none_or(|start| start == self.nodes[to].start) {
                    self.handle(to, event);
                }
            }
            Step::Write {
                node,
                start,
                record,
                expected,
                answered,
            } => {
                self.write(node, start, record, expected, answered);
            }
            Step::Read {
                node,
                start,
                slice,
                read_id,
            } => self.read(node, start, slice, read_id),
            Step::List { node, start } => self.list(node, start),
            Step::Probe => self.probe(),
            Step::Members => self.tell_members(),
        }
    }

    fn handle(&mut self, node: usize, event: LeaseEvent) {
        if self.nodes[node].machine.is_none() {
            return;
        }

        let paused = self.nodes[node].paused_until;

        if paused > self.now {
            let start = Some(self.nodes[node].start);
            self.schedule(
                paused - self.now,
                Step::Deliver {
                    to: node,
                    event,
                    start,
                },
            );
            return;
        }

        let now = self.local_time(node);
        let before = self.options.stopwatch.map(|stopwatch| stopwatch());
        let machine = self.nodes[node].machine.as_mut().unwrap();
        let actions = machine.handle(now, event);
        let wake = machine.next_wakeup();

        if let (Some(before), Some(stopwatch)) = (before, self.options.stopwatch) {
            self.counts.handled_ns += stopwatch() - before;
        }

        self.counts.handled += 1;
        self.wake_later(node, wake.since(now));

        for action in actions {
            self.act(node, action);
        }
    }

    fn wake_later(&mut self, node: usize, wait: std::time::Duration) {
        let rate = self.nodes[node].rate_ppm;
        let micros = micros_of(wait) * 1_000_000 / rate + 1;

        self.nodes[node].wake_id += 1;
        let wake_id = self.nodes[node].wake_id;
        self.schedule(micros, Step::Wake { node, wake_id });
    }

    fn act(&mut self, node: usize, action: LeaseAction) {
        let start = self.nodes[node].start;

        match action {
            LeaseAction::Send { to, message } => self.send(node, &to, &message),
            LeaseAction::ReadRecord { slice, read_id } => {
                let delay = self.call_delay();
                self.schedule(
                    delay,
                    Step::Read {
                        node,
                        start,
                        slice,
                        read_id,
                    },
                );
            }
            LeaseAction::WriteRecord {
                record,
                expected_version: expected,
            } => {
                let delay = self.call_delay();
                let lost = self.lost_answers;
                let answered = !self.rng.random_bool(lost);
                self.schedule(
                    delay,
                    Step::Write {
                        node,
                        start,
                        record,
                        expected,
                        answered,
                    },
                );
            }
            LeaseAction::Serve { slice, epoch } => self.serve(node, &slice, epoch),
            LeaseAction::Stop { slice, .. } => {
                self.serving.entry(slice).or_default().remove(&node);
            }
            LeaseAction::Drain { slice, epoch } => {
                let delay = self.drain_work(node, &slice);
                let event = LeaseEvent::Drained { slice, epoch };
                self.schedule(
                    delay,
                    Step::Deliver {
                        to: node,
                        event,
                        start: Some(start),
                    },
                );
            }
            LeaseAction::Learned { .. } => {}
            LeaseAction::Report { problem, slice } => {
                let slice = slice.map(|slice| slice.to_string()).unwrap_or_default();
                self.problems.push((self.now, slice, problem));
            }
        }
    }

    fn send(&mut self, node: usize, to: &NodeName, message: &LeaseMessage) {
        self.counts.messages += 1;

        if let Some(measure) = self.options.measure {
            self.counts.bytes += measure(message) as u64;
        }

        let to = self.node(to);
        let is_cut = self
            .link_cuts
            .get(&(node, to))
            .is_some_and(|until| *until > self.now);
        let (loss, duplicates) = (self.options.loss, self.options.duplicates);

        if is_cut || self.rng.random_bool(loss) {
            return;
        }

        let copies = 1 + u64::from(self.rng.random_bool(duplicates));

        for _ in 0..copies {
            let delay = self.rng.random_range(200..=self.options.longest_delay);
            let from = self.identity(node);
            let event = LeaseEvent::Received {
                from,
                message: message.clone(),
            };
            self.schedule(
                delay,
                Step::Deliver {
                    to,
                    event,
                    start: None,
                },
            );
        }
    }

    /// Returns the region of a node, when the zones are divided into two regions.
    fn region(&self, node: usize) -> Option<ZoneName> {
        let first = self.options.first_region_zones?;
        let is_first = node % self.options.zones < first;
        let name = if is_first { "region-0" } else { "region-1" };

        Some(ZoneName::new(name).unwrap())
    }

    fn tell_members(&mut self) {
        let service = Some(self.service.clone());
        let members: Vec<MemberInfo> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].listed)
            .map(|node| MemberInfo {
                identity: self.identity(node),
                zone: self.nodes[node].zone.clone(),
                region: self.region(node),
                service: service.clone(),
                draining: self.nodes[node].draining,
            })
            .collect();

        for node in 0..self.nodes.len() {
            self.handle(node, LeaseEvent::MembersChanged(members.clone()));
        }
    }
}

/// Returns a duration in microseconds, rounded down.
fn micros_of(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap()
}
