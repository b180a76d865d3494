//! The announcements to the daemon beside the target.

use crate::{options::TargetOptions, state::TargetState};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use standin_net::{NetError, Result, client::ClientConnection};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

/// The time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two attempts while the daemon does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The longest wait for the daemon's answer.
const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// `TargetAnnouncement` is what a target tells the daemon beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// The name of the service.
    pub service: Arc<str>,
    /// The address for orders.
    pub address: SocketAddr,
    /// The orders that run at a time.
    pub slots: u32,
    /// Whether an order of a keyed service needs a grant.
    pub fenced: bool,
    /// Whether the target wants to leave.
    pub draining: bool,
    /// The start of the target in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// `TargetAnnouncer` announces the target for as long as the process lives.
#[derive(Debug)]
pub struct TargetAnnouncer {
    /// The settings of the target.
    options: TargetOptions,
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
}

impl TargetAnnouncer {
    /// Makes an announcer.
    pub fn new(options: TargetOptions, state: Rc<RefCell<TargetState>>) -> Self {
        Self { options, state }
    }

    /// Announces the target to a daemon every second.
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

    /// Announces the target once, on a connection that is kept when it is given back open.
    ///
    /// # Errors
    ///
    /// Fails when the daemon does not accept the announcement.
    pub async fn announce(
        &self,
        daemon: SocketAddr,
        kept: &mut Option<ClientConnection>,
    ) -> Result<()> {
        let mut connection = match kept.take().filter(ClientConnection::is_open) {
            Some(connection) => connection,
            None => ClientConnection::connect(daemon, ANSWER_WAIT).await?,
        };

        let answer = connection.send(self.request()?, ANSWER_WAIT).await?;
        if answer.status != StatusCode::OK {
            let reason = format!("the daemon answered with status {}", answer.status);
            return Err(NetError::malformed(reason));
        }
        *kept = Some(connection);

        Ok(())
    }

    /// Builds the announcement of the current state.
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
