//! Reads of the assignment tables, shared with the nodes of the zone.

use crate::{
    links::NodeLinks,
    messages::{PeerRequest, ReplyBody, SharedRead, SharedTable, StoreCall, StoreOutcome},
    relay::StoreRelay,
    settings::SidecarSettings,
    versioned_table::table_name,
    view::FleetView,
};
use bytes::Bytes;
use compio::time::timeout;
use event_listener::Event;
use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tracing::{info, warn};
use wagtail_core::{
    objects::{StoreRevision, StoredObject},
    service::WorkClass,
    units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_peer::packed::PackedValue;
use wagtail_shard::reads::{ReadDemand, ReadLedger, ReadStep, ReaderChoice, shared_read_sent_at};

/// The greatest age of a read that a node takes over. With it, a table is read again at every second
/// heartbeat, as without sharing.
const MAX_SHARED_AGE: Duration = Duration::from_millis(700);

/// The time within which the reader of the zone must reply. The rest of the time that a heartbeat leaves is
/// for a read of the node's own.
const READER_TIMEOUT: Duration = Duration::from_millis(250);

/// `TableRead` is a table as the store held it at some moment after `sent_at`, or the reason why there
/// is none.
#[derive(Debug)]
pub struct TableRead {
    /// The moment, by the clock of this node, at which the read was sent at the earliest.
    pub sent_at: LocalMoment,
    /// What the store returned.
    pub outcome: StoreOutcome,
}

/// `TableReader` reads the assignment tables, directly or through the reader of the zone. Clones share
/// their state.
#[derive(Debug, Clone)]
pub struct TableReader {
    settings: Rc<SidecarSettings>,
    view: FleetView,
    links: NodeLinks,
    relay: StoreRelay,
    choice: Rc<RefCell<ReaderChoice>>,
    tables: Rc<RefCell<HashMap<Arc<str>, KnownTable>>>,
    finished: Rc<Event>,
}

/// `KnownTable` is the last read of one table.
#[derive(Debug, Default)]
struct KnownTable {
    ledger: ReadLedger,
    /// What the store held at that read; `None` if it held no table.
    object: Option<StoredObject>,
}

impl KnownTable {
    /// Records the outcome of the read that was sent at `sent_at`.
    fn finish(&mut self, sent_at: LocalMoment, outcome: StoreOutcome) {
        let object = match outcome {
            StoreOutcome::Object(object) => Some(object),
            StoreOutcome::Absent => None,
            _ => {
                self.ledger.finish(sent_at, None);
                return;
            }
        };
        let revision = object
            .as_ref()
            .map_or(StoreRevision::ZERO, |object| object.revision);
        self.ledger.finish(sent_at, Some(revision));

        if self.ledger.last().map(|(last, _)| last) == Some(sent_at) {
            self.object = object;
        }
    }

    /// Returns the last read.
    fn last_read(&self) -> Option<TableRead> {
        let (sent_at, _) = self.ledger.last()?;
        let outcome = self
            .object
            .clone()
            .map_or(StoreOutcome::Absent, StoreOutcome::Object);

        Some(TableRead { sent_at, outcome })
    }
}

impl TableReader {
    /// Creates a reader that has read nothing.
    pub fn new(
        settings: Rc<SidecarSettings>,
        view: FleetView,
        links: NodeLinks,
        relay: StoreRelay,
    ) -> Self {
        Self {
            settings,
            view,
            links,
            relay,
            choice: Rc::default(),
            tables: Rc::default(),
            finished: Rc::default(),
        }
    }

    /// Reads the table of a service at the store.
    pub async fn read_directly(&self, service: &Arc<str>) -> TableRead {
        let sent_at = clock::now();
        let get = StoreCall::Get {
            name: Arc::from(table_name(service)),
        };

        TableRead {
            sent_at,
            outcome: self.relay.call(&get).await,
        }
    }

    /// Returns a recent read of the table of a service: that of the reader of the zone, or one of this
    /// node's own if the reader does not reply in time.
    pub async fn read(&self, service: &Arc<str>) -> TableRead {
        let reader = self.zone_reader();
        let demand = ReadDemand {
            max_age: MAX_SHARED_AGE,
            at_least: self.known_revision(service),
        };

        let shared = match reader {
            None => return self.read_directly(service).await,
            Some(reader) if reader == self.settings.node => {
                self.read_for_zone(service, demand).await
            }
            Some(reader) => self.ask_reader(&reader, service, demand).await,
        };
        match shared {
            Some(read) => read,
            None => self.read_directly(service).await,
        }
    }

    /// Returns the reply to a node of the zone that asks for a read of a table, or `None` if this node
    /// cannot read it. The object is left out if the other node knows its revision.
    pub async fn share(
        &self,
        service: &Arc<str>,
        at_least: StoreRevision,
        max_age: Duration,
    ) -> Option<SharedRead> {
        let demand = ReadDemand { max_age, at_least };
        let read = self.read_for_zone(service, demand).await?;
        let table = match read.outcome {
            StoreOutcome::Object(object) if object.revision == at_least => SharedTable::Known,
            StoreOutcome::Object(object) => match PackedValue::new(&object) {
                Ok(packed) => SharedTable::Changed(packed),
                Err(error) => {
                    warn!(event = "table-not-packed", service = %service, reason = %error);
                    return None;
                }
            },
            _ => SharedTable::Absent,
        };

        Some(SharedRead {
            age_us: u64::try_from(clock::now().since(read.sent_at).as_micros()).unwrap_or(u64::MAX),
            table,
        })
    }

    /// Returns the last read of a table if it meets the demand, or reads the table again. Returns `None`
    /// if the store does not respond.
    async fn read_for_zone(&self, service: &Arc<str>, demand: ReadDemand) -> Option<TableRead> {
        let mut has_read = false;

        loop {
            let finished = self.finished.listen();
            let now = clock::now();
            let step = self.with_table(service, |table| table.ledger.step(demand, now));
            match step {
                ReadStep::Use => return self.with_table(service, |table| table.last_read()),
                ReadStep::Wait => {}
                ReadStep::Read if has_read => return None,
                ReadStep::Read => {
                    has_read = true;
                    self.spawn_read(service);
                }
            }
            finished.await;
        }
    }

    /// Reads a table in a task of its own, as others may wait for the result when the one that asked for
    /// it has given up.
    fn spawn_read(&self, service: &Arc<str>) {
        let (reader, service) = (self.clone(), Arc::clone(service));
        let sent_at = clock::now();
        reader.with_table(&service, |table| table.ledger.begin(sent_at));

        compio::runtime::spawn(async move {
            let read = reader.read_directly(&service).await;
            reader.with_table(&service, |table| table.finish(sent_at, read.outcome));
            reader.finished.notify(usize::MAX);
        })
        .detach();
    }

    /// Asks the reader of the zone. Returns `None` if it does not reply with a usable read.
    async fn ask_reader(
        &self,
        reader: &Arc<str>,
        service: &Arc<str>,
        demand: ReadDemand,
    ) -> Option<TableRead> {
        let request = PeerRequest::Table {
            service: Arc::clone(service),
            at_least: demand.at_least,
            max_age_ms: u32::try_from(demand.max_age.as_millis()).unwrap_or(u32::MAX),
        };
        let asked_at = clock::now();
        let asked = self
            .links
            .ask(reader, &request, WorkClass::Short, Bytes::new());

        let reason = match timeout(READER_TIMEOUT, asked).await {
            Ok(Ok(response)) => match response.head.body {
                ReplyBody::Table(Some(shared)) => {
                    let age = Duration::from_micros(shared.age_us);
                    match self.shared_outcome(service, demand.at_least, &shared.table) {
                        Ok(outcome) => {
                            return Some(TableRead {
                                sent_at: shared_read_sent_at(asked_at, age),
                                outcome,
                            });
                        }
                        Err(reason) => reason,
                    }
                }
                _ => "it has not read the table".to_owned(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_elapsed) => "timeout".to_owned(),
        };
        info!(event = "reader-avoided", node = %reader, service = %service, reason = %reason);
        self.choice.borrow_mut().avoid(reader, clock::now());
        None
    }

    /// Returns the outcome of a shared read, with the object in the reply or the one that this node knows.
    ///
    /// # Errors
    ///
    /// Returns the reason if the reply cannot be unpacked, or if this node knows a later table by now.
    fn shared_outcome(
        &self,
        service: &Arc<str>,
        known: StoreRevision,
        table: &SharedTable,
    ) -> std::result::Result<StoreOutcome, String> {
        match table {
            SharedTable::Changed(packed) => packed
                .unpack()
                .map(StoreOutcome::Object)
                .map_err(|error| error.to_string()),
            SharedTable::Known => self
                .view
                .object(&table_name(service))
                .filter(|object| object.revision == known)
                .map(StoreOutcome::Object)
                .ok_or_else(|| "the table has changed meanwhile".to_owned()),
            SharedTable::Absent => Ok(StoreOutcome::Absent),
        }
    }

    /// Returns the node that reads the tables for this zone, or `None` if its nodes read for themselves.
    fn zone_reader(&self) -> Option<Arc<str>> {
        let zone_nodes: BTreeSet<Arc<str>> = self
            .view
            .nodes()
            .iter()
            .filter(|record| record.ready && record.zone == self.settings.zone)
            .map(|record| Arc::clone(&record.node))
            .collect();
        let mut choice = self.choice.borrow_mut();

        choice.reader(&zone_nodes, clock::now()).cloned()
    }

    /// Returns the revision of the table that this node knows.
    fn known_revision(&self, service: &str) -> StoreRevision {
        self.view
            .table(service)
            .map_or(StoreRevision::ZERO, |versioned| versioned.revision)
    }

    /// Calls a function with what is known of a table.
    fn with_table<T>(&self, service: &Arc<str>, use_table: impl FnOnce(&mut KnownTable) -> T) -> T {
        let mut tables = self.tables.borrow_mut();

        use_table(tables.entry(Arc::clone(service)).or_default())
    }
}
