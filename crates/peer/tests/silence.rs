//! Tests of connections that are slow or silent, over loopback.
//!
//! Pattern answered: downloads fill a slow link, so that pings queue behind data, while another
//! connection goes silent for good without a reset.

use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
    time::{sleep, timeout},
};
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use wagtail_core::{ports::LocalFuture, service::WorkClass, verdict::RunVerdict};
use wagtail_net::stop::StopSignal;
use wagtail_peer::{
    answer::PeerAnswer,
    link::{PeerLink, SilencePolicy},
    server::{PeerHandler, serve},
    silence::SilenceLimit,
    stream::{EmptyBody, WholeBody},
};

/// The bytes that the slow proxy passes on at once.
const PART_BYTES: usize = 8 << 10;

/// The pause after each part, which makes 400 KB/s.
const PART_PAUSE: Duration = Duration::from_millis(20);

/// The size of a large answer in bytes; it takes 1.5 s through the slow proxy, more than three
/// times the shortest silence.
const LARGE_BYTES: usize = 600_000;

/// The time after which a small answer is ready.
const SLOW_WORK: Duration = Duration::from_millis(900);

/// The time within which a silent connection must be noticed: a ping interval, the shortest
/// silence and a late timer each.
const NOTICE: Duration = Duration::from_millis(900);

/// `SizedHandler` answers with as many bytes as the request names, or with nothing after
/// [`SLOW_WORK`] for 0.
#[derive(Debug)]
struct SizedHandler;

impl PeerHandler for SizedHandler {
    type Message = u64;
    type Request = usize;
    type Answer = usize;

    fn request(&self, head: usize, _body: Bytes) -> LocalFuture<'_, PeerAnswer<usize>> {
        Box::pin(async move {
            let size = head;
            if size == 0 {
                sleep(SLOW_WORK).await;

                return PeerAnswer::new(size, Box::new(EmptyBody));
            }

            PeerAnswer::new(size, Box::new(WholeBody::new(vec![7; size].into())))
        })
    }

    fn control(&self, _message: u64) {}

    fn max_body_bytes(&self) -> usize {
        0
    }
}

/// Copies bytes in small parts with pauses. While `silent` is set it keeps the connection open and
/// passes nothing on.
async fn copy_slowly(mut from: TcpStream, mut to: TcpStream, silent: Rc<Cell<bool>>) {
    loop {
        let (read, buffer) = from.read(Vec::with_capacity(PART_BYTES)).await.into();
        if !matches!(read, Ok(count) if count > 0) {
            return;
        }
        while silent.get() {
            sleep(PART_PAUSE).await;
        }
        if to.write_all(buffer).await.0.is_err() {
            return;
        }

        sleep(PART_PAUSE).await;
    }
}

/// Passes connections on to `target` through [`copy_slowly`].
async fn serve_slow_proxy(listener: TcpListener, target: SocketAddr, silent: Rc<Cell<bool>>) {
    while let Ok((caller, _)) = listener.accept().await {
        let Ok(callee) = TcpStream::connect(target).await else {
            return;
        };
        let (requests, answers_to) = caller.into_split();
        let (answers, requests_to) = callee.into_split();

        for (from, to) in [(requests, requests_to), (answers, answers_to)] {
            compio::runtime::spawn(copy_slowly(from, to, Rc::clone(&silent))).detach();
        }
    }
}

/// Runs a test against a peer behind the slow proxy. The cell silences the proxy.
fn with_slow_peer<F: Future<Output = ()>>(test: impl FnOnce(PeerLink, Rc<Cell<bool>>) -> F) {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        compio::runtime::spawn(serve(listener, Rc::new(SizedHandler), StopSignal::new())).detach();

        let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = proxy.local_addr().unwrap();
        let silent = Rc::new(Cell::new(false));
        compio::runtime::spawn(serve_slow_proxy(proxy, target, Rc::clone(&silent))).detach();

        test(PeerLink::new(address), silent).await;
    });
}

#[test]
fn a_download_that_fills_a_slow_link_is_not_taken_for_a_silent_connection() {
    with_slow_peer(|link, _silent| async move {
        let large = link.exchange::<usize, usize>(
            &LARGE_BYTES,
            WorkClass::Long,
            SilencePolicy::FailFast,
            Bytes::new(),
        );
        let mut answer = large.await.unwrap();

        // The small request keeps its answer awaited while the data of the large one arrives.
        let small = link.exchange::<usize, usize>(
            &0,
            WorkClass::Long,
            SilencePolicy::FailFast,
            Bytes::new(),
        );
        let receive = async {
            let mut received = 0;
            while let Some(part) = answer.body.next().await.unwrap() {
                received += part.len();
            }
            received
        };
        let (received, small) = futures_util::future::join(receive, small).await;

        assert_eq!(received, LARGE_BYTES);
        assert_eq!(small.unwrap().head, 0);
    });
}

#[test]
fn a_silent_connection_is_noticed_while_an_answer_is_awaited() {
    with_slow_peer(|link, silent| async move {
        link.exchange::<usize, usize>(&1, WorkClass::Short, SilencePolicy::FailFast, Bytes::new())
            .await
            .unwrap();

        silent.set(true);
        let began = Instant::now();
        let lost = timeout(
            NOTICE * 2,
            link.exchange::<usize, usize>(
                &1,
                WorkClass::Short,
                SilencePolicy::FailFast,
                Bytes::new(),
            ),
        )
        .await
        .unwrap();

        assert_eq!(lost.unwrap_err().verdict(), RunVerdict::Unknown);
        assert!(
            began.elapsed() < NOTICE,
            "noticed after {:?}",
            began.elapsed()
        );
    });
}

#[test]
fn what_cannot_be_repeated_waits_on_a_connection_that_is_only_slow() {
    with_slow_peer(|link, silent| async move {
        let ask = async |size, policy| {
            link.exchange::<usize, usize>(&size, WorkClass::Short, policy, Bytes::new())
                .await
        };
        ask(1, SilencePolicy::Wait).await.unwrap();

        silent.set(true);
        let heal = async {
            sleep(NOTICE).await;
            silent.set(false);
        };
        let began = Instant::now();
        let (answer, ()) = futures_util::future::join(ask(2, SilencePolicy::Wait), heal).await;

        assert_eq!(answer.unwrap().head, 2);
        assert!(began.elapsed() >= NOTICE);
    });
}

#[test]
fn pings_that_queue_behind_data_lengthen_the_silence_allowed() {
    let mut limit = SilenceLimit::new();
    assert_eq!(limit.limit(), Duration::from_millis(450));

    limit.answered(Duration::from_millis(400));
    assert_eq!(limit.limit(), Duration::from_millis(1_200));

    limit.answered(Duration::from_secs(2));
    assert_eq!(limit.limit(), Duration::from_secs(3));

    // Twenty quick answers, 3 s at the interval of the pings, show that the link is free again.
    for _ in 0..20 {
        limit.answered(Duration::from_millis(2));
    }
    assert_eq!(limit.limit(), Duration::from_millis(450));
}
