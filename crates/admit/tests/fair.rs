//! Guards against a tenant that gets more than its share of the slots.

use std::time::Duration;
use wagtail_admit::fair::FairQueue;
use wagtail_core::ids::TenantName;

/// The cost of each arrival here.
const COST: Duration = Duration::from_millis(10);

/// Returns the name of a tenant.
fn tenant(name: &str) -> TenantName {
    TenantName::new(name).expect("a valid name")
}

#[test]
fn slots_are_shared_by_weight_whatever_the_queue_lengths() {
    let mut queue = FairQueue::new();

    for ticket in 0..400 {
        queue.push(&tenant("flood"), 1, ticket, COST);
    }

    for ticket in 1_000..1_100 {
        queue.push(&tenant("three"), 3, ticket, COST);
    }

    let served = (0..80).filter_map(|_| queue.pop());
    let flood = served.filter(|ticket| *ticket < 1_000).count();

    assert_eq!(flood, 20);
}

#[test]
fn an_idle_tenant_gains_no_credit() {
    let mut queue = FairQueue::new();

    for ticket in 0..100 {
        queue.push(&tenant("busy"), 1, ticket, COST);
    }

    for _ in 0..50 {
        queue.pop();
    }

    for ticket in 1_000..1_100 {
        queue.push(&tenant("late"), 1, ticket, COST);
    }

    let served = (0..20).filter_map(|_| queue.pop());

    assert_eq!(served.filter(|ticket| *ticket >= 1_000).count(), 10);
}

#[test]
fn the_predicted_wait_follows_the_share() {
    let mut queue = FairQueue::new();

    for ticket in 0..100 {
        queue.push(&tenant("flood"), 1, ticket, COST);
    }

    let wait = |queue: &FairQueue, name| queue.predicted_wait(&tenant(name), 1, 2);

    assert_eq!(wait(&queue, "other"), Duration::ZERO);
    assert_eq!(wait(&queue, "flood"), Duration::from_millis(500));

    queue.push(&tenant("other"), 1, 1_000, COST);
    assert_eq!(wait(&queue, "other"), Duration::from_millis(10));
    assert_eq!(wait(&queue, "flood"), Duration::from_millis(505));
    assert!(queue.is_over_share(&tenant("flood")));
    assert!(!queue.is_over_share(&tenant("other")));
}

#[test]
fn removed_arrivals_are_not_served() {
    let mut queue = FairQueue::new();

    queue.push(&tenant("one"), 1, 1, COST);
    queue.push(&tenant("one"), 1, 2, COST);

    assert!(queue.remove(&tenant("one"), 1));
    assert!(!queue.remove(&tenant("one"), 1));
    assert!(!queue.remove(&tenant("two"), 2));
    assert_eq!(queue.pop(), Some(2));
    assert_eq!(queue.pop(), None);
    assert_eq!(queue.backlog(), Duration::ZERO);
}
