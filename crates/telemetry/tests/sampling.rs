//! Tests of the choice of the requests that are logged.
//!
//! Guards against a load peak in which most requests are refused and writing a line for each takes
//! CPU time from serving the others.

use wagtail_core::units::LocalMoment;
use wagtail_telemetry::sampling::{LineSampler, SamplingOptions};

/// Creates a sampler that keeps one in four successes and ten failures per second.
fn sampler() -> LineSampler {
    let options = SamplingOptions {
        success_one_in: 4,
        failures_per_second: 10.0,
        failure_burst: 20.0,
    };

    LineSampler::new(options, LocalMoment::ZERO)
}

#[test]
fn every_node_keeps_the_same_successes_and_about_the_configured_share() {
    let (here, there) = (sampler(), sampler());
    let ids: Vec<String> = (0..4_000).map(|index| format!("request-{index}")).collect();

    let kept = ids.iter().filter(|id| here.keeps_success(id)).count();
    assert!((800..1_200).contains(&kept), "{kept}");
    assert!(
        ids.iter()
            .all(|id| here.keeps_success(id) == there.keeps_success(id))
    );
}

#[test]
fn failures_are_kept_up_to_the_rate_and_the_rest_is_counted() {
    let mut sampler = sampler();

    // 1,000 failures per second for ten seconds.
    let kept: Vec<u64> = (0..10_000)
        .filter_map(|millis| sampler.take_failure(LocalMoment::from_millis(millis)))
        .collect();
    assert!((115..=120).contains(&kept.len()), "{}", kept.len());

    let reported: u64 = kept.iter().sum();
    assert!(reported <= sampler.skipped_total());
    assert_eq!(kept.len() as u64 + sampler.skipped_total(), 10_000);

    // The next line that is kept reports all lines skipped since the one before it.
    let last = sampler.take_failure(LocalMoment::from_millis(20_000));
    assert_eq!(reported + last.unwrap(), sampler.skipped_total());
}

#[test]
fn failures_below_the_rate_are_all_kept() {
    let mut sampler = sampler();

    for second in 0..60 {
        let now = LocalMoment::from_millis(second * 1_000);
        assert_eq!(sampler.take_failure(now), Some(0));
    }
}
