//! A narrow link in virtual time, with large responses and small calls beside them.
//!
//! Model: bytes that the process writes queue in the link of its VM, first in first out. Pattern: downloads
//! of 90 KB that fill the link, in the mean or in waves, beside calls of 400 bytes.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::VecDeque, time::Duration};
use wagtail_core::units::LocalMoment;
use wagtail_gate::link::{BulkArrival, LinkOptions, LinkPacer};

/// The mean size of a download in bytes.
const DOWNLOAD_BYTES: u64 = 90_000;

/// The size of the response to a call in bytes.
const CALL_BYTES: f64 = 400.0;

/// The size of the pieces of a download in bytes.
const PIECE_BYTES: u64 = 16 << 10;

/// The objective of a download, and its deadline.
const DOWNLOAD_OBJECTIVE: Duration = Duration::from_millis(800);
const DOWNLOAD_DEADLINE: Duration = Duration::from_secs(3);

/// The time that the target works on a download.
const WORK: Duration = Duration::from_millis(73);

/// The objective of a call in milliseconds, which is the most that a call may wait for the link in this
/// model.
const CALL_OBJECTIVE_MS: f64 = 100.0;

/// The calls a second.
const CALLS_PER_SECOND: f64 = 30.0;

/// The simulated time in milliseconds.
const SPAN_MS: u64 = 60_000;

/// `LinkCounts` holds what a run has counted.
#[derive(Debug, Default)]
struct LinkCounts {
    calls: u32,
    late_calls: u32,
    downloads: u32,
    refused: u32,
    /// The downloads that were admitted and sent within their objective.
    in_time: u32,
    sent: u32,
}

/// `RunningDownload` is an admitted download.
#[derive(Debug)]
struct RunningDownload {
    arrived_ms: u64,
    ready_ms: u64,
    bytes: u64,
    left: u64,
    /// When the link is given to it.
    starts_at: Option<LocalMoment>,
}

/// Runs a link of `mbps` with downloads that take `load` of it in the mean, in waves of a half more and
/// less. The downloads are paced by the pacer, or written as soon as they are ready.
fn run(mbps: f64, load: f64, is_paced: bool, seed: u64) -> LinkCounts {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pacer = LinkPacer::new(LinkOptions::default(), mbps);
    let bytes_per_ms = mbps * 125.0;
    let download_rate = load * bytes_per_ms / 90_000.0;
    let mut downloads: VecDeque<RunningDownload> = VecDeque::new();
    let mut queued = 0.0_f64;
    let mut counts = LinkCounts::default();

    for now_ms in 0..SPAN_MS {
        let now = LocalMoment::from_millis(now_ms);
        queued = (queued - bytes_per_ms).max(0.0);

        #[expect(clippy::cast_precision_loss, reason = "a small number")]
        let wave = 1.0 + 0.5 * (now_ms as f64 / 17_000.0 * std::f64::consts::TAU).sin();
        if random.random_bool((download_rate * wave).min(1.0)) {
            counts.downloads += 1;
            let bytes = random.random_range(DOWNLOAD_BYTES / 2..DOWNLOAD_BYTES * 3 / 2);
            let arrival = BulkArrival {
                bytes: DOWNLOAD_BYTES,
                objective: DOWNLOAD_OBJECTIVE,
                objective_left: DOWNLOAD_OBJECTIVE,
                time_left: DOWNLOAD_DEADLINE,
                service_time: WORK,
            };
            if is_paced && pacer.refusal(arrival, now).is_some() {
                counts.refused += 1;
            } else {
                pacer.promise(DOWNLOAD_BYTES);
                let ready_ms = now_ms + u64::try_from(WORK.as_millis()).unwrap();
                downloads.push_back(RunningDownload {
                    arrived_ms: now_ms,
                    ready_ms,
                    bytes,
                    left: bytes,
                    starts_at: None,
                });
            }
        }

        for download in &mut downloads {
            if now_ms < download.ready_ms {
                continue;
            }
            let starts_at = *download
                .starts_at
                .get_or_insert_with(|| pacer.begin(download.bytes, now));
            while download.left > 0 {
                let offset = download.bytes - download.left;
                if is_paced && !pacer.pause(starts_at, offset, now).is_zero() {
                    break;
                }
                let piece = download.left.min(PIECE_BYTES);
                download.left -= piece;
                #[expect(clippy::cast_precision_loss, reason = "a small number")]
                let written = piece as f64;
                queued += written;
            }
        }
        downloads.retain(|download| {
            let is_sent = download.left == 0;
            if is_sent {
                assert!(now_ms >= download.ready_ms && download.bytes > 0);
                pacer.release(DOWNLOAD_BYTES);
                counts.sent += 1;
                #[expect(clippy::cast_precision_loss, reason = "a small number")]
                let took_ms = (now_ms - download.arrived_ms) as f64 + queued / bytes_per_ms;
                counts.in_time += u32::from(took_ms <= 800.0);
            }
            !is_sent
        });

        if random.random_bool(CALLS_PER_SECOND / 1_000.0) {
            counts.calls += 1;
            queued += CALL_BYTES;
            counts.late_calls += u32::from(queued / bytes_per_ms > CALL_OBJECTIVE_MS);
        }
    }

    counts
}

/// Guards against calls that wait behind large responses in the queue of the link until they fail, and
/// against large responses that are refused though the link has room.
#[test]
fn calls_do_not_wait_behind_downloads_on_a_narrow_link() {
    for (mbps, load) in [
        (12.0, 0.5),
        (12.0, 0.92),
        (12.0, 1.4),
        (20.0, 0.8),
        (200.0, 0.5),
    ] {
        for seed in 0..10 {
            let counts = run(mbps, load, true, seed);

            assert_eq!(counts.late_calls, 0, "{mbps} {load} {seed}: {counts:?}");
            // Nine in ten of what is admitted is in time, so that little is sent in vain.
            assert!(
                counts.in_time * 10 >= counts.sent * 9,
                "{mbps} {load} {seed}: {counts:?}"
            );
            if load <= 0.5 {
                assert!(
                    counts.refused * 20 <= counts.downloads,
                    "{mbps} {load} {seed}: {counts:?}"
                );
            }
        }
    }
}

/// Checks the model itself: without the pacer, calls wait behind downloads.
#[test]
fn without_pacing_calls_wait_behind_downloads() {
    let counts = run(12.0, 0.92, false, 0);

    assert!(counts.late_calls * 4 > counts.calls, "{counts:?}");
}

/// Guards against a link that stays idle while an overload is refused.
#[test]
fn an_overloaded_link_is_used() {
    let counts = run(12.0, 1.4, true, 0);
    let sent_bytes = f64::from(counts.sent) * 90_000.0;

    assert!(sent_bytes >= 0.75 * 12.0 * 125_000.0 * 60.0, "{counts:?}");
    assert!(counts.refused > 0, "{counts:?}");
}

/// Guards against large responses at a fixed share of a link on which other traffic takes more than the rest:
/// the queue of the link grew, and each small message waited in it.
#[test]
fn large_responses_get_what_other_traffic_leaves() {
    let mut pacer = LinkPacer::new(LinkOptions::default(), 12.0);
    let link_rate = 12.0 * 125_000.0;
    let idle_rate = pacer.bulk_rate();
    assert!(idle_rate > 0.85 * link_rate);

    // A quarter of the link, for ten seconds.
    for tenth in 1..=100 {
        let total = tenth * 37_500;
        pacer.observe_other(total, LocalMoment::from_millis(tenth * 100));
    }
    let beside = pacer.bulk_rate();
    assert!(beside <= 0.72 * link_rate, "{beside}");
    assert!(beside >= 0.6 * link_rate, "{beside}");

    for tenth in 101..=150 {
        pacer.observe_other(3_750_000, LocalMoment::from_millis(tenth * 100));
    }
    assert!(pacer.bulk_rate() > 0.98 * idle_rate);
}
