//! A small network, platform and target in virtual time round the real machines.

pub mod storm;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
};
use wagtail_core::{
    ids::{LeaseEpoch, NodeIdentity, NodeIncarnation, NodeName, ServiceName, ZoneName},
    lease::LeaseRecord,
    slice::SliceId,
    units::LocalMoment,
};
use wagtail_lease::{
    LeaseAction, LeaseEvent, LeaseMachine, LeaseMessage, LeaseOptions, LeaseProblem, MemberInfo,
    ServeGrant, VersionedRecord, WriteOutcome,
};

/// Microseconds of a millisecond.
pub const MS: u64 = 1_000;
/// Microseconds of a second.
pub const SECOND: u64 = 1_000_000;

/// `WorldOptions` is the shape of a run.
#[derive(Debug, Clone)]
pub struct WorldOptions {
    pub nodes: usize,
    pub zones: usize,
    pub slices: u32,
    pub seed: u64,
    pub loss: f64,
    pub duplicates: f64,
    pub longest_delay: u64,
    /// The time between two probes of every slice.
    pub probe: u64,
    pub lease: LeaseOptions,
    pub fenced: bool,
    /// A fault: the clock stops while the node is suspended.
    pub clock_ignores_pauses: bool,
    /// A fault: a restart keeps its incarnation.
    pub keeps_incarnation: bool,
    /// Measures the encoded size of a message.
    pub measure: Option<fn(&LeaseMessage) -> usize>,
    /// Reads a clock in nanoseconds, to measure the machines' processor time.
    pub stopwatch: Option<fn() -> u64>,
}

impl Default for WorldOptions {
    fn default() -> Self {
        Self {
            nodes: 8,
            zones: 3,
            slices: 4,
            seed: 1,
            loss: 0.0,
            duplicates: 0.0,
            longest_delay: 2 * MS,
            probe: 10 * MS,
            lease: LeaseOptions::default(),
            fenced: false,
            clock_ignores_pauses: false,
            keeps_incarnation: false,
            measure: None,
            stopwatch: None,
        }
    }
}

/// `WorldCounts` is what was checked and measured.
#[derive(Debug, Clone, Default)]
pub struct WorldCounts {
    pub owners: u64,
    pub epochs: u64,
    pub work: u64,
    pub records: u64,
    pub messages: u64,
    pub bytes: u64,
    pub handled: u64,
    pub handled_ns: u64,
    pub reads: u64,
    pub writes: u64,
    pub most_writes_a_second: u64,
}

/// `Step` is something that happens at a moment.
#[derive(Debug, Clone)]
enum Step {
    Wake {
        node: usize,
        token: u64,
    },
    Deliver {
        to: usize,
        event: LeaseEvent,
        start: Option<u64>,
    },
    Write {
        node: usize,
        start: u64,
        record: LeaseRecord,
        expected: u64,
        answered: bool,
    },
    Read {
        node: usize,
        start: u64,
        slice: SliceId,
        read_id: u64,
    },
    List {
        node: usize,
        start: u64,
    },
    Probe,
    Members,
}

/// `Node` is one VM.
#[derive(Debug)]
pub struct Node {
    pub name: NodeName,
    pub zone: ZoneName,
    pub start: u64,
    pub machine: Option<LeaseMachine>,
    pub listed: bool,
    pub draining: bool,
    rate_ppm: u64,
    offset: u64,
    skipped: u64,
    paused_until: u64,
    token: u64,
}

/// `Work` is one order at a target.
#[derive(Debug, Clone)]
struct Work {
    node: usize,
    epoch: LeaseEpoch,
    from: u64,
    until: u64,
}

/// `World` is all machines of a run.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub options: WorldOptions,
    pub nodes: Vec<Node>,
    pub store: BTreeMap<SliceId, VersionedRecord>,
    pub outage: bool,
    /// The nodes that can't reach the platform.
    pub cut_off: BTreeSet<usize>,
    pub lost_answers: f64,
    pub platform_delay: u64,
    pub counts: WorldCounts,
    pub violations: Vec<String>,
    pub problems: Vec<(u64, String, LeaseProblem)>,
    /// The longest time without an owner, by slice, since the last reset.
    pub longest_gap: BTreeMap<SliceId, u64>,
    unserved_since: BTreeMap<SliceId, u64>,
    service: ServiceName,
    revision: u64,
    cuts: BTreeMap<(usize, usize), u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: BTreeMap<u64, Step>,
    order: u64,
    serving: BTreeMap<SliceId, BTreeSet<usize>>,
    served: BTreeMap<SliceId, (LeaseEpoch, usize)>,
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
            cut_off: BTreeSet::new(),
            lost_answers: 0.0,
            platform_delay: 5 * MS,
            counts: WorldCounts::default(),
            violations: Vec::new(),
            problems: Vec::new(),
            longest_gap: BTreeMap::new(),
            unserved_since: BTreeMap::new(),
            service: ServiceName::new("agenda").unwrap(),
            revision: 0,
            cuts: BTreeMap::new(),
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            order: 0,
            serving: BTreeMap::new(),
            served: BTreeMap::new(),
            work: BTreeMap::new(),
            writes_by_second: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
        };

        for index in 0..world.options.nodes {
            let node = world.make_node(index);
            world.nodes.push(node);
            world.start(index);
        }

        world.announce_members();
        let probe = world.options.probe;
        world.plan(probe, Step::Probe);
        world
    }

    /// Makes every slice owned, spread over the nodes, and waits until it is served.
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

        while let Some(Reverse((at, order))) = self.queue.peek().copied() {
            if at > end {
                break;
            }

            self.queue.pop();
            self.now = at;
            let step = self.steps.remove(&order).unwrap();
            self.take(step);
        }

        self.now = end;
    }

    /// Loses a node with all it remembers.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].machine = None;

        for nodes in self.serving.values_mut() {
            nodes.remove(&node);
        }
    }

    /// Starts a lost node.
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

    /// Cuts one direction between two nodes.
    pub fn cut(&mut self, from: usize, to: usize, micros: u64) {
        self.cuts.insert((from, to), self.now + micros);
    }

    pub fn tell(&mut self, node: usize, event: LeaseEvent) {
        self.plan(
            0,
            Step::Deliver {
                to: node,
                event,
                start: None,
            },
        );
    }

    /// Tells every node the members a little later, as the platform's watch does.
    pub fn announce_members(&mut self) {
        let delay = self.rng.random_range(20 * MS..200 * MS);
        self.plan(delay, Step::Members);
    }

    /// Returns the nodes that may serve a slice now.
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

    /// Returns the node of a name.
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

    fn make_node(&mut self, index: usize) -> Node {
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
            token: 0,
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
        self.plan(10 * MS, Step::List { node, start });
    }

    fn plan(&mut self, delay: u64, step: Step) {
        self.order += 1;
        self.queue.push(Reverse((self.now + delay, self.order)));
        self.steps.insert(self.order, step);
    }

    fn local(&self, node: usize) -> LocalMoment {
        let node = &self.nodes[node];
        let real = self.now - node.skipped.min(self.now);

        LocalMoment::from_micros(node.offset + real * node.rate_ppm / 1_000_000)
    }

    fn grant(&self, node: usize, slice: &SliceId) -> Option<ServeGrant> {
        let machine = self.nodes[node].machine.as_ref()?;

        // A suspended node asks when it returns; with a correct clock that is no earlier than now.
        machine.may_serve(self.local(node), slice)
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Wake { node, token } if self.nodes[node].token != token => {}
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
            self.plan(
                paused - self.now,
                Step::Deliver {
                    to: node,
                    event,
                    start,
                },
            );
            return;
        }

        let now = self.local(node);
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

        self.nodes[node].token += 1;
        let token = self.nodes[node].token;
        self.plan(micros, Step::Wake { node, token });
    }

    fn act(&mut self, node: usize, action: LeaseAction) {
        let start = self.nodes[node].start;

        match action {
            LeaseAction::Send { to, message } => self.send(node, &to, &message),
            LeaseAction::ReadRecord { slice, read_id } => {
                let delay = self.call_delay();
                self.plan(
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
                self.plan(
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
                self.plan(
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
            .cuts
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
            self.plan(
                delay,
                Step::Deliver {
                    to,
                    event,
                    start: None,
                },
            );
        }
    }

    fn is_platform_out(&self, node: usize) -> bool {
        self.outage || self.cut_off.contains(&node)
    }

    fn call_delay(&mut self) -> u64 {
        self.rng.random_range(MS..=self.platform_delay)
    }

    fn write(
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
        self.counts.most_writes_a_second = self.counts.most_writes_a_second.max(*second);

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
        self.plan(
            delay,
            Step::Deliver {
                to: node,
                event,
                start: Some(start),
            },
        );
    }

    fn store_record(&mut self, record: LeaseRecord, expected: u64) -> WriteOutcome {
        let stored = self.store.get(&record.slice);
        let found = stored.map_or(0, |stored| stored.version);

        if found != expected {
            return WriteOutcome::Conflict { stored: None };
        }

        // A stored record was acknowledged or may have been: nothing older may replace it.
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

    fn read(&mut self, node: usize, start: u64, slice: SliceId, read_id: u64) {
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
        self.plan(
            delay,
            Step::Deliver {
                to: node,
                event,
                start: Some(start),
            },
        );
    }

    fn list(&mut self, node: usize, start: u64) {
        if self.nodes[node].start != start || self.nodes[node].machine.is_none() {
            return;
        }

        if self.is_platform_out(node) {
            self.plan(500 * MS, Step::List { node, start });
            return;
        }

        let event = LeaseEvent::RecordsListed(self.store.values().cloned().collect());
        let delay = self.call_delay();
        self.plan(
            delay,
            Step::Deliver {
                to: node,
                event,
                start: Some(start),
            },
        );
    }

    fn tell_members(&mut self) {
        let service = Some(self.service.clone());
        let members: Vec<MemberInfo> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].listed)
            .map(|node| MemberInfo {
                identity: self.identity(node),
                zone: self.nodes[node].zone.clone(),
                service: service.clone(),
                draining: self.nodes[node].draining,
            })
            .collect();

        for node in 0..self.nodes.len() {
            self.handle(node, LeaseEvent::MembersChanged(members.clone()));
        }
    }

    /// Takes in that a node starts to serve: epochs only grow, and each has one owner.
    fn serve(&mut self, node: usize, slice: &SliceId, epoch: LeaseEpoch) {
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
    fn probe(&mut self) {
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

    fn note_served(&mut self, slice: &SliceId, is_served: bool) {
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
    fn order_work(&mut self, node: usize, slice: &SliceId) {
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
    fn drain_work(&mut self, node: usize, slice: &SliceId) -> u64 {
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

    fn check_work(&mut self, slice: &SliceId, work: Work) {
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

/// Returns the whole microseconds of a time.
fn micros_of(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap()
}
