//! Tests over loopback of the verdicts that the client of the target returns.

use assert_matches::assert_matches;
use bytes::Bytes;
use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Runtime,
};
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    CoreError, Result,
    ids::{LeaseEpoch, NodeName, OperationName, RequestId, ServiceName, TenantName},
    ports::{TargetPort, TargetRequest, TargetResponse},
    request::RequestHead,
    service::WorkClass,
    verdict::RunVerdict,
};
use wagtail_target::HttpTarget;

/// Returns a request for a keyed service.
fn keyed_request() -> TargetRequest {
    TargetRequest {
        head: RequestHead {
            id: RequestId::new("a").unwrap(),
            id_generated: false,
            service: ServiceName::new("agenda").unwrap(),
            key: Some(Arc::from("key")),
            tenant: TenantName::new("default").unwrap(),
            operation: OperationName::new("book").unwrap(),
            class: WorkClass::Short,
            idempotent: false,
            time_left_ms: 1_000,
            attempt: 1,
            method: Arc::from("POST"),
            path: Arc::from("/items"),
            headers: Vec::new(),
        },
        body: Bytes::from_static(b"body"),
        slice: Some(7),
        epoch: Some(LeaseEpoch(10)),
        time_left: Duration::from_secs(30),
    }
}

/// Reads a request up to the end of its body, which is the text `body`.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();

    while !text.ends_with(b"\r\n\r\nbody") {
        let (read, part) = stream.read(Vec::with_capacity(1_024)).await.into();
        assert!(read.unwrap() > 0, "the request is cut short");
        text.extend_from_slice(&part);
    }

    String::from_utf8(text).unwrap()
}

/// Dispatches a request to a target that reads it, sends the given raw response and closes the
/// connection. Returns the outcome, the end of the body and the request as the target read it.
fn dispatch(response: &'static str) -> (Result<TargetResponse>, Result<Option<Bytes>>, String) {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = compio::runtime::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let request = read_request(&mut stream).await;
            stream.write_all(response.as_bytes()).await.unwrap();

            request
        });

        let service = ServiceName::new("agenda").unwrap();
        let port = HttpTarget::new(NodeName::new("vm-1").unwrap(), service, address);
        let mut outcome = port.dispatch(keyed_request()).await;
        let request = target.await.unwrap();
        let mut body = Ok(None);
        if let Ok(response) = &mut outcome {
            body = response.body.next().await;
            while let Ok(Some(_)) = body {
                body = response.body.next().await;
            }
        }

        (outcome, body, request)
    })
}

#[test]
fn a_complete_response_is_done() {
    let (outcome, body, request) = dispatch(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nwagtail-request-id: a\r\nwagtail-verdict: forged\r\n\r\nok",
    );

    let response = outcome.unwrap();
    assert_eq!(response.head.verdict, RunVerdict::Done);
    assert!(
        response.head.headers.is_empty(),
        "a target cannot forge the system's fields"
    );
    assert_matches!(body, Ok(None));
    for field in ["wagtail-epoch: 10", "wagtail-slice: 7", "wagtail-key: key"] {
        assert!(request.contains(field), "{field} is missing in {request}");
    }
}

#[test]
fn a_refusal_before_the_start_is_not_run() {
    for reason in ["shed", "draining", "deadline", "fenced"] {
        let response: &'static str = Box::leak(
            format!(
                "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nwagtail-request-id: a\r\n\
                 wagtail-refused: {reason}\r\n\r\n"
            )
            .into_boxed_str(),
        );
        let (outcome, _, _) = dispatch(response);

        assert_eq!(
            outcome.unwrap_err().verdict(),
            RunVerdict::NotRun,
            "{reason}"
        );
    }
}

/// Guards against a late copy of an earlier response that counts as the answer to the next request.
#[test]
fn a_response_to_another_request_is_unknown() {
    for field in ["wagtail-refused: shed\r\n", ""] {
        let response: &'static str = Box::leak(
            format!(
                "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nwagtail-request-id: b\r\n{field}\r\n"
            )
            .into_boxed_str(),
        );
        let (outcome, _, _) = dispatch(response);

        assert_eq!(
            outcome.unwrap_err().verdict(),
            RunVerdict::Unknown,
            "{field}"
        );
    }

    let (outcome, _, _) =
        dispatch("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nwagtail-request-id: a\r\n\r\nok");
    assert_matches!(outcome, Ok(_));
}

/// Guards against a late copy without a usable identifier that counts as the answer to the next request.
#[test]
fn a_response_that_does_not_name_exactly_its_request_is_unknown() {
    let names = [
        "",
        "wagtail-request-id: \r\n",
        "wagtail-request-id: a\r\nwagtail-request-id: b\r\n",
        "wagtail-request-id: b\r\nwagtail-request-id: a\r\n",
        "wagtail-request-id: a\r\nwagtail-request-id: a\r\n",
        "wagtail-request-id: a, b\r\n",
    ];

    for name in names {
        for head in [
            "503 Busy\r\nwagtail-refused: shed",
            "503 Busy",
            "500 Failed",
            "200 OK",
        ] {
            let response: &'static str = Box::leak(
                format!("HTTP/1.1 {head}\r\ncontent-length: 0\r\n{name}\r\n").into_boxed_str(),
            );
            let (outcome, _, _) = dispatch(response);

            assert_eq!(
                outcome.unwrap_err().verdict(),
                RunVerdict::Unknown,
                "{head}, {name}"
            );
        }
    }
}

#[test]
fn a_connection_that_breaks_after_the_request_is_unknown() {
    let (outcome, _, _) = dispatch("");

    assert_eq!(outcome.unwrap_err().verdict(), RunVerdict::Unknown);
}

#[test]
fn a_truncated_body_is_an_error() {
    let (outcome, body, _) =
        dispatch("HTTP/1.1 200 OK\r\ncontent-length: 10\r\nwagtail-request-id: a\r\n\r\nshort");

    assert_matches!(outcome, Ok(_));
    assert_matches!(
        body,
        Err(CoreError::Unavailable {
            verdict: RunVerdict::Unknown,
            ..
        })
    );
}

#[test]
fn a_refused_connection_is_not_run() {
    Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);

        let service = ServiceName::new("agenda").unwrap();
        let port = HttpTarget::new(NodeName::new("vm-1").unwrap(), service, address);
        let error = port.dispatch(keyed_request()).await.unwrap_err();
        assert_eq!(error.verdict(), RunVerdict::NotRun);
    });
}
