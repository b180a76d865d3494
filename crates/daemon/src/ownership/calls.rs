//! The platform calls of the ownership task.

use crate::{
    fleet::LEASE_PREFIX,
    ownership::command::{OwnershipCommand, OwnershipHandle},
};
use compio::time::sleep;
use std::{rc::Rc, time::Duration};
use tracing::warn;
use wagtail_core::{
    CoreError, Result,
    ids::ServiceName,
    lease::LeaseRecord,
    ports::{PlatformStore, StoredValue},
    slice::SliceId,
    verdict::RunVerdict,
};
use wagtail_lease::{VersionedRecord, WriteOutcome};

/// The delay between a failed listing of a service's records and the report of the failure, upon
/// which the task lists them again.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);

/// `RecordCalls` reads and writes lease records in spawned tasks, which send the outcomes back to
/// the ownership task as commands.
#[derive(Debug)]
pub struct RecordCalls {
    store: Rc<dyn PlatformStore>,
    handle: OwnershipHandle,
}

impl RecordCalls {
    /// Creates the calls of the task that `handle` sends commands to.
    pub fn new(store: Rc<dyn PlatformStore>, handle: OwnershipHandle) -> Self {
        Self { store, handle }
    }

    /// Lists the records of a service; a failure is reported after a delay.
    pub fn list(&self, service: ServiceName) {
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();

        let call = async move {
            let prefix = format!("{LEASE_PREFIX}{service}/");

            match store.list(&prefix).await {
                Ok(batch) => {
                    handle.tell(OwnershipCommand::Listed {
                        service,
                        records: batch.changed,
                    });
                }
                Err(error) => {
                    warn!(event = "platform-failed", call = "list-leases", %error);
                    sleep(LIST_RETRY_DELAY).await;
                    handle.tell(OwnershipCommand::ListFailed { service });
                }
            }
        };
        compio::runtime::spawn(call).detach();
    }

    /// Reads the record of a slice; `read_id` is returned with the outcome.
    pub fn read(&self, slice: SliceId, read_id: u64) {
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();

        let call = async move {
            let outcome = store.get(&record_key(&slice)).await;
            handle.tell(OwnershipCommand::Read {
                slice,
                read_id,
                outcome,
            });
        };
        compio::runtime::spawn(call).detach();
    }

    /// Writes a record if its stored version is still `expected`.
    pub fn write(&self, record: LeaseRecord, expected: u64) {
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();

        let call = async move {
            let outcome = write_record(&*store, &record, expected).await;
            if let Err(error) = &outcome {
                let slice = &record.slice;
                warn!(event = "platform-failed", call = "write-lease", %slice, %error);
            }

            let outcome = write_outcome(&outcome);
            handle.tell(OwnershipCommand::Written {
                write_id: record.write_id,
                outcome,
            });
        };
        compio::runtime::spawn(call).detach();
    }
}

/// Returns the platform key of a slice's lease record.
pub fn record_key(slice: &SliceId) -> String {
    format!("{LEASE_PREFIX}{slice}")
}

/// Parses a stored lease record; `None` if it is not valid JSON of a record.
pub fn parse_record(stored: &StoredValue) -> Option<VersionedRecord> {
    let record = serde_json::from_str(&stored.value).ok()?;

    Some(VersionedRecord {
        version: stored.version,
        record,
    })
}

/// Writes a record as JSON and returns its new version.
async fn write_record(
    store: &dyn PlatformStore,
    record: &LeaseRecord,
    expected: u64,
) -> Result<u64> {
    let value =
        serde_json::to_string(record).map_err(|error| CoreError::malformed(error.to_string()))?;

    store
        .update(&record_key(&record.slice), &value, expected)
        .await
}

/// Converts the result of a write into the outcome that the lease machine distinguishes.
fn write_outcome(outcome: &Result<u64>) -> WriteOutcome {
    match outcome {
        Ok(version) => WriteOutcome::Written { version: *version },
        Err(CoreError::VersionConflict { .. }) => WriteOutcome::Conflict { stored: None },
        Err(error) if error.verdict() == RunVerdict::NotRun => WriteOutcome::Refused,
        Err(_) => WriteOutcome::Unknown,
    }
}
