//! Tests of the agent task with a target that does not respond, over loopback.

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

/// The timeout for something that must happen; a test that reaches it has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// `OwnedLeases` holds the leases of a node that owns every slice.
#[derive(Debug)]
struct OwnedLeases;

impl SliceLeases for OwnedLeases {
    fn may_serve(&self, now: LocalMoment, _slice: &SliceId) -> Option<ServeGrant> {
        Some(ServeGrant {
            epoch: LeaseEpoch(5),
            until: now + TEST_TIMEOUT,
        })
    }

    fn owner(&self, _slice: &SliceId) -> Option<NodeName> {
        None
    }
}

/// Returns the name of the node under test.
fn node() -> NodeName {
    NodeName::new("vm-1").unwrap()
}

/// Returns the only service, a keyed one with one slice.
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

/// Creates a request for the only slice.
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

/// Spawns an agent task whose target accepts connections but never responds. Returns the handle of
/// the task, the commands that it sends to the ownership task, and the listener of the target.
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
    let (ownership, ownership_commands) = ownership::channel();
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

    (handle, ownership_commands, target)
}

/// Waits until the agent task reports that the slice is drained.
async fn wait_for_drain(ownership_commands: &mut UnboundedReceiver<OwnershipCommand>) {
    let drained = async {
        while let Some(command) = ownership_commands.next().await {
            if matches!(command, OwnershipCommand::SliceDrained { slice: 0, .. }) {
                return;
            }
        }
    };

    timeout(TEST_TIMEOUT, drained)
        .await
        .expect("the slice never drains");
}

#[test]
fn a_request_that_a_frozen_target_holds_is_answered_as_unknown_and_its_slice_drains() {
    Runtime::new().unwrap().block_on(async {
        let (agent, mut ownership_commands, _target) = start().await;
        let deadline = clock::now() + Duration::from_millis(50);

        let response = agent
            .submit(request("a", false), Bytes::new(), deadline)
            .await;
        assert_eq!(response.head.verdict, RunVerdict::Unknown);

        agent.tell(AgentCommand::SliceStopping { slice: 0 });
        wait_for_drain(&mut ownership_commands).await;
    });
}

#[test]
fn a_slice_drains_after_its_callers_went_away() {
    Runtime::new().unwrap().block_on(async {
        let (agent, mut ownership_commands, _target) = start().await;
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
        wait_for_drain(&mut ownership_commands).await;
    });
}
