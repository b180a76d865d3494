//! The requests planned from a seed.

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, sync::Arc};
use wagtail_core::{service::WorkClass, slice::KeyHash};

/// The probability that a request is long.
const LONG_SHARE: f64 = 0.04;

/// The probability that a short request is not idempotent.
const CREATE_SHARE: f64 = 0.4;

/// The probability that a keyed request uses the hot key.
const HOT_SHARE: f64 = 0.05;

/// The size in bytes of the response body to a probe.
const PROBE_BYTES: usize = 512;

/// The tenants that share the services.
const TENANTS: [&str; 3] = ["malla", "suturo", "default"];

/// `PlannedService` is a service that requests are sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedService {
    /// The name of the service.
    pub name: Arc<str>,
    /// The number of slices of a keyed service; zero for a service without keys.
    pub slices: u32,
}

/// `RequestKind` is one of the operations that each service declares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// `GET /items`: idempotent and short.
    List,
    /// `POST /items`: not idempotent and short.
    Create,
    /// `GET /files`: idempotent and long.
    Download,
}

impl RequestKind {
    /// Returns the HTTP method.
    pub const fn method(self) -> &'static str {
        match self {
            Self::List | Self::Download => "GET",
            Self::Create => "POST",
        }
    }

    /// Returns the path below the service.
    pub const fn path(self) -> &'static str {
        match self {
            Self::List | Self::Create => "/items",
            Self::Download => "/files",
        }
    }

    /// Returns whether a repeated execution has no further effect.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Create)
    }

    /// Returns the work class of the operation.
    pub const fn class(self) -> WorkClass {
        match self {
            Self::List | Self::Create => WorkClass::Short,
            Self::Download => WorkClass::Long,
        }
    }

    /// Returns the deadline in milliseconds after the request is sent.
    pub const fn deadline_ms(self) -> u64 {
        match self.class() {
            WorkClass::Short => 5_000,
            WorkClass::Long => 10_000,
        }
    }
}

/// `PlannedRequest` is one request before it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// The identifier in the records; each attempt is sent under an identifier of its own.
    pub id: Arc<str>,
    /// The service that the request is sent to.
    pub service: PlannedService,
    /// The key; absent for a service without keys.
    pub key: Option<Arc<str>>,
    /// The tenant that sends the request.
    pub tenant: &'static str,
    /// The operation to call, which determines the method, path, deadline and work class.
    pub kind: RequestKind,
    /// The time in milliseconds that the target works on the request.
    pub work_ms: u64,
    /// The size of the response body in bytes.
    pub response_bytes: usize,
}

/// `RequestPlanner` generates the requests of one caller, the same ones for the same seed.
#[derive(Debug)]
pub struct RequestPlanner {
    /// The prefix of the identifiers.
    prefix: Arc<str>,
    /// The services to choose from.
    services: Vec<PlannedService>,
    /// The number of keys of a keyed service.
    keys: u32,
    /// The random number generator.
    random: ChaCha8Rng,
    /// The number of requests planned so far.
    planned: u64,
}

impl RequestPlanner {
    /// Creates the planner of a caller, which draws from the random number stream `caller`.
    pub fn new(seed: u64, caller: u64, services: Vec<PlannedService>, keys: u32) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(caller);

        Self {
            prefix: Arc::from(format!("{seed}-{caller}")),
            services,
            keys,
            random,
            planned: 0,
        }
    }

    /// Plans the next request.
    ///
    /// # Panics
    ///
    /// Panics when there is no service.
    pub fn next_request(&mut self) -> PlannedRequest {
        self.planned += 1;
        let service = self
            .services
            .choose(&mut self.random)
            .expect("the planner has a service to call")
            .clone();
        let kind = self.choose_kind();
        let (work_ms, response_bytes) = match kind.class() {
            WorkClass::Short => (
                self.random.random_range(1..=5),
                self.random.random_range(200..=2_000),
            ),
            WorkClass::Long => (
                self.random.random_range(150..=300),
                self.random.random_range(100_000..=300_000),
            ),
        };

        PlannedRequest {
            id: Arc::from(format!("{}-{}", self.prefix, self.planned)),
            key: self.choose_key(&service),
            service,
            tenant: TENANTS
                .choose(&mut self.random)
                .copied()
                .unwrap_or("default"),
            kind,
            work_ms,
            response_bytes,
        }
    }

    /// Returns a random number below `count`.
    pub fn choose_below(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    /// Chooses a random operation.
    fn choose_kind(&mut self) -> RequestKind {
        if self.random.random_bool(LONG_SHARE) {
            RequestKind::Download
        } else if self.random.random_bool(CREATE_SHARE) {
            RequestKind::Create
        } else {
            RequestKind::List
        }
    }

    /// Chooses a random key for a keyed service, the hot key more often. The key includes the name
    /// of the service, so that the audit never mixes up the keys of two services.
    fn choose_key(&mut self, service: &PlannedService) -> Option<Arc<str>> {
        if service.slices == 0 {
            return None;
        }

        let ordinal = if self.random.random_bool(HOT_SHARE) {
            0
        } else {
            self.random.random_range(0..self.keys)
        };

        Some(Arc::from(format!("{}-{ordinal}", service.name)))
    }
}

/// Plans the probes that show whether a service is ready: one for each slice of a keyed service, a
/// single one for any other.
pub fn plan_probes(service: &PlannedService) -> Vec<PlannedRequest> {
    if service.slices == 0 {
        return vec![plan_probe(service, None)];
    }

    let mut keys = BTreeMap::new();
    for ordinal in 0.. {
        let key = format!("{}-probe-{ordinal}", service.name);
        let slice = KeyHash::new(key.as_bytes()).slice_index(service.slices);
        keys.entry(slice).or_insert(key);

        // The loop ends, as the hashes of the keys spread over all slices.
        if keys.len() == service.slices as usize {
            break;
        }
    }

    keys.into_values()
        .map(|key| plan_probe(service, Some(Arc::from(key))))
        .collect()
}

/// Plans one probe.
fn plan_probe(service: &PlannedService, key: Option<Arc<str>>) -> PlannedRequest {
    let name = key.as_ref().unwrap_or(&service.name);

    PlannedRequest {
        id: Arc::from(format!("probe-{name}")),
        service: service.clone(),
        key,
        tenant: "default",
        kind: RequestKind::List,
        work_ms: 0,
        response_bytes: PROBE_BYTES,
    }
}
