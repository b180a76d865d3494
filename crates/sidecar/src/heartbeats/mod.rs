//! Handles the target's heartbeats and grants it its key ranges in the replies.

mod departures;

use crate::{
    grant_log::log_grant_changes,
    messages::{StoreCall, StoreOutcome},
    node_record::NodeRecord,
    ports::{LocalRequest, WireDialect},
    proxy::TargetProxy,
    record::{RecordPublisher, own_record},
    relay::StoreRelay,
    settings::SidecarSettings,
    tables::TableReader,
    versioned_table::{read_table, table_name},
    view::FleetView,
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};
use tracing::{info, warn};
use wagtail_core::{
    heartbeat::{HeartbeatReply, TargetHeartbeat},
    objects::{StoreRevision, StoredObject},
    ports::LocalFuture,
    units::LocalMoment,
};
use wagtail_net::{
    clock,
    request_body::RequestBody,
    server::{HttpHandler, ServerBody, whole_body},
};
use wagtail_shard::{
    keeper::{GrantKeeper, HeartbeatVerdict},
    sender::ExpectedTarget,
    table::RangeTable,
};

/// The time after a heartbeat's arrival within which the table must be read. The target waits one
/// second for the reply.
const MAX_TABLE_READ_TIME: Duration = Duration::from_millis(700);

/// The longest time for which a reply is delayed because another target is about to release keys to
/// this one. It leaves time to read the table within `MAX_TABLE_READ_TIME`.
const MAX_HANDOVER_WAIT: Duration = Duration::from_millis(550);

/// The longest time for which a heartbeat waits until this node knows the configuration, which says
/// whether the keys of the target's service are divided, and the fleet, which says whether the
/// target has departed. Without this wait, a target that started together with its node would get
/// its keys only with the next heartbeat.
const MAX_DIRECTORY_WAIT: Duration = Duration::from_millis(400);

/// The longest time for which the reply to a leave message waits until the store holds the
/// departure. The target waits one second for the reply.
const MAX_LEAVE_WAIT: Duration = Duration::from_millis(700);

/// The longest time between two checks whether the store holds a departure of the present target.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The largest accepted heartbeat body in bytes.
const MAX_HEARTBEAT_BYTES: usize = 1 << 20;

/// The number of attempts to write the table for one heartbeat, in case other nodes write it
/// concurrently.
const MAX_WRITE_ATTEMPTS: u32 = 2;

/// The delay before another attempt to free the keys of a target.
const FREE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The time between two checks whether the target has ended or its grants have lapsed.
const LAPSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `HeartbeatHandler` serves the calls of the target on this VM: heartbeats and leave messages.
#[derive(Debug)]
pub struct HeartbeatHandler {
    settings: Rc<SidecarSettings>,
    expected: ExpectedTarget,
    dialect: Rc<dyn WireDialect>,
    view: FleetView,
    relay: StoreRelay,
    tables: TableReader,
    proxy: TargetProxy,
    record: RecordPublisher,
    free_failure_logged: Cell<bool>,
}

impl HeartbeatHandler {
    /// Creates a handler.
    pub fn new(
        settings: Rc<SidecarSettings>,
        dialect: Rc<dyn WireDialect>,
        view: FleetView,
        relay: StoreRelay,
        tables: TableReader,
        proxy: TargetProxy,
        record: RecordPublisher,
    ) -> Self {
        let address = Arc::from(settings.target.to_string());
        let expected = ExpectedTarget::new(Arc::clone(&settings.service), address);

        Self {
            settings,
            expected,
            dialect,
            view,
            relay,
            tables,
            proxy,
            record,
            free_failure_logged: Cell::new(false),
        }
    }

    /// Responds to a call of the target.
    async fn respond(&self, request: Request<RequestBody>) -> Response<ServerBody> {
        let call = self
            .dialect
            .parse_local_request(request.method(), request.uri().path());

        match call {
            LocalRequest::Heartbeat { target_id } => {
                let arrived = clock::now();
                let body = match read_limited(request.into_body()).await {
                    Ok(body) => body,
                    Err(reason) => return bad_request(&reason),
                };
                match self.dialect.read_heartbeat(&target_id, &body) {
                    Ok(heartbeat) => Box::pin(self.handle_heartbeat(heartbeat, arrived)).await,
                    Err(error) => {
                        warn!(event = "heartbeat-ignored", target = %target_id, reason = %error);
                        bad_request(&error.to_string())
                    }
                }
            }
            LocalRequest::Leave { target_id } => Box::pin(self.handle_leave(&target_id)).await,
            LocalRequest::Metrics | LocalRequest::Unknown => {
                let mut response = Response::new(whole_body(Bytes::new()));
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }

    /// Records a heartbeat and responds with the grants, if the service divides its keys.
    async fn handle_heartbeat(
        &self,
        heartbeat: TargetHeartbeat,
        arrived: LocalMoment,
    ) -> Response<ServerBody> {
        self.await_directory().await;
        if let Err(mismatch) = self.expected.check(&heartbeat, self.proxy.is_keyed()) {
            warn!(event = "heartbeat-ignored", target = %heartbeat.life, reason = %mismatch);
            return bad_request(&mismatch.to_string());
        }

        self.merge_departures();
        let (has_departed, verdict) = self.proxy.with_keeper(|keeper| {
            let has_departed = keeper.has_departed(&heartbeat.life);
            (has_departed, keeper.accept(&heartbeat, arrived))
        });
        match verdict {
            HeartbeatVerdict::Stale => {
                info!(
                    event = "heartbeat-stale", life = %heartbeat.life, sequence = heartbeat.sequence
                );
                return self.reply(&HeartbeatReply::default());
            }
            HeartbeatVerdict::NewIncarnation => {
                self.proxy
                    .begin_incarnation(&heartbeat, has_departed, arrived);
            }
            HeartbeatVerdict::Current => {}
        }
        self.proxy.record_heartbeat(&heartbeat, arrived);
        self.record.publish(self.own_record());

        let reply = if self.proxy.is_keyed() {
            Box::pin(self.grant(&heartbeat, arrived)).await
        } else {
            HeartbeatReply::default()
        };
        self.reply(&reply)
    }

    /// Returns the reply that grants the target the ranges assigned to it in the last confirmed
    /// table. If a read is needed, that table is read after the heartbeat arrived, unless the store
    /// does not respond in time.
    async fn grant(&self, heartbeat: &TargetHeartbeat, arrived: LocalMoment) -> HeartbeatReply {
        self.await_handover(heartbeat).await;

        let watched = self.view.table(&self.settings.service);
        let must_read = self.proxy.with_keeper(|keeper| {
            let known = watched.map_or(StoreRevision::ZERO, |versioned| {
                keeper.observe_table(&versioned.table, versioned.revision);
                versioned.revision
            });
            keeper.needs_read(heartbeat, known, arrived)
        });
        if must_read {
            let settling = self.settle(true, |keeper, table| keeper.settle(heartbeat, table));
            let time_left = (arrived + MAX_TABLE_READ_TIME).since(clock::now());
            let settled = timeout(time_left, Box::pin(settling))
                .await
                .unwrap_or_else(|_elapsed| Err(Arc::from("the table was not read in time")));
            if let Err(reason) = settled {
                info!(event = "table-not-read", life = %heartbeat.life, reason = %reason);
            }
        }

        let reply = self.proxy.with_keeper(|keeper| {
            let now = clock::now();
            let before = keeper.granted().to_vec();
            let reply = keeper.reply(heartbeat, arrived, now);
            log_grant_changes(&heartbeat.life, &before, keeper, now);
            reply
        });
        if reply.grant.is_none() {
            warn!(event = "grant-withheld", life = %heartbeat.life, sequence = heartbeat.sequence);
        }
        reply
    }

    /// Waits up to `MAX_DIRECTORY_WAIT` for the first configuration and the first list of the fleet.
    async fn await_directory(&self) {
        let is_known = || self.view.hosts().is_some() && self.view.knows_fleet();

        if !self.view.until(MAX_DIRECTORY_WAIT, is_known).await {
            warn!(
                event = "heartbeat-without-directory", node = %self.settings.node,
                config = self.view.hosts().is_some(), fleet = self.view.knows_fleet()
            );
        }
    }

    /// Waits up to `MAX_HANDOVER_WAIT` while another target is about to release keys to this one.
    async fn await_handover(&self, heartbeat: &TargetHeartbeat) {
        let awaits = |table: &RangeTable| {
            self.proxy
                .with_keeper(|keeper| keeper.awaits_handover(heartbeat, table, clock::now()))
        };
        let settled = || {
            let versioned = self.view.table(&self.settings.service);

            !versioned.is_some_and(|versioned| awaits(&versioned.table))
        };

        self.view.until(MAX_HANDOVER_WAIT, settled).await;
    }

    /// Reads the table, applies a change to it and writes it back if that changed anything, if the
    /// table must be recovered after a return of the store, or if earlier writes are unresolved. Succeeds
    /// without a write if there is no table. If it `may_share`, the first read may be that of the reader
    /// of the zone.
    ///
    /// # Errors
    ///
    /// Returns the reason if the table cannot be read or written, or if other nodes changed it
    /// during each of `MAX_WRITE_ATTEMPTS` attempts. A write whose outcome is unknown is no error.
    async fn settle(
        &self,
        may_share: bool,
        change: impl Fn(&GrantKeeper, &mut RangeTable) -> bool,
    ) -> Result<(), Arc<str>> {
        let name: Arc<str> = Arc::from(table_name(&self.settings.service));
        let service = &self.settings.service;

        for attempt in 0..MAX_WRITE_ATTEMPTS {
            // After a conflict, a read of another node may be from before the other change.
            let read = if may_share && attempt == 0 {
                self.tables.read(service).await
            } else {
                self.tables.read_directly(service).await
            };
            let read_sent_at = read.sent_at;
            let object = match read.outcome {
                StoreOutcome::Object(object) => object,
                StoreOutcome::Absent => return Ok(()),
                StoreOutcome::NotDone(reason) | StoreOutcome::Unknown(reason) => {
                    return Err(reason);
                }
                StoreOutcome::Written(_) | StoreOutcome::Conflict(_) => {
                    return Err(Arc::from(
                        "the store returned an unexpected outcome for a get call",
                    ));
                }
            };
            self.view.apply_object(object.clone());
            let table = read_table(&object).map_err(Arc::<str>::from)?;
            let settling = self.proxy.with_keeper(|keeper| {
                let now = clock::now();
                keeper.begin_settling(&table, object.revision, read_sent_at, now, &change)
            });
            let Some(settling) = settling else {
                return Ok(());
            };
            let expected = object.revision;
            if settling.is_recovery || settling.has_claims {
                info!(
                    event = "table-recovered", %expected, era = table.written_era(),
                    marked = settling.is_recovery, claimed = settling.has_claims
                );
            }
            let updated = settling.table;

            // Recorded before the write, as this future may be dropped while that is in flight.
            let pending = self
                .proxy
                .with_keeper(|keeper| keeper.begin_write(expected, updated.clone()));
            match self.write(&name, expected, &updated).await {
                StoreOutcome::Written(revision) => {
                    self.proxy
                        .with_keeper(|keeper| keeper.record_table(updated, revision, read_sent_at));
                    return Ok(());
                }
                StoreOutcome::Conflict(_) => {}
                StoreOutcome::NotDone(reason) => {
                    self.proxy
                        .with_keeper(|keeper| keeper.discard_write(pending));
                    return Err(reason);
                }
                outcome => {
                    warn!(event = "table-write-uncertain", %expected, outcome = ?outcome);
                    return Ok(());
                }
            }
        }

        Err(Arc::from(
            "other nodes changed the table during every attempt",
        ))
    }

    /// Replaces the stored table at a revision. After a success the view holds the new table.
    async fn write(
        &self,
        name: &Arc<str>,
        revision: StoreRevision,
        table: &RangeTable,
    ) -> StoreOutcome {
        let Ok(content) = serde_json::to_string(table) else {
            return StoreOutcome::NotDone(Arc::from("the table cannot be encoded"));
        };
        let content: Arc<str> = Arc::from(content);
        let call = StoreCall::Replace {
            name: Arc::clone(name),
            revision,
            content: Arc::clone(&content),
        };

        let outcome = self.relay.call(&call).await;
        if let StoreOutcome::Written(written) = outcome {
            info!(event = "table-written", expected = %revision, revision = %written);
            self.view.apply_object(StoredObject {
                name: Arc::clone(name),
                revision: written,
                content,
            });
        }
        outcome
    }

    /// Frees the keys of the target when it has ended or has been silent until its grants lapsed.
    /// Runs until it is dropped.
    pub async fn watch_target(&self) {
        loop {
            sleep(LAPSE_CHECK_INTERVAL).await;
            if !self.proxy.is_keyed() || !self.holds_rows() {
                continue;
            }

            let now = clock::now();
            let lapsed = self.proxy.with_keeper(|keeper| now >= keeper.lapses_at());
            if lapsed || self.proxy.has_ended() {
                let freed = self
                    .settle(false, |keeper, table| {
                        let ended = keeper.free_ended(table);
                        let lapsed = keeper.free_lapsed(table, now);
                        ended || lapsed
                    })
                    .await;
                match freed {
                    Ok(()) => info!(event = "keys-freed", lapsed, ended = self.proxy.has_ended()),
                    Err(reason) => {
                        if !self.free_failure_logged.replace(true) {
                            warn!(event = "keys-not-freed", reason = %reason);
                        }
                        sleep(FREE_RETRY_DELAY).await;
                        continue;
                    }
                }
                self.free_failure_logged.set(false);
                self.record.publish(self.own_record());
            }
        }
    }

    /// Returns whether the known table assigns any key to this node's target.
    fn holds_rows(&self) -> bool {
        self.view
            .table(&self.settings.service)
            .is_some_and(|versioned| versioned.table.is_assigned_to(&self.settings.node))
    }

    /// Returns the record that this node publishes of itself.
    fn own_record(&self) -> NodeRecord {
        own_record(&self.settings, &self.proxy)
    }

    /// Creates the HTTP response that carries a reply.
    fn reply(&self, reply: &HeartbeatReply) -> Response<ServerBody> {
        let mut response = Response::new(whole_body(self.dialect.write_heartbeat_reply(reply)));
        response.headers_mut().insert(
            hyper::header::CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );

        response
    }
}

impl HttpHandler for HeartbeatHandler {
    fn handle(&self, request: Request<RequestBody>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.respond(request))
    }
}

/// Reads the body of a call.
///
/// # Errors
///
/// Returns the reason if the connection fails or the body exceeds `MAX_HEARTBEAT_BYTES`.
async fn read_limited(mut body: RequestBody) -> Result<Bytes, String> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(chunk) = frame.into_data() {
            if whole.len() + chunk.len() > MAX_HEARTBEAT_BYTES {
                return Err("the body is too large".to_owned());
            }
            whole.extend_from_slice(&chunk);
        }
    }

    Ok(Bytes::from(whole))
}

/// Creates the response to a call that cannot be parsed.
fn bad_request(reason: &str) -> Response<ServerBody> {
    error_response(StatusCode::BAD_REQUEST, reason)
}

/// Creates the response to a call that is not carried out.
fn error_response(status: StatusCode, reason: &str) -> Response<ServerBody> {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;

    response
}
