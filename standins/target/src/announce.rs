//! The announcements to the daemon of the target.

use crate::{options::TargetOptions, state::TargetState};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use standin_net::{NetError, Result, client::ClientConnection};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

/// The interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two attempts while an announcement fails.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The longest wait for a connection to the daemon, and for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// `TargetAnnouncement` is the JSON content that registers a target with its daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// The name of the service.
    pub service: Arc<str>,
    /// The address that receives requests.
    pub address: SocketAddr,
    /// The number of requests that run concurrently.
    pub slots: u32,
    /// Whether a request with a key needs a grant.
    pub fenced: bool,
    /// Whether the target is draining.
    pub draining: bool,
    /// The start time of the target in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// `TargetAnnouncer` announces the target while the process runs.
#[derive(Debug)]
pub struct TargetAnnouncer {
    /// The options of the target.
    options: TargetOptions,
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
}

impl TargetAnnouncer {
    /// Creates an announcer of a target.
    pub fn new(options: TargetOptions, state: Rc<RefCell<TargetState>>) -> Self {
        Self { options, state }
    }

    /// Announces the target to a daemon every second, and sooner after a failure.
    pub async fn run(&self, daemon: SocketAddr) {
        let mut connection = None;

        loop {
            let announced = self.announce(daemon, &mut connection).await;
            let pause = if announced.is_ok() {
                ANNOUNCE_INTERVAL
            } else {
                connection = None;
                RETRY_INTERVAL
            };
            compio::time::sleep(pause).await;
        }
    }

    /// Announces the target once. The connection in `kept` is reused while it is open; after a
    /// success, `kept` holds the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or the status of the response is not 200.
    pub async fn announce(
        &self,
        daemon: SocketAddr,
        kept: &mut Option<ClientConnection>,
    ) -> Result<()> {
        let mut connection = match kept.take().filter(ClientConnection::is_open) {
            Some(connection) => connection,
            None => ClientConnection::connect(daemon, RESPONSE_TIMEOUT).await?,
        };

        let response = connection.send(self.request()?, RESPONSE_TIMEOUT).await?;
        if response.status != StatusCode::OK {
            let reason = format!(
                "the daemon answered with status {}, expected 200",
                response.status
            );
            return Err(NetError::malformed(reason));
        }
        *kept = Some(connection);

        Ok(())
    }

    /// Builds the request that announces the current state.
    fn request(&self) -> Result<Request<Full<Bytes>>> {
        let state = self.state.borrow();
        let announcement = TargetAnnouncement {
            service: Arc::clone(&self.options.service),
            address: self.options.listen,
            slots: self.options.slots,
            fenced: self.options.fenced,
            draining: state.draining,
            started_ms: state.started_ms,
        };
        let content = serde_json::to_vec(&announcement).unwrap_or_default();

        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/announce")
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(content)))?;

        Ok(request)
    }
}
