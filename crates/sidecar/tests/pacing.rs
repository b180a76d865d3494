//! Tests of the pacing of large responses.

use bytes::Bytes;
use compio::runtime::Runtime;
use futures_util::future::join;
use std::{
    cell::RefCell,
    time::{Duration, Instant},
};
use wagtail_core::{
    Result,
    ports::{BodyStream, LocalFuture},
};
use wagtail_gate::link::BulkArrival;
use wagtail_peer::stream::WholeBody;
use wagtail_sidecar::pacing::{NodeLink, PromisedBody};

/// The rate of the link in megabits per second: 1,000 bytes a millisecond.
const LINK_MBPS: f64 = 8.0;

/// Reads a body to its end. Returns its pieces.
async fn read(mut body: Box<dyn BodyStream>) -> Vec<Bytes> {
    let mut pieces = Vec::new();
    while let Some(piece) = body.next().await.unwrap() {
        pieces.push(piece);
    }
    pieces
}

/// Guards against a large response that is written faster than the link carries it, so that what follows
/// waits in the queue of the link.
#[test]
fn a_large_body_is_whole_and_takes_the_time_of_the_link() {
    Runtime::new().unwrap().block_on(async {
        let sent = Bytes::from(vec![7; 200_000]);
        let link = NodeLink::new(LINK_MBPS);
        let began = Instant::now();
        let pieces = read(link.paced(Box::new(WholeBody::new(sent.clone())), None)).await;

        assert_eq!(pieces.concat(), sent);
        // All but the last piece and the permitted lead at the full rate of the link.
        assert!(began.elapsed() >= Duration::from_millis(200_000 / 1_000 - 16 - 8));
    });
}

/// Guards against small responses that wait for large ones.
#[test]
fn a_small_body_passes_at_once() {
    Runtime::new().unwrap().block_on(async {
        let link = NodeLink::new(LINK_MBPS);
        let mut large = link.paced(Box::new(WholeBody::new(vec![7; 900_000].into())), None);
        large.next().await.unwrap();

        let small = link.paced(Box::new(WholeBody::new(vec![1; 400].into())), None);
        let began = Instant::now();
        assert_eq!(read(small).await.concat().len(), 400);
        assert!(began.elapsed() < Duration::from_millis(200));
    });
}

/// `ChunkedBody` yields chunks of 8 KB.
#[derive(Debug)]
struct ChunkedBody(usize);

impl BodyStream for ChunkedBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>>> {
        let chunk = (self.0 > 0).then(|| Bytes::from(vec![7; 8 << 10]));
        self.0 = self.0.saturating_sub(1);

        Box::pin(std::future::ready(Ok(chunk)))
    }
}

/// Guards against a body that arrives in pieces and waits anew with each of them behind all bodies that the
/// link was given to meanwhile: downloads through the VMs of busy targets took seconds.
#[test]
fn a_body_of_known_length_waits_for_the_link_once() {
    Runtime::new().unwrap().block_on(async {
        let link = NodeLink::new(LINK_MBPS);
        let mut relayed = link.paced(Box::new(ChunkedBody(8)), Some(64 << 10));
        relayed.next().await.unwrap();
        let later = link.paced(Box::new(WholeBody::new(vec![7; 200_000].into())), None);

        let ended = RefCell::new(Vec::new());
        let record = async |name: &'static str, body| {
            read(body).await;
            ended.borrow_mut().push(name);
        };
        join(record("later", later), record("relayed", relayed)).await;

        assert_eq!(*ended.borrow(), ["relayed", "later"]);
    });
}

/// Guards against a link that stays taken by bodies that were broken off.
#[test]
fn a_body_that_is_broken_off_gives_the_link_back() {
    Runtime::new().unwrap().block_on(async {
        let link = NodeLink::new(LINK_MBPS);
        let mut body = link.paced(Box::new(ChunkedBody(100)), Some(800 << 10));
        body.next().await.unwrap();
        assert!(link.wait() > Duration::from_millis(500));

        drop(body);

        assert!(link.wait() < Duration::from_millis(100));
    });
}

/// Guards against a link that stays promised to responses that were sent or given up.
#[test]
fn a_promise_ends_with_its_body() {
    let link = NodeLink::new(LINK_MBPS);
    let arrival = BulkArrival {
        bytes: 90_000,
        objective: Duration::from_millis(800),
        objective_left: Duration::from_millis(800),
        time_left: Duration::from_secs(3),
        service_time: Duration::from_millis(70),
    };
    assert_eq!(link.refusal(arrival), None);

    let body = PromisedBody::new(Box::new(WholeBody::default()), link.promise(2_000_000));
    assert!(link.refusal(arrival).is_some());
    drop(body);
    assert_eq!(link.refusal(arrival), None);
}
