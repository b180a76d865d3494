//! The queue that divides slots between tenants.

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use wagtail_core::ids::TenantName;

/// The units of virtual time for one microsecond of cost at weight 1.
const TAG_SCALE: u64 = 1_024;

/// `QueuedItem` is one waiting arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct QueuedItem {
    /// The number of the arrival.
    ticket: u64,
    /// The expected duration in microseconds.
    cost: u64,
}

/// `TenantQueue` holds the waiting arrivals of one tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct TenantQueue {
    /// The share relative to the other tenants.
    weight: u32,
    /// The virtual start time of the first item.
    start: u64,
    /// The arrivals, oldest first.
    items: VecDeque<QueuedItem>,
    /// The sum of the costs in microseconds.
    backlog: u64,
}

/// `FairQueue` is a start-time fair queue: the tenant with the earliest virtual start is served
/// next, and each served item moves its tenant's start by cost over weight.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FairQueue {
    /// The tenants with waiting arrivals.
    tenants: BTreeMap<TenantName, TenantQueue>,
    /// The tenants with waiting arrivals, by virtual start.
    order: BTreeSet<(u64, TenantName)>,
    /// The virtual finish times of tenants without waiting arrivals, while they are ahead of
    /// the virtual time.
    finished: BTreeMap<TenantName, u64>,
    /// The same by time, to forget the passed ones without a search.
    finish_order: BTreeSet<(u64, TenantName)>,
    /// The virtual start of the item that was served last.
    virtual_time: u64,
    /// The count of waiting arrivals.
    len: usize,
    /// The sum of the costs of all waiting arrivals in microseconds.
    backlog: u64,
    /// The sum of the weights of the tenants with waiting arrivals.
    weights: u64,
}

impl FairQueue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the count of waiting arrivals.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total expected duration of what waits.
    pub fn backlog(&self) -> Duration {
        Duration::from_micros(self.backlog)
    }

    /// Adds an arrival behind the others of its tenant.
    pub fn push(&mut self, tenant: &TenantName, weight: u32, ticket: u64, cost: Duration) {
        let item = QueuedItem::new(ticket, cost);

        self.ensure_tenant(tenant, weight);
        self.count_in(item);

        if let Some(queue) = self.tenants.get_mut(tenant) {
            queue.backlog += item.cost;
            queue.items.push_back(item);
        }
    }

    /// Returns the next arrival without removing it.
    pub fn peek(&self) -> Option<u64> {
        let (_, tenant) = self.order.first()?;
        let item = self.tenants.get(tenant)?.items.front()?;

        Some(item.ticket)
    }

    /// Removes the next arrival and charges its tenant for it.
    pub fn pop(&mut self) -> Option<u64> {
        let (start, tenant) = self.order.pop_first()?;
        let mut queue = self.tenants.remove(&tenant)?;
        let item = queue.items.pop_front()?;

        self.virtual_time = self.virtual_time.max(start);
        self.count_out(item);
        queue.backlog -= item.cost;
        queue.start = start + item.cost * TAG_SCALE / u64::from(queue.weight);
        self.put_back(tenant, queue);
        self.forget_finished();

        Some(item.ticket)
    }

    /// Removes an arrival that will not be served and returns whether it waited.
    pub fn remove(&mut self, tenant: &TenantName, ticket: u64) -> bool {
        let Some(mut queue) = self.tenants.remove(tenant) else {
            return false;
        };

        self.order.remove(&(queue.start, tenant.clone()));
        let place = queue.items.iter().position(|item| item.ticket == ticket);
        let removed = place.and_then(|index| queue.items.remove(index));

        if let Some(item) = removed {
            self.count_out(item);
            queue.backlog -= item.cost;
        }

        self.put_back(tenant.clone(), queue);

        removed.is_some()
    }

    /// Removes the oldest arrival of the tenant with the longest backlog for its weight.
    pub fn pop_oldest(&mut self) -> Option<u64> {
        let (tenant, queue) = self
            .tenants
            .iter()
            .max_by_key(|(_, queue)| queue.backlog / u64::from(queue.weight))?;
        let ticket = queue.items.front()?.ticket;
        let tenant = tenant.clone();

        self.remove(&tenant, ticket).then_some(ticket)
    }

    /// Predicts the wait of a further arrival of a tenant when `slots` slots serve this queue.
    ///
    /// The tenant waits for its own backlog at its share of the slots, and never longer than
    /// for the backlog of all.
    pub fn predicted_wait(&self, tenant: &TenantName, weight: u32, slots: u32) -> Duration {
        let weight = u64::from(weight.max(1));
        let own = self.tenants.get(tenant);
        let own_backlog = own.map_or(0, |queue| queue.backlog);
        let others = self.weights - own.map_or(0, |queue| u64::from(queue.weight));
        let shared = own_backlog.saturating_mul(others + weight) / weight;
        let micros = shared.min(self.backlog) / u64::from(slots.max(1));

        Duration::from_micros(micros)
    }

    /// Returns the count of a tenant's waiting arrivals.
    pub fn waiting(&self, tenant: &TenantName) -> usize {
        self.tenants
            .get(tenant)
            .map_or(0, |queue| queue.items.len())
    }

    /// Returns whether a tenant has more than its share of the backlog while others wait too.
    pub fn is_over_share(&self, tenant: &TenantName) -> bool {
        let Some(queue) = self.tenants.get(tenant) else {
            return false;
        };
        let own = queue.backlog.saturating_mul(self.weights);
        let fair = self.backlog.saturating_mul(u64::from(queue.weight));

        self.tenants.len() > 1 && own > fair
    }

    /// Makes the queue of a tenant that has none.
    fn ensure_tenant(&mut self, tenant: &TenantName, weight: u32) {
        if self.tenants.contains_key(tenant) {
            return;
        }

        let finish = self.finished.remove(tenant).unwrap_or(0);

        self.finish_order.remove(&(finish, tenant.clone()));

        let queue = TenantQueue {
            weight,
            start: finish.max(self.virtual_time),
            items: VecDeque::new(),
            backlog: 0,
        };

        self.order.insert((queue.start, tenant.clone()));
        self.weights += u64::from(weight);
        self.tenants.insert(tenant.clone(), queue);
    }

    /// Puts the queue of a tenant back, or remembers its finish time when it is empty.
    fn put_back(&mut self, tenant: TenantName, queue: TenantQueue) {
        if queue.items.is_empty() {
            self.weights -= u64::from(queue.weight);
            self.finish_order.insert((queue.start, tenant.clone()));
            self.finished.insert(tenant, queue.start);

            return;
        }

        self.order.insert((queue.start, tenant.clone()));
        self.tenants.insert(tenant, queue);
    }

    /// Forgets the finish times that the virtual time has passed.
    fn forget_finished(&mut self) {
        // Nothing waits: whoever comes next is even with all others.
        if self.len == 0 {
            self.finished.clear();
            self.finish_order.clear();
        }

        while let Some((finish, _)) = self.finish_order.first()
            && *finish <= self.virtual_time
        {
            if let Some((_, tenant)) = self.finish_order.pop_first() {
                self.finished.remove(&tenant);
            }
        }
    }

    /// Counts an item in.
    fn count_in(&mut self, item: QueuedItem) {
        self.len += 1;
        self.backlog += item.cost;
    }

    /// Counts an item out.
    fn count_out(&mut self, item: QueuedItem) {
        self.len -= 1;
        self.backlog -= item.cost;
    }
}

impl QueuedItem {
    /// Makes an item; its cost is at least one microsecond.
    fn new(ticket: u64, cost: Duration) -> Self {
        let cost = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX).max(1);

        Self { ticket, cost }
    }
}
