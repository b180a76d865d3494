//! Probes of nodes that could not be reached.

use super::RequestForwarder;
use crate::messages::PeerRequest;
use bytes::Bytes;
use compio::time::{sleep, timeout};
use std::{rc::Rc, sync::Arc, time::Duration};
use wagtail_core::service::WorkClass;

/// The time before the first probe of an unreachable node; it grows by a quarter per probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// The maximum time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The time within which a probed node must respond.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum number of probes in a row. After them, only the node's next start or the next
/// request shows whether it is reachable.
const MAX_PROBES: u32 = 40;

impl RequestForwarder {
    /// Probes an unreachable node until it responds, unless it is being probed already. The node
    /// gets requests again as soon as it responds, so no request has to be risked as a probe.
    pub(super) fn probe(&self, node: &Arc<str>) {
        if !self.probing.borrow_mut().insert(Arc::clone(node)) {
            return;
        }
        let (picker, probing) = (Rc::clone(&self.picker), Rc::clone(&self.probing));
        let (links, node) = (self.links.clone(), Arc::clone(node));
        let hello = PeerRequest::Hello {
            node: Arc::clone(&self.settings.node),
        };

        compio::runtime::spawn(async move {
            let mut pause = MIN_PROBE_INTERVAL;
            for _ in 0..MAX_PROBES {
                sleep(pause).await;
                pause = (pause * 5 / 4).min(MAX_PROBE_INTERVAL);
                let asked = links.ask(&node, &hello, WorkClass::Short, Bytes::new());
                if matches!(timeout(PROBE_TIMEOUT, asked).await, Ok(Ok(_))) {
                    picker.borrow_mut().forget(&node);
                    tracing::info!(event = "node-reachable", node = %node);
                    break;
                }
            }
            probing.borrow_mut().remove(&node);
        })
        .detach();
    }
}
