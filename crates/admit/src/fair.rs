//! The queue that divides the slots of a target fairly between tenants.

use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use wagtail_core::ids::TenantName;

/// The units of virtual time for one microsecond of cost at weight 1.
const TAG_SCALE: u64 = 1_024;

/// `QueuedItem` is one queued arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct QueuedItem {
    /// The ticket of the arrival.
    ticket: u64,
    /// The expected duration in microseconds.
    cost: u64,
}

/// `TenantQueue` holds the queued arrivals of one tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct TenantQueue {
    /// The weight of the tenant relative to the others.
    weight: u32,
    /// The virtual start time of the first item.
    start: u64,
    /// The queued arrivals, oldest first.
    items: VecDeque<QueuedItem>,
    /// The sum of the costs in microseconds.
    backlog: u64,
}

/// `FairQueue` is a start-time fair queue. The tenant with the earliest virtual start is served
/// next, and each served item advances its tenant's start by the cost divided by the weight.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FairQueue {
    /// The tenants with queued arrivals.
    tenants: BTreeMap<TenantName, TenantQueue>,
    /// The tenants with queued arrivals, sorted by virtual start.
    start_order: BTreeSet<(u64, TenantName)>,
    /// The virtual finish times of tenants without queued arrivals, while they are later than the
    /// virtual time.
    finished: BTreeMap<TenantName, u64>,
    /// The entries of `finished` sorted by time, so that the expired ones are found without a
    /// search.
    finish_order: BTreeSet<(u64, TenantName)>,
    /// The virtual start of the item that was served last.
    virtual_time: u64,
    /// The count of queued arrivals.
    len: usize,
    /// The sum of the costs of all queued arrivals in microseconds.
    backlog: u64,
    /// The sum of the weights of the tenants with queued arrivals.
    weights: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the count of queued arrivals.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total expected duration of the queued arrivals.
    pub fn backlog(&self) -> Duration {
        Duration::from_micros(self.backlog)
    }

    /// Appends an arrival to the queue of its tenant.
    pub fn push(&mut self, tenant: &TenantName, weight: u32, ticket: u64, cost: Duration) {
        let item = QueuedItem::new(ticket, cost);

        self.ensure_tenant(tenant, weight);
        self.add_to_totals(item);

        if let Some(queue) = self.tenants.get_mut(tenant) {
            queue.backlog += item.cost;
            queue.items.push_back(item);
        }
    }

    /// Returns the ticket of the next arrival without removing it.
    pub fn peek(&self) -> Option<u64> {
        let (_, tenant) = self.start_order.first()?;
        let item = self.tenants.get(tenant)?.items.front()?;

        Some(item.ticket)
    }

    /// Removes the next arrival, charges its tenant for it and returns its ticket.
    pub fn pop(&mut self) -> Option<u64> {
        let (start, tenant) = self.start_order.pop_first()?;
        let mut queue = self.tenants.remove(&tenant)?;
        let item = queue.items.pop_front()?;

        self.virtual_time = self.virtual_time.max(start);
        self.subtract_from_totals(item);
        queue.backlog -= item.cost;
        queue.start = start + item.cost * TAG_SCALE / u64::from(queue.weight);
        self.put_back(tenant, queue);
        self.forget_finished();

        Some(item.ticket)
    }

    /// Removes an arrival that will not be served and returns whether it was queued.
    pub fn remove(&mut self, tenant: &TenantName, ticket: u64) -> bool {
        let Some(mut queue) = self.tenants.remove(tenant) else {
            return false;
        };

        self.start_order.remove(&(queue.start, tenant.clone()));
        let item_index = queue.items.iter().position(|item| item.ticket == ticket);
        let removed = item_index.and_then(|index| queue.items.remove(index));

        if let Some(item) = removed {
            self.subtract_from_totals(item);
            queue.backlog -= item.cost;
        }

        self.put_back(tenant.clone(), queue);

        removed.is_some()
    }

    /// Removes the oldest arrival of the tenant with the longest backlog relative to its weight,
    /// and returns its ticket.
    pub fn pop_oldest(&mut self) -> Option<u64> {
        let (tenant, queue) = self
            .tenants
            .iter()
            .max_by_key(|(_, queue)| queue.backlog / u64::from(queue.weight))?;
        let ticket = queue.items.front()?.ticket;
        let tenant = tenant.clone();

        self.remove(&tenant, ticket).then_some(ticket)
    }

    /// Predicts how long one more arrival of a tenant would wait when `slots` slots serve this
    /// queue.
    ///
    /// The tenant waits for its own backlog at its share of the slots, and at most for the backlog
    /// of all tenants.
    pub fn predicted_wait(&self, tenant: &TenantName, weight: u32, slots: u32) -> Duration {
        let weight = u64::from(weight.max(1));
        let own = self.tenants.get(tenant);
        let own_backlog = own.map_or(0, |queue| queue.backlog);
        let others = self.weights - own.map_or(0, |queue| u64::from(queue.weight));
        let shared = own_backlog.saturating_mul(others + weight) / weight;
        let micros = shared.min(self.backlog) / u64::from(slots.max(1));

        Duration::from_micros(micros)
    }

    /// Returns the count of queued arrivals of a tenant.
    pub fn waiting(&self, tenant: &TenantName) -> usize {
        self.tenants
            .get(tenant)
            .map_or(0, |queue| queue.items.len())
    }

    /// Returns whether a tenant holds more than its fair share of the backlog while other tenants
    /// are queued too.
    pub fn is_over_share(&self, tenant: &TenantName) -> bool {
        let Some(queue) = self.tenants.get(tenant) else {
            return false;
        };
        let own = queue.backlog.saturating_mul(self.weights);
        let fair = self.backlog.saturating_mul(u64::from(queue.weight));

        self.tenants.len() > 1 && own > fair
    }

    /// Creates the queue of a tenant that has none yet.
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

        self.start_order.insert((queue.start, tenant.clone()));
        self.weights += u64::from(weight);
        self.tenants.insert(tenant.clone(), queue);
    }

    /// Puts the queue of a tenant back, or keeps only its finish time if the queue is empty.
    fn put_back(&mut self, tenant: TenantName, queue: TenantQueue) {
        if queue.items.is_empty() {
            self.weights -= u64::from(queue.weight);
            self.finish_order.insert((queue.start, tenant.clone()));
            self.finished.insert(tenant, queue.start);

            return;
        }

        self.start_order.insert((queue.start, tenant.clone()));
        self.tenants.insert(tenant, queue);
    }

    /// Removes the finish times that the virtual time has passed.
    fn forget_finished(&mut self) {
        // In an empty queue no tenant is ahead of another.
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

    /// Adds an item to the totals of the queue.
    fn add_to_totals(&mut self, item: QueuedItem) {
        self.len += 1;
        self.backlog += item.cost;
    }

    /// Subtracts an item from the totals of the queue.
    fn subtract_from_totals(&mut self, item: QueuedItem) {
        self.len -= 1;
        self.backlog -= item.cost;
    }
}

impl QueuedItem {
    /// Creates an item whose cost is rounded down to microseconds, but is at least one.
    fn new(ticket: u64, cost: Duration) -> Self {
        let cost = u64::try_from(cost.as_micros()).unwrap_or(u64::MAX).max(1);

        Self { ticket, cost }
    }
}
