//! Tests of the agent task beside a target that does not answer, over loopback.

use bytes::Bytes;
use compio::{
    net::TcpListener,
    runtime::Runtime,
    time::{sleep, timeout},
};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use std::{rc::Rc, sync::Arc, time::Duration};
use wagtail_core::{
    ids::{LeaseEpoch, NodeName, OperationName, RequestId, ServiceName, TenantName},
    request::RequestHead,
    service::{ConfigDocument, ServiceSpec, WorkClass},
    slice::SliceId,
    units::LocalMoment,
    verdict::RunVerdict,
};
use wagtail_daemon::{
    agent::{self, AgentCommand, AgentHandle, AgentOptions, command::TargetNotice},
    fleet::{FleetCell, FleetState},
    latency::LatencyHandle,
    ownership::{self, OwnershipCommand, SliceLeases},
};
use wagtail_lease::ServeGrant;
use wagtail_net::{clock, stop::StopSignal};
use wagtail_telemetry::metrics::MetricSink;

/// The longest wait for something that must come; a test that reaches it has failed.
const GUARD: Duration = Duration::from_secs(30);

/// `OwnedLeases` is a node that owns every slice.
#[derive(Debug)]
struct OwnedLeases;

impl SliceLeases for OwnedLeases {
    fn may_serve(&self, now: LocalMoment, _slice: &SliceId) -> Option<ServeGrant> {
        Some(ServeGrant {
            epoch: LeaseEpoch(5),
            until: now + GUARD,
        })
    }

    fn owner(&self, _slice: &SliceId) -> Option<NodeName> {
        None
    }
}

/// Returns the name of the node.
fn node() -> NodeName {
    NodeName::new("vm-1").unwrap()
}

/// Returns the only service, with one slice.
fn service() -> ServiceSpec {
    ServiceSpec {
        name: ServiceName::new("agenda").unwrap(),
        keyed: true,
        slices: 1,
        slots: 6,
        connections: 120,
        fenced: true,
        max_deadline_ms: 30_000,
        operations: Vec::new(),
        tenants: Vec::new(),
    }
}

/// Makes a request for the slice.
fn request(id: &str, idempotent: bool) -> RequestHead {
    RequestHead {
        id: RequestId::new(id).unwrap(),
        id_generated: true,
        service: service().name,
        key: Some(Arc::from("key")),
        tenant: TenantName::new("default").unwrap(),
        operation: OperationName::new("book").unwrap(),
        class: WorkClass::Short,
        idempotent,
        time_left_ms: 0,
        attempt: 1,
        method: Arc::from("POST"),
        path: Arc::from("/items"),
        headers: Vec::new(),
    }
}

/// Spawns an agent task whose target takes connections and never answers.
async fn start() -> (
    AgentHandle,
    UnboundedReceiver<OwnershipCommand>,
    TcpListener,
) {
    let fleet = FleetCell::default();
    let config = ConfigDocument {
        version: 1,
        services: vec![service()],
        ..Default::default()
    };
    fleet.store(FleetState {
        config,
        ..Default::default()
    });

    let (handle, commands) = agent::task::channel(node());
    let (ownership, told) = ownership::channel();
    agent::spawn(
        handle.clone(),
        commands,
        AgentOptions {
            node: node(),
            fleet,
            leases: Rc::new(OwnedLeases),
            ownership,
            latency: LatencyHandle::new(Rc::new(MetricSink::new(&node()))),
            done: StopSignal::new(),
            seed: 1,
        },
    );

    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    handle.tell(AgentCommand::Announced(TargetNotice {
        service: service().name,
        address: target.local_addr().unwrap(),
        slots: 6,
        fenced: true,
        draining: false,
        started_ms: 1,
    }));
    handle.tell(AgentCommand::SliceGained {
        slice: 0,
        memory: None,
    });

    (handle, told, target)
}

/// Waits until the slice is drained.
async fn wait_for_drain(told: &mut UnboundedReceiver<OwnershipCommand>) {
    let drained = async {
        while let Some(command) = told.next().await {
            if matches!(command, OwnershipCommand::SliceDrained { slice: 0, .. }) {
                return;
            }
        }
    };

    timeout(GUARD, drained)
        .await
        .expect("the slice never drains");
}

#[test]
fn a_request_that_a_frozen_target_holds_is_answered_as_unknown_and_its_slice_drains() {
    Runtime::new().unwrap().block_on(async {
        let (agent, mut told, _target) = start().await;
        let deadline = clock::now() + Duration::from_millis(50);

        let answer = agent
            .submit(request("a", false), Bytes::new(), deadline)
            .await;
        assert_eq!(answer.head.verdict, RunVerdict::Unknown);

        agent.tell(AgentCommand::SliceStopping { slice: 0 });
        wait_for_drain(&mut told).await;
    });
}

#[test]
fn a_slice_drains_after_its_callers_went_away() {
    Runtime::new().unwrap().block_on(async {
        let (agent, mut told, _target) = start().await;
        let deadline = clock::now() + Duration::from_millis(500);

        for (id, idempotent) in [("a", true), ("b", false)] {
            let agent = agent.clone();
            let submitted = compio::runtime::spawn(async move {
                agent
                    .submit(request(id, idempotent), Bytes::new(), deadline)
                    .await
            });
            sleep(Duration::from_millis(10)).await;
            drop(submitted);
        }

        agent.tell(AgentCommand::SliceStopping { slice: 0 });
        wait_for_drain(&mut told).await;
    });
}
