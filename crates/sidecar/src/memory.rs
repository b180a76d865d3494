//! Reserves the memory for bodies before they are read.

use bytes::{Bytes, BytesMut};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use wagtail_gate::memory::{MemoryBudget, MemoryOptions};
use wagtail_net::clock;
use wagtail_peer::body::BodyBuffer;

/// The reason code of a refusal because a body does not fit into the memory for bodies.
pub const MEMORY_FULL: &str = "memory-full";

/// `Result` is the result of a reservation; the error is the time after which it is expected to fit.
pub type Result<T, E = Duration> = std::result::Result<T, E>;

/// `NodeMemory` is the memory of this process that bodies may take. Clones share the budget.
///
/// The budget stands behind a lock because reservations are part of the bytes of a body, which must be
/// `Send`. All users are on one thread, so nobody waits for it.
#[derive(Debug, Clone, Default)]
pub struct NodeMemory {
    /// The budget, or `None` without a limit.
    budget: Option<Arc<Mutex<MemoryBudget>>>,
}

impl NodeMemory {
    /// Creates the budget of a process that may use `memory` bytes. With `None`, everything fits.
    pub fn new(memory: Option<u64>) -> Self {
        let budget = memory.map(|memory| MemoryBudget::new(MemoryOptions::default(), Some(memory)));

        Self {
            budget: budget.map(|budget| Arc::new(Mutex::new(budget))),
        }
    }

    /// Reserves bytes until the reservation is dropped.
    ///
    /// # Errors
    ///
    /// Returns the time after which they are expected to fit if they do not now.
    pub fn reserve(&self, bytes: u64) -> Result<BodyReservation> {
        let mut reservation = BodyReservation {
            memory: self.clone(),
            bytes: 0,
            is_spare: false,
        };
        reservation.grow(bytes)?;

        Ok(reservation)
    }

    /// Returns a buffer for the body of a request, with a reservation for its length, or for a first part of it if
    /// it states none.
    ///
    /// # Errors
    ///
    /// Returns the time after which it is expected to fit if it does not now.
    pub fn buffer(&self, length: Option<u64>) -> Result<ReservedBuffer> {
        self.reserved_buffer(length, false)
    }

    /// Returns a buffer for the body of a response, or `None` if it is to be streamed instead, so that room is left
    /// for requests.
    pub fn spare_buffer(&self, length: Option<u64>) -> Option<ReservedBuffer> {
        self.reserved_buffer(length, true).ok()
    }

    /// Returns a buffer, which grows only within the spare room if `is_spare` says so.
    fn reserved_buffer(&self, length: Option<u64>, is_spare: bool) -> Result<ReservedBuffer> {
        if self.budget.is_none() {
            return Ok(ReservedBuffer::default());
        }
        let length = length.unwrap_or(MemoryOptions::default().small_bytes);
        let mut reservation = BodyReservation {
            memory: self.clone(),
            bytes: 0,
            is_spare,
        };
        reservation.grow(length)?;

        Ok(ReservedBuffer {
            bytes: BytesMut::with_capacity(usize::try_from(length).unwrap_or_default()),
            reservation: Some(reservation),
        })
    }

    /// Returns the bytes that are reserved; 0 without a limit.
    pub fn held(&self) -> u64 {
        self.locked().map_or(0, |budget| budget.held())
    }

    /// Returns the number of reservations that were refused since the start.
    pub fn refusals(&self) -> u64 {
        self.locked().map_or(0, |budget| budget.refusals())
    }

    /// Returns the budget, or `None` without a limit.
    fn locked(&self) -> Option<MutexGuard<'_, MemoryBudget>> {
        let budget = self.budget.as_ref()?;

        // The budget stays consistent if a holder panics, as each change is a sum.
        Some(budget.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// `BodyReservation` keeps bytes reserved until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: NodeMemory,
    bytes: u64,
    /// Whether it grows only within the spare room.
    is_spare: bool,
}

impl BodyReservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds `more` bytes.
    ///
    /// # Errors
    ///
    /// Returns the time after which they are expected to fit if they do not now.
    pub fn grow(&mut self, more: u64) -> Result<()> {
        if let Some(mut budget) = self.memory.locked() {
            if self.is_spare && !budget.has_spare_room(self.bytes, more) {
                return Err(MemoryOptions::default().max_retry_after);
            }
            budget.grow(self.bytes, more, clock::now())?;
        }

        self.bytes += more;
        Ok(())
    }

    /// Reduces the reservation to `bytes`, if it is larger.
    pub fn shrink(&mut self, bytes: u64) {
        if bytes >= self.bytes {
            return;
        }
        if let Some(mut budget) = self.memory.locked() {
            budget.shrink(self.bytes, bytes);
        }

        self.bytes = bytes;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        if let Some(mut budget) = self.memory.locked() {
            budget.release(self.bytes, clock::now());
        }
    }
}

/// `ReservedBuffer` collects a body within a reservation. The bytes of the body keep the reservation until
/// the last clone of them is dropped, wherever it is.
#[derive(Debug, Default)]
pub struct ReservedBuffer {
    bytes: BytesMut,
    /// The reservation, or `None` without a limit.
    reservation: Option<BodyReservation>,
}

impl ReservedBuffer {
    /// Returns the number of bytes that were collected.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing was collected.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether `more` bytes fit. Reserves them if necessary, and more in advance, so that a long body is
    /// not moved in memory often.
    ///
    /// # Errors
    ///
    /// Returns the time after which they are expected to fit if they do not now.
    pub fn make_room(&mut self, more: usize) -> Result<()> {
        let Some(reservation) = &mut self.reservation else {
            return Ok(());
        };
        let needed = u64::try_from(self.bytes.len() + more).unwrap_or(u64::MAX);
        let reserved = reservation.bytes();
        if needed <= reserved {
            return Ok(());
        }

        let size = needed.max(reserved.saturating_mul(2));
        reservation.grow(size - reserved)?;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        self.bytes.reserve(size - self.bytes.len());
        Ok(())
    }

    /// Appends bytes that are in memory already and have to be kept, without a reservation for them.
    pub fn append_unreserved(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
    }

    /// Returns the bytes that were collected, with their reservation.
    pub fn into_bytes(self) -> Bytes {
        let bytes = self.bytes.freeze();
        match self.reservation {
            Some(mut reservation) if !bytes.is_empty() => {
                reservation.shrink(u64::try_from(bytes.len()).unwrap_or(u64::MAX));
                Bytes::from_owner(ReservedBytes {
                    bytes,
                    _reservation: reservation,
                })
            }
            _ => bytes,
        }
    }
}

impl BodyBuffer for ReservedBuffer {
    fn append(&mut self, chunk: &[u8]) -> Result<()> {
        self.make_room(chunk.len())?;
        self.bytes.extend_from_slice(chunk);

        Ok(())
    }

    fn finish(self: Box<Self>) -> Bytes {
        self.into_bytes()
    }
}

/// `ReservedBytes` is a body in memory with its reservation.
#[derive(Debug)]
struct ReservedBytes {
    bytes: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
