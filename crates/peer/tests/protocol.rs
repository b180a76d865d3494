//! Tests of the protocol between the daemons, over loopback.

use assert_matches::assert_matches;
use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
};
use wagtail_core::{
    CoreError,
    ids::{NodeName, OperationName, RequestId, ServiceName, TenantName},
    ports::{BodyStream, LocalFuture},
    request::{RequestHead, ResponseHead},
    service::WorkClass,
    verdict::RunVerdict,
};
use wagtail_net::stop::StopSignal;
use wagtail_peer::{
    answer::PeerResponse,
    control::ControlSender,
    frame::{self, MAX_MESSAGE_BYTES, PREFIX_BYTES},
    link::PeerLink,
    packed::{MAX_UNPACKED_BYTES, PackedValue},
    server::{PeerHandler, serve},
    stream::WholeBody,
};

/// The maximum body size that the handler accepts, in bytes.
const MAX_BODY_BYTES: usize = 1_000;

/// `EchoHandler` responds to a request with the body and the identifier of the request. On the path
/// `/hang` it never responds, and on `/broken` the body of its response fails.
#[derive(Debug, Default)]
struct EchoHandler {
    hanging: Cell<bool>,
    cancelled: Rc<Cell<bool>>,
    control_messages: RefCell<Vec<u64>>,
}

/// `CancelGuard` records that a handler's future was dropped before it completed.
#[derive(Debug)]
struct CancelGuard(Rc<Cell<bool>>);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

impl PeerHandler for EchoHandler {
    type Message = u64;
    type Request = RequestHead;
    type Answer = ResponseHead;

    fn request(
        &self,
        head: RequestHead,
        body: Bytes,
    ) -> LocalFuture<'_, PeerResponse<ResponseHead>> {
        Box::pin(async move {
            if &*head.path == "/hang" {
                let _guard = CancelGuard(Rc::clone(&self.cancelled));
                self.hanging.set(true);
                std::future::pending::<()>().await;
            }
            let broken = &*head.path == "/broken";
            let body: Box<dyn BodyStream> = if broken {
                Box::new(BrokenBody)
            } else {
                Box::new(WholeBody::new(body))
            };

            PeerResponse::new(answer_head(&head), body)
        })
    }

    fn control(&self, message: u64) {
        self.control_messages.borrow_mut().push(message);
    }

    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }
}

/// `BrokenBody` is a body whose first read fails.
#[derive(Debug)]
struct BrokenBody;

impl BodyStream for BrokenBody {
    fn next(&mut self) -> LocalFuture<'_, Result<Option<Bytes>, CoreError>> {
        Box::pin(async { Err(CoreError::unavailable("cut", RunVerdict::Unknown)) })
    }
}

/// Returns the head of the response to a request.
fn answer_head(head: &RequestHead) -> ResponseHead {
    ResponseHead {
        id: head.id.clone(),
        status: 200,
        verdict: RunVerdict::Done,
        node: NodeName::new("vm-1").unwrap(),
        refusal: None,
        owner: None,
        epoch: None,
        retry_after_ms: None,
        load: None,
        headers: Vec::new(),
    }
}

/// Returns the head of a short, idempotent request.
fn request(id: &str, path: &str) -> RequestHead {
    RequestHead {
        id: RequestId::new(id).unwrap(),
        id_generated: false,
        service: ServiceName::new("agenda").unwrap(),
        key: Some(Arc::from("key")),
        tenant: TenantName::new("default").unwrap(),
        operation: OperationName::new("list").unwrap(),
        class: WorkClass::Short,
        idempotent: true,
        time_left_ms: 1_000,
        attempt: 1,
        method: Arc::from("GET"),
        path: Arc::from(path),
        headers: Vec::new(),
    }
}

/// Starts a server with an [`EchoHandler`], runs a test against it and stops it.
fn with_server<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Rc<EchoHandler>) -> F) {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler = Rc::new(EchoHandler::default());
        let stop = StopSignal::new();
        let served = compio::runtime::spawn(serve(listener, Rc::clone(&handler), stop.clone()));

        test(address, handler).await;

        stop.trigger();
        served.await.unwrap();
    });
}

/// Sends a request and returns the head and the complete body of its response.
async fn exchange(link: &PeerLink, id: &str, body: &'static [u8]) -> (ResponseHead, Vec<u8>) {
    let mut answer = link
        .request(&request(id, "/"), Bytes::from_static(body))
        .await
        .unwrap();
    let mut body_bytes = Vec::new();
    while let Some(part) = answer.body.next().await.unwrap() {
        body_bytes.extend_from_slice(&part);
    }

    (answer.head, body_bytes)
}

#[test]
fn frames_hold_exactly_one_message_within_the_limit() {
    let frame = frame::encode(&7_u64).unwrap();
    assert_eq!(frame::decode::<u64>(&frame[PREFIX_BYTES..]).unwrap(), 7);

    let mut trailing = frame[PREFIX_BYTES..].to_vec();
    trailing.push(0);
    assert_matches!(
        frame::decode::<u64>(&trailing),
        Err(CoreError::Malformed { .. })
    );
    assert_matches!(frame::decode::<u64>(&[]), Err(CoreError::Malformed { .. }));

    let large = vec![0_u8; MAX_MESSAGE_BYTES + 1];
    assert_matches!(frame::encode(&large), Err(CoreError::Malformed { .. }));
    assert_matches!(
        frame::message_length([0xff; 4]),
        Err(CoreError::Malformed { .. })
    );
}

#[test]
fn a_forged_length_inside_a_message_allocates_nothing() {
    // 253 marks a 64-bit length, which follows.
    let forged = [253, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];

    assert_matches!(
        frame::decode::<Vec<u8>>(&forged),
        Err(CoreError::Malformed { .. })
    );
}

#[test]
fn an_answer_carries_the_identifier_and_body_of_its_request() {
    with_server(|address, _handler| async move {
        let link = PeerLink::new(address);
        let first = exchange(&link, "a", b"first");
        let second = exchange(&link, "b", b"second");

        let (first, second) = futures_util::future::join(first, second).await;
        assert_eq!(
            (first.0.id.as_str(), first.1.as_slice()),
            ("a", &b"first"[..])
        );
        assert_eq!(
            (second.0.id.as_str(), second.1.as_slice()),
            ("b", &b"second"[..])
        );
    });
}

#[test]
fn a_body_over_the_limit_is_refused_as_not_run_and_the_connection_goes_on() {
    with_server(|address, _handler| async move {
        let link = PeerLink::new(address);
        let large = Bytes::from(vec![0_u8; MAX_BODY_BYTES + 1]);

        let error = link.request(&request("a", "/"), large).await.unwrap_err();
        assert_eq!(error.verdict(), RunVerdict::NotRun, "{error}");

        assert_eq!(exchange(&link, "b", b"next").await.1, b"next");
    });
}

#[test]
fn a_broken_body_is_an_error_and_never_a_shorter_answer() {
    with_server(|address, _handler| async move {
        let link = PeerLink::new(address);
        // If the reset arrives before the head was read, the request itself fails.
        let error = match link.request(&request("a", "/broken"), Bytes::new()).await {
            Ok(mut answer) => answer.body.next().await.unwrap_err(),
            Err(error) => error,
        };
        assert_eq!(error.verdict(), RunVerdict::Unknown, "{error}");

        assert_eq!(exchange(&link, "b", b"next").await.1, b"next");
    });
}

#[test]
fn leaving_a_request_cancels_it_at_the_peer() {
    with_server(|address, handler| async move {
        let link = PeerLink::new(address);
        let hanging = compio::runtime::spawn(async move {
            // The response never arrives; the task is dropped instead.
            drop(link.request(&request("a", "/hang"), Bytes::new()).await);
        });
        let other = PeerLink::new(address);
        // The two connections are not ordered to each other, so wait until the request arrives.
        while !handler.hanging.get() {
            exchange(&other, "b", b"order").await;
        }
        assert!(!handler.cancelled.get());
        drop(hanging);

        while !handler.cancelled.get() {
            exchange(&other, "c", b"again").await;
        }
    });
}

#[test]
fn garbage_ends_its_own_connection_only() {
    with_server(|address, _handler| async move {
        let link = PeerLink::new(address);
        exchange(&link, "a", b"before").await;

        let mut garbage = TcpStream::connect(address).await.unwrap();
        garbage.write_all(vec![b'x'; 200]).await.unwrap();
        let mut buffer = Vec::with_capacity(64);
        loop {
            let (read, returned) = garbage.read(buffer).await.into();
            buffer = returned;
            buffer.clear();
            if matches!(read, Ok(0) | Err(_)) {
                break;
            }
        }

        assert_eq!(exchange(&link, "b", b"after").await.1, b"after");
    });
}

#[test]
fn a_refused_connection_is_not_run() {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);

        let error = PeerLink::new(address)
            .request(&request("a", "/"), Bytes::new())
            .await
            .unwrap_err();
        assert_eq!(error.verdict(), RunVerdict::NotRun, "{error}");
    });
}

#[test]
fn a_restarted_peer_is_dialled_again_for_the_first_request() {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let link = PeerLink::new(address);

        let stop = StopSignal::new();
        let handler = Rc::new(EchoHandler::default());
        let served = compio::runtime::spawn(serve(listener, handler, stop.clone()));
        exchange(&link, "a", b"before").await;
        stop.trigger();
        served.await.unwrap();

        let listener = TcpListener::bind(address).await.unwrap();
        let stop = StopSignal::new();
        let handler = Rc::new(EchoHandler::default());
        let served = compio::runtime::spawn(serve(listener, handler, stop.clone()));
        assert_eq!(exchange(&link, "b", b"after").await.1, b"after");
        stop.trigger();
        served.await.unwrap();
    });
}

#[test]
fn control_messages_arrive_in_order() {
    with_server(|address, handler| async move {
        let mut sender = ControlSender::new(address);
        for number in 0..20_u64 {
            assert!(sender.send(frame::encode(&number).unwrap()));
        }

        let link = PeerLink::new(address);
        while handler.control_messages.borrow().len() < 20 {
            exchange(&link, "a", b"wait").await;
        }
        assert_eq!(
            *handler.control_messages.borrow(),
            (0..20).collect::<Vec<_>>()
        );
    });
}

/// Guards against a peer that sends few bytes which unpack to very many, or bytes of no value.
#[test]
fn a_forged_packed_value_is_refused() {
    let bomb = PackedValue::new(&vec![0_u8; MAX_UNPACKED_BYTES - 16]).unwrap();
    let sent = frame::encode(&bomb).unwrap();
    assert!(sent.len() < 100 << 10);
    // The same bytes as another type, and cut short.
    let other: PackedValue<Vec<String>> = frame::decode(&sent[PREFIX_BYTES..]).unwrap();
    assert_matches!(other.unpack(), Err(CoreError::Malformed { .. }));

    assert_matches!(
        PackedValue::new(&vec![0_u8; MAX_UNPACKED_BYTES + 1]),
        Err(CoreError::Malformed { .. })
    );
}
