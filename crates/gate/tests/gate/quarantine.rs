//! Which requests are refused because targets crash when they run them.

use std::{sync::Arc, time::Duration};
use wagtail_core::{digest::RequestDigest, heartbeat::TargetIncarnation, units::LocalMoment};
use wagtail_gate::{
    crash_report::{CrashReport, QUARANTINE_TIME},
    quarantine::{QuarantineChange, RequestQuarantine, RequestStanding},
};

/// The request that crashes its targets.
const CRASHING: RequestDigest = RequestDigest::new(1);

/// A request that runs beside it.
const BESIDE: RequestDigest = RequestDigest::new(2);

/// The time of day at which the tests begin, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_000_000_000;

/// The most digests in a report; in the store a digest takes 35 bytes of a value of 1 MB.
const MAX_REPORT_DIGESTS: usize = 1_100;

/// Returns the moment at the given number of milliseconds.
pub fn at(millis: u64) -> LocalMoment {
    LocalMoment::from_millis(millis)
}

/// Returns an incarnation of a target.
pub fn life(id: usize, started_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        started_ms,
        id: Arc::from(format!("i-{id}")),
    }
}

/// `NodeQuarantine` is the quarantine of one node, with its name.
#[derive(Debug)]
struct NodeQuarantine {
    name: Arc<str>,
    quarantine: RequestQuarantine,
}

impl NodeQuarantine {
    /// Creates the quarantine of a node that knows nothing.
    fn new(name: &str) -> Self {
        Self {
            name: Arc::from(name),
            quarantine: RequestQuarantine::default(),
        }
    }

    /// Records a crash of an incarnation, with the requests that ran.
    fn crash(&mut self, id: usize, digests: &[RequestDigest], now_ms: u64) {
        self.quarantine
            .record_crash(life(id, 1), digests.to_vec(), at(now_ms), START_MS + now_ms);
    }

    /// Returns the report of the node.
    fn report(&mut self, now_ms: u64) -> CrashReport {
        let (report, _) = self
            .quarantine
            .own_report(None, at(now_ms), START_MS + now_ms);

        report
    }

    /// Tells another node of the crashes that this one has reported.
    fn tell(&mut self, other: &mut Self, now_ms: u64) -> Vec<QuarantineChange> {
        let report = self.report(now_ms);

        other.quarantine.set_report(&self.name, report, at(now_ms))
    }

    /// Returns the standing of a request.
    fn standing(&self, digest: RequestDigest, now_ms: u64) -> RequestStanding {
        self.quarantine.standing(&digest, at(now_ms))
    }
}

/// Guards against a request that is sent to a fourth target, as the crashes beside different nodes
/// are not added up.
#[test]
fn three_crashes_beside_different_nodes_refuse_a_request_everywhere() {
    let (mut a, mut b, mut c) = (
        NodeQuarantine::new("a"),
        NodeQuarantine::new("b"),
        NodeQuarantine::new("c"),
    );
    a.crash(1, &[CRASHING, BESIDE], 0);
    a.tell(&mut b, 10);
    assert_eq!(b.standing(CRASHING, 10), RequestStanding::Suspected);
    b.crash(2, &[CRASHING], 10);
    a.tell(&mut c, 20);
    assert!(b.tell(&mut c, 20).is_empty());
    assert_eq!(c.standing(CRASHING, 20), RequestStanding::Isolated);
    c.crash(3, &[CRASHING], 30);
    assert_eq!(c.standing(CRASHING, 30), RequestStanding::Refused);

    assert!(b.tell(&mut a, 40).is_empty());
    let changes = c.tell(&mut a, 40);

    let lives = vec![life(1, 1), life(2, 1), life(3, 1)];
    let refused = QuarantineChange::Refused {
        digest: CRASHING,
        lives,
    };
    assert_eq!(changes, vec![refused]);
    assert_eq!(a.standing(CRASHING, 40), RequestStanding::Refused);
    assert_eq!(a.standing(BESIDE, 40), RequestStanding::Suspected);
    // The same report once more changes nothing.
    assert!(c.tell(&mut a, 50).is_empty());
}

/// Guards against the refusal of a popular request that ran at several targets when they ended
/// together for another reason. Nothing could clear it, as it would not run again.
#[test]
fn crashes_at_the_same_time_do_not_refuse_a_request() {
    let mut nodes: Vec<NodeQuarantine> = ["a", "b", "c", "d", "e"]
        .into_iter()
        .map(NodeQuarantine::new)
        .collect();
    for (id, node) in nodes.iter_mut().enumerate() {
        node.crash(id, &[BESIDE], 0);
    }
    let mut last = nodes.pop().unwrap();
    for node in &mut nodes {
        assert!(node.tell(&mut last, 100).is_empty());
    }

    assert_eq!(last.standing(BESIDE, 100), RequestStanding::Suspected);
    last.quarantine.record_success(BESIDE, at(200));
    assert_eq!(last.standing(BESIDE, 200), RequestStanding::Trusted);
    for node in &mut nodes {
        last.tell(node, 300);
        assert_eq!(node.standing(BESIDE, 300), RequestStanding::Trusted);
    }
}

/// Guards against a crash that counts twice, when it is found by two signs or read back from the
/// store.
#[test]
fn a_crash_of_one_incarnation_counts_once() {
    let mut node = NodeQuarantine::new("a");
    for now_ms in 0..3 {
        node.crash(1, &[CRASHING], now_ms);
    }
    let report = node.report(5);
    node.quarantine.set_report(&Arc::from("a"), report, at(5));

    assert_eq!(node.standing(CRASHING, 5), RequestStanding::Suspected);
}

/// Guards against the refusal of a popular request that ran beside crashes and succeeds in between.
#[test]
fn a_success_clears_a_request_of_the_crashes_before() {
    let (mut a, mut b) = (NodeQuarantine::new("a"), NodeQuarantine::new("b"));
    a.crash(1, &[CRASHING, BESIDE], 0);
    a.tell(&mut b, 10);
    b.quarantine.record_success(BESIDE, at(20));
    assert_eq!(b.standing(BESIDE, 20), RequestStanding::Trusted);
    // One crash is not worth telling.
    assert!(b.report(20).is_empty());

    a.crash(2, &[CRASHING, BESIDE], 30);
    a.crash(3, &[CRASHING, BESIDE], 40);
    assert_eq!(a.standing(BESIDE, 40), RequestStanding::Refused);
    a.tell(&mut b, 50);
    let changes = b.tell(&mut a, 60);

    assert_eq!(changes, vec![QuarantineChange::Served { digest: BESIDE }]);
    assert_eq!(a.standing(BESIDE, 60), RequestStanding::Isolated);
    assert_eq!(a.standing(CRASHING, 60), RequestStanding::Refused);
}

/// Guards against a restarted node that forgets the crashes and successes of the process before, or
/// removes them from the store.
#[test]
fn a_restarted_node_takes_over_its_stored_report() {
    let mut before = NodeQuarantine::new("a");
    for id in 0..3 {
        before.crash(id, &[CRASHING], 0);
    }
    let stored = before.report(10);

    let mut after = NodeQuarantine::new("a");
    let (report, changes) = after
        .quarantine
        .own_report(Some(&stored), at(500), START_MS + 3_000);

    assert_eq!(report, stored);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(after.standing(CRASHING, 500), RequestStanding::Refused);
}

/// Guards against a request that is refused for ever, also if the node that reported its crashes is
/// gone or its clock is wrong. It may then crash one more target.
#[test]
fn a_crash_counts_for_a_limited_time() {
    let quarantine_ms = u64::try_from(QUARANTINE_TIME.as_millis()).unwrap();
    let (mut a, mut b) = (NodeQuarantine::new("a"), NodeQuarantine::new("b"));
    for (id, now_ms) in [(1, 0), (2, 1_000), (3, 1_000)] {
        a.crash(id, &[CRASHING], now_ms);
    }
    a.tell(&mut b, 1_000);

    let before_end = quarantine_ms + 500;
    assert_eq!(a.report(before_end).crashes().len(), 2);
    assert_eq!(a.standing(CRASHING, before_end), RequestStanding::Isolated);
    assert_eq!(b.standing(CRASHING, before_end), RequestStanding::Refused);
    let after_end = quarantine_ms + 1_000;
    assert_eq!(b.standing(CRASHING, after_end), RequestStanding::Trusted);
}

/// Guards against a report that grows with each crash, and against one without the request that ran
/// at all crashes.
#[test]
fn a_report_is_bounded_and_keeps_the_suspects() {
    let mut node = NodeQuarantine::new("a");
    let mut next = 10;
    for id in 0..50 {
        let mut digests: Vec<_> = (next..next + 200).map(RequestDigest::new).collect();
        // The largest digest is the last in order.
        digests.push(RequestDigest::new(u128::MAX));
        next += 200;
        node.crash(id, &digests, 0);
        if id == 0 {
            node.crash(100, &[RequestDigest::new(u128::MAX)], 0);
        }
    }

    let report = node.report(1);

    let digests: usize = report
        .crashes()
        .iter()
        .map(|crash| crash.digests.len())
        .sum();
    assert!(digests <= MAX_REPORT_DIGESTS, "{digests} digests");
    assert_eq!(
        node.standing(RequestDigest::new(u128::MAX), 1),
        RequestStanding::Refused
    );
}

/// Guards against a change of the time for which a crash counts that the documents do not state.
#[test]
fn a_crash_counts_for_ten_minutes() {
    assert_eq!(QUARANTINE_TIME, Duration::from_mins(10));
}
