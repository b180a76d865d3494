//! Tests of the choice of the requests that get a line.
//!
//! Pattern answered: a crest in which most requests are refused, so that their lines would take
//! processor time from the requests.

use wagtail_core::units::LocalMoment;
use wagtail_telemetry::sampling::{LineSampler, SamplingOptions};

/// Makes a sampler that keeps one in four successes and ten failures a second.
fn sampler() -> LineSampler {
    let options = SamplingOptions {
        success_one_in: 4,
        failures_per_second: 10.0,
        failure_burst: 20.0,
    };

    LineSampler::new(options, LocalMoment::ZERO)
}

#[test]
fn every_node_keeps_the_same_successes_and_about_their_share() {
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
fn failures_are_kept_up_to_their_rate_and_the_rest_is_counted() {
    let mut sampler = sampler();

    // A thousand failures a second for ten seconds.
    let kept: Vec<u64> = (0..10_000)
        .filter_map(|millis| sampler.take_failure(LocalMoment::from_millis(millis)))
        .collect();
    assert!((115..=120).contains(&kept.len()), "{}", kept.len());

    let told: u64 = kept.iter().sum();
    assert!(told <= sampler.skipped_total());
    assert_eq!(kept.len() as u64 + sampler.skipped_total(), 10_000);

    // The next line that is kept tells of all that were skipped before it.
    let last = sampler.take_failure(LocalMoment::from_millis(20_000));
    assert_eq!(told + last.unwrap(), sampler.skipped_total());
}

#[test]
fn a_calm_node_keeps_every_failure() {
    let mut sampler = sampler();

    for second in 0..60 {
        let now = LocalMoment::from_millis(second * 1_000);
        assert_eq!(sampler.take_failure(now), Some(0));
    }
}
