//! The network link of the VM as a resource, like the slots of the target.
//!
//! Pattern: large responses fill a narrow link, and small responses and calls with short time limits wait
//! behind them in its queue. So large responses are sent at a rate just below that of the link, which keeps
//! their queue in this process, and one that cannot be sent in time is refused before the target runs it.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The size in bytes from which a response is large: it is paced, and counted before it runs.
pub const BULK_BYTES: u64 = 16 << 10;

/// Bits in a megabit, by which the rates of links are given.
const BITS_PER_MEGABIT: f64 = 1_000_000.0;

/// Bits in a byte.
const BITS_PER_BYTE: f64 = 8.0;

/// `LinkOptions` tells how much of the link large responses may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkOptions {
    /// The greatest share of the link's rate at which large responses are sent. The rest is for everything
    /// else, and for the headers of packets.
    pub bulk_share: f64,
    /// The least share of the link's rate at which large responses are sent, whatever else is sent.
    pub min_bulk_share: f64,
    /// The share of the link's rate that is used at most. A link that is used in full has a queue.
    pub total_share: f64,
    /// The bytes on the link for each byte of other traffic that is written: small messages have packets,
    /// and acknowledgements, of their own.
    pub other_overhead: f64,
    /// The time over which other traffic is measured.
    pub other_window: Duration,
    /// The time by which pieces may be sent ahead of their turn, so that a late timer leaves no gap.
    pub max_lead: Duration,
    /// The share of the objective by which a response has to have left this VM. The rest is for the way to
    /// its caller, through the VM of the caller's node.
    pub own_share: f32,
    /// The upper bound on the wait of a large response for the link, as a share of its objective.
    pub max_wait_share: f32,
    /// The wait that is always allowed, however little of the objective is left, as a share of it.
    pub min_wait_share: f32,
    /// The shortest delay before a retry that a refused caller is asked for.
    pub min_retry_after: Duration,
    /// The longest delay before a retry that a refused caller is asked for.
    pub max_retry_after: Duration,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            bulk_share: 0.88,
            min_bulk_share: 0.5,
            total_share: 0.96,
            other_overhead: 1.25,
            other_window: Duration::from_millis(500),
            max_lead: Duration::from_millis(8),
            own_share: 0.85,
            max_wait_share: 0.75,
            min_wait_share: 0.1,
            min_retry_after: Duration::from_millis(50),
            max_retry_after: Duration::from_secs(1),
        }
    }
}

/// `BulkArrival` describes a request whose response is expected to be large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BulkArrival {
    /// The expected size of the response in bytes.
    pub bytes: u64,
    /// The latency objective of the request.
    pub objective: Duration,
    /// The part of the objective that is left.
    pub objective_left: Duration,
    /// The time until the caller's deadline.
    pub time_left: Duration,
    /// The expected time for which the target works on the request.
    pub service_time: Duration,
}

/// `LinkPacer` decides when the pieces of large responses are sent, and which requests for large
/// responses are refused.
#[derive(Debug, Clone, Copy)]
pub struct LinkPacer {
    options: LinkOptions,
    /// The rate of the link in bytes per second.
    link_rate: f64,
    /// The rate for large responses in bytes per second.
    bulk_rate: f64,
    /// The rate of all other traffic in bytes per second.
    other_rate: f64,
    /// The total of other traffic at `other_since`, in bytes.
    other_total: u64,
    other_since: LocalMoment,
    /// The moment at which everything that was sent has left, at the rate for large responses.
    free_at: LocalMoment,
    /// The bytes of admitted large responses that have not been sent.
    promised: u64,
}

impl LinkPacer {
    /// Creates a pacer for an idle link of the given rate in megabits per second.
    pub fn new(options: LinkOptions, link_mbps: f64) -> Self {
        let link_rate = (link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE).max(1.0);

        Self {
            options,
            link_rate,
            bulk_rate: link_rate * options.bulk_share,
            other_rate: 0.0,
            other_total: 0,
            other_since: LocalMoment::ZERO,
            free_at: LocalMoment::ZERO,
            promised: 0,
        }
    }

    /// Records the bytes that were sent since the start beside large responses, which get what this
    /// traffic leaves of the link.
    pub fn observe_other(&mut self, total: u64, now: LocalMoment) {
        let span = now.since(self.other_since);
        if span < self.options.other_window {
            return;
        }

        #[expect(clippy::cast_precision_loss, reason = "the bytes of a short time")]
        let rate = total.saturating_sub(self.other_total) as f64 / span.as_secs_f64();
        self.other_rate = f64::midpoint(self.other_rate, rate);
        self.other_total = self.other_total.max(total);
        self.other_since = now;

        let options = &self.options;
        let left = self.link_rate * options.total_share - self.other_rate * options.other_overhead;
        self.bulk_rate = left.clamp(
            self.link_rate * options.min_bulk_share,
            self.link_rate * options.bulk_share,
        );
    }

    /// Gives the link to a response, or a part of one, after all that it was given to before. Returns the
    /// moment from which it may be sent. One response after the other completes sooner than all at once.
    pub fn begin(&mut self, bytes: u64, now: LocalMoment) -> LocalMoment {
        let starts_at = self.free_at.max(now);
        self.free_at = starts_at + self.transfer_time(bytes);

        starts_at
    }

    /// Gives back what was given to a response beyond its actual end.
    pub fn give_back(&mut self, bytes: u64, now: LocalMoment) {
        let left = self.free_at.since(now);

        self.free_at = now + left.saturating_sub(self.transfer_time(bytes));
    }

    /// Returns how long to wait before the bytes after the first `offset` ones of a response are sent,
    /// which has the link from `starts_at` on.
    pub fn pause(&self, starts_at: LocalMoment, offset: u64, now: LocalMoment) -> Duration {
        (starts_at + self.transfer_time(offset))
            .since(now)
            .saturating_sub(self.options.max_lead)
    }

    /// Promises the link to a response of an admitted request, until [`Self::release`].
    pub fn promise(&mut self, bytes: u64) {
        self.promised += bytes;
    }

    /// Takes a promise back, as the response was sent or there is none.
    pub fn release(&mut self, bytes: u64) {
        self.promised = self.promised.saturating_sub(bytes);
    }

    /// Returns how long the link is taken by what was promised or sent.
    pub fn wait(&self, now: LocalMoment) -> Duration {
        self.transfer_time(self.promised)
            .max(self.free_at.since(now))
    }

    /// Returns the rate for large responses in bytes per second.
    pub fn bulk_rate(&self) -> f64 {
        self.bulk_rate
    }

    /// Returns the delay before a retry if the response to a request cannot be sent in time, or `None`
    /// if the request may run.
    pub fn refusal(&self, arrival: BulkArrival, now: LocalMoment) -> Option<Duration> {
        // The link goes on sending while the target works.
        let wait = self.wait(now).saturating_sub(arrival.service_time);
        let work = arrival.service_time + self.transfer_time(arrival.bytes);
        let spent = arrival.objective.saturating_sub(arrival.objective_left);
        let own_time = arrival.objective.mul_f32(self.options.own_share);
        let slack = own_time.saturating_sub(spent + work);
        let max_wait = slack.clamp(
            arrival.objective.mul_f32(self.options.min_wait_share),
            arrival.objective.mul_f32(self.options.max_wait_share),
        );

        let is_refused = wait > max_wait || wait + work > arrival.time_left;
        is_refused.then(|| {
            wait.saturating_sub(max_wait)
                .clamp(self.options.min_retry_after, self.options.max_retry_after)
        })
    }

    /// Returns the time that the link takes for large responses of this size.
    fn transfer_time(&self, bytes: u64) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
        let seconds = bytes as f64 / self.bulk_rate;

        Duration::from_secs_f64(seconds)
    }
}
