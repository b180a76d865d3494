//! The server for the target's heartbeats.

use crate::{
    messages::{StoreCall, StoreOutcome},
    ports::{LocalRequest, WireDialect},
    proxy::TargetProxy,
    record::{RecordPublisher, own_record},
    relay::StoreRelay,
    settings::SidecarSettings,
    view::{FleetView, NodeRecord, read_table, table_name},
};
use bytes::Bytes;
use compio::time::{sleep, timeout};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body::Incoming};
use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};
use tracing::{info, warn};
use wagtail_core::{
    heartbeat::{HeartbeatReply, TargetHeartbeat},
    objects::StoredObject,
    ports::LocalFuture,
    units::LocalMoment,
};
use wagtail_net::{
    clock,
    server::{HttpHandler, ServerBody, whole_body},
};
use wagtail_shard::{keeper::HeartbeatVerdict, table::RangeTable};

/// The time after a heartbeat's arrival until which the table is read; the target waits for a
/// second.
const TABLE_TIME: Duration = Duration::from_millis(700);

/// The longest time for which an answer waits for keys that another target is about to release.
/// It leaves time to read the table.
const HANDOVER_WAIT: Duration = Duration::from_millis(550);

/// The longest time for which the answer to a heartbeat waits for the first configuration, which
/// says whether the target's service divides its keys. Without it the keys of a target that
/// started together with its node would wait for the next heartbeat.
const CONFIG_WAIT: Duration = Duration::from_millis(400);

/// The largest heartbeat in bytes.
const MAX_BEAT_BYTES: usize = 1 << 20;

/// The writes that are tried for one heartbeat when others write too.
const MAX_WRITES: u32 = 2;

/// The pause after the keys of a target could not be freed.
const FREE_PAUSE: Duration = Duration::from_millis(300);

/// The time between two looks at a silent target.
const LAPSE_LOOK: Duration = Duration::from_millis(100);

/// `HeartbeatHandler` answers the target beside the node.
#[derive(Debug)]
pub struct HeartbeatHandler {
    settings: Rc<SidecarSettings>,
    dialect: Rc<dyn WireDialect>,
    view: FleetView,
    relay: StoreRelay,
    proxy: TargetProxy,
    record: RecordPublisher,
    lapsing: Cell<bool>,
}

impl HeartbeatHandler {
    /// Makes the handler.
    pub fn new(
        settings: Rc<SidecarSettings>,
        dialect: Rc<dyn WireDialect>,
        view: FleetView,
        relay: StoreRelay,
        proxy: TargetProxy,
        record: RecordPublisher,
    ) -> Self {
        Self {
            settings,
            dialect,
            view,
            relay,
            proxy,
            record,
            lapsing: Cell::new(false),
        }
    }

    /// Answers a call of the target.
    async fn answer(&self, request: Request<Incoming>) -> Response<ServerBody> {
        let call = self
            .dialect
            .parse_local_request(request.method(), request.uri().path());

        match call {
            LocalRequest::Heartbeat { target_id } => {
                let arrived = clock::now();
                let body = match read_limited(request.into_body()).await {
                    Ok(body) => body,
                    Err(reason) => return bad(&reason),
                };
                match self.dialect.read_heartbeat(&target_id, &body) {
                    Ok(beat) => Box::pin(self.heartbeat(beat, arrived)).await,
                    Err(error) => {
                        warn!(event = "heartbeat-ignored", target = %target_id, reason = %error);
                        bad(&error.to_string())
                    }
                }
            }
            LocalRequest::Leave { target_id } => {
                self.leave(&target_id);
                self.reply(&HeartbeatReply::default())
            }
            LocalRequest::Metrics | LocalRequest::Unknown => {
                let mut response = Response::new(whole_body(Bytes::new()));
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }

    /// Answers a heartbeat.
    async fn heartbeat(&self, beat: TargetHeartbeat, arrived: LocalMoment) -> Response<ServerBody> {
        if beat.service != self.settings.service {
            warn!(
                event = "heartbeat-ignored", target = %beat.life, service = %beat.service,
                reason = "another service"
            );
            return self.reply(&HeartbeatReply::default());
        }

        let verdict = self
            .proxy
            .with_keeper(|keeper| keeper.accept(&beat, arrived));
        match verdict {
            HeartbeatVerdict::Stale => {
                info!(
                    event = "heartbeat-stale", life = %beat.life, sequence = beat.sequence
                );
                return self.reply(&HeartbeatReply::default());
            }
            HeartbeatVerdict::NewIncarnation => self.proxy.begin_incarnation(&beat),
            HeartbeatVerdict::Current => {}
        }
        self.proxy.record_heartbeat(&beat, arrived);
        self.record.publish(self.own_record());

        self.await_config().await;
        let reply = if self.proxy.is_keyed() {
            Box::pin(self.grant(&beat, arrived)).await
        } else {
            HeartbeatReply::default()
        };
        self.reply(&reply)
    }

    /// Grants the target what the newest proven table names it for, which is one read after the
    /// heartbeat unless the store gives no answer.
    async fn grant(&self, beat: &TargetHeartbeat, arrived: LocalMoment) -> HeartbeatReply {
        self.await_handover(beat).await;

        let known = self
            .view
            .table(&self.settings.service)
            .map_or(0, |versioned| versioned.revision);
        let needed = self
            .proxy
            .with_keeper(|keeper| keeper.needs_read(beat, known, arrived));
        if needed {
            let settling =
                self.settle(|table| self.proxy.with_keeper(|keeper| keeper.settle(beat, table)));
            let rest = (arrived + TABLE_TIME).since(clock::now());
            let settled = timeout(rest, Box::pin(settling))
                .await
                .unwrap_or_else(|_elapsed| Err(Arc::from("the table came too late")));
            if let Err(reason) = settled {
                info!(event = "table-not-read", life = %beat.life, reason = %reason);
            }
        }

        let reply = self
            .proxy
            .with_keeper(|keeper| keeper.reply(beat, arrived, clock::now()));
        if reply.grant.is_none() {
            warn!(event = "grant-withheld", life = %beat.life, sequence = beat.sequence);
        }
        reply
    }

    /// Waits a little for the first configuration.
    async fn await_config(&self) {
        let known = self
            .view
            .until(CONFIG_WAIT, || self.view.hosts().is_some())
            .await;
        if !known {
            warn!(event = "heartbeat-without-config", node = %self.settings.node);
        }
    }

    /// Waits a little while another target is about to release keys to this one.
    async fn await_handover(&self, beat: &TargetHeartbeat) {
        let awaits = |table: &RangeTable| {
            self.proxy
                .with_keeper(|keeper| keeper.awaits_handover(beat, table, clock::now()))
        };
        let settled = || {
            let versioned = self.view.table(&self.settings.service);

            !versioned.is_some_and(|versioned| awaits(&versioned.table))
        };

        self.view.until(HANDOVER_WAIT, settled).await;
    }

    /// Reads the table, and writes what a change makes of it.
    async fn settle(&self, change: impl Fn(&mut RangeTable) -> bool) -> Result<(), Arc<str>> {
        let name: Arc<str> = Arc::from(table_name(&self.settings.service));
        let get = StoreCall::Get {
            name: Arc::clone(&name),
        };

        for _ in 0..MAX_WRITES {
            let asked = clock::now();
            let object = match self.relay.call(&get).await {
                StoreOutcome::Object(object) => object,
                StoreOutcome::Absent => return Ok(()),
                StoreOutcome::NotDone(reason) | StoreOutcome::Unknown(reason) => {
                    return Err(reason);
                }
                StoreOutcome::Written(_) | StoreOutcome::Conflict(_) => {
                    return Err(Arc::from("an unexpected answer"));
                }
            };
            self.view.apply_object(object.clone());
            let mut next = read_table(&object).map_err(Arc::<str>::from)?;
            let unsettled = self.proxy.with_keeper(|keeper| {
                keeper.record_table(next.clone(), object.revision, asked);
                keeper.has_unresolved_writes(object.revision)
            });
            let changed = change(&mut next);
            if !changed && !unsettled {
                return Ok(());
            }
            if changed {
                next.compact();
            } else {
                next.touch();
            }

            // Noted first: this future may be dropped while the write is on its way.
            let expected = object.revision;
            self.proxy
                .with_keeper(|keeper| keeper.begin_write(expected, next.clone()));
            match self.write(&name, expected, &next).await {
                StoreOutcome::Written(revision) => {
                    self.proxy
                        .with_keeper(|keeper| keeper.record_table(next, revision, asked));
                    return Ok(());
                }
                StoreOutcome::Conflict(_) => {}
                StoreOutcome::NotDone(reason) => {
                    self.proxy
                        .with_keeper(|keeper| keeper.discard_write(expected));
                    return Err(reason);
                }
                outcome => {
                    warn!(event = "table-write-uncertain", expected, outcome = ?outcome);
                    return Ok(());
                }
            }
        }

        Err(Arc::from("others changed the table meanwhile"))
    }

    /// Writes the table.
    async fn write(&self, name: &Arc<str>, revision: u64, table: &RangeTable) -> StoreOutcome {
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
        if let StoreOutcome::Written(revision) = outcome {
            self.view.apply_object(StoredObject {
                name: Arc::clone(name),
                revision,
                content,
            });
        }
        outcome
    }

    /// Frees the keys of a target that has ended, or that was silent until its holds lapsed.
    pub async fn watch_target(&self) {
        loop {
            sleep(LAPSE_LOOK).await;
            if !self.proxy.is_keyed() || !self.holds_rows() {
                continue;
            }

            let now = clock::now();
            let lapsed = self.proxy.with_keeper(|keeper| now >= keeper.lapses_at());
            if lapsed || self.proxy.has_ended() {
                let freed = self
                    .settle(|table| {
                        self.proxy.with_keeper(|keeper| {
                            let ended = keeper.free_ended(table);
                            let lapsed = keeper.free_lapsed(table, now);
                            ended || lapsed
                        })
                    })
                    .await;
                match freed {
                    Ok(()) => info!(event = "keys-freed", lapsed, ended = self.proxy.has_ended()),
                    Err(reason) => {
                        if !self.lapsing.replace(true) {
                            warn!(event = "keys-not-freed", reason = %reason);
                        }
                        sleep(FREE_PAUSE).await;
                        continue;
                    }
                }
                self.lapsing.set(false);
                self.record.publish(self.own_record());
            }
        }
    }

    /// Returns whether the known table names this node's target for any key.
    fn holds_rows(&self) -> bool {
        self.view
            .table(&self.settings.service)
            .is_some_and(|versioned| {
                versioned.table.rows.iter().any(|row| {
                    row.holder
                        .as_ref()
                        .is_some_and(|holder| holder.node == self.settings.node)
                })
            })
    }

    /// Takes note that a target is leaving.
    fn leave(&self, target_id: &str) {
        let present = self
            .proxy
            .with_keeper(|keeper| keeper.life().is_some_and(|life| &*life.id == target_id));

        if present {
            self.proxy.leave(clock::now());
            self.record.publish(self.own_record());
        } else {
            info!(event = "leave-ignored", target = target_id);
        }
    }

    /// Returns the record of this node.
    fn own_record(&self) -> NodeRecord {
        own_record(&self.settings, &self.proxy)
    }

    /// Makes the HTTP answer.
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
    fn handle(&self, request: Request<Incoming>) -> LocalFuture<'_, Response<ServerBody>> {
        Box::pin(self.answer(request))
    }
}

/// Reads the body of a call.
async fn read_limited(mut body: Incoming) -> Result<Bytes, String> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(part) = frame.into_data() {
            if whole.len() + part.len() > MAX_BEAT_BYTES {
                return Err("the body is too large".to_owned());
            }
            whole.extend_from_slice(&part);
        }
    }

    Ok(Bytes::from(whole))
}

/// Makes the answer to a call that cannot be read.
fn bad(reason: &str) -> Response<ServerBody> {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = StatusCode::BAD_REQUEST;

    response
}
