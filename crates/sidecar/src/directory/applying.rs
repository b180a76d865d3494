//! Puts what a source has told into the view.

use super::{FollowedKind, PEER_TIMEOUT, StoreFollower};
use crate::messages::{FollowedChanges, PeerRequest, ReplyBody};
use bytes::Bytes;
use compio::time::timeout;
use std::sync::Arc;
use tracing::warn;
use wagtail_core::{
    objects::{ObjectChanges, StoreRevision, StoredObject},
    service::WorkClass,
};

impl StoreFollower {
    /// Applies what a watching node passed on. Returns the revision to continue from.
    pub(super) fn apply_followed(
        &self,
        changes: FollowedChanges,
        revision: StoreRevision,
    ) -> StoreRevision {
        let next = changes.revision.max(revision);

        match self.followed {
            FollowedKind::Config => changes
                .objects
                .iter()
                .for_each(|object| self.apply_config(object)),
            FollowedKind::Fleet => self.options.view.apply_followed(changes),
            FollowedKind::Evacuations if changes.complete => {
                let view = &self.options.view;
                view.apply_evacuations(changes.objects, changes.revision);
            }
            FollowedKind::Evacuations => {}
        }

        next
    }

    /// Applies a complete list of the objects of the kind.
    pub(super) fn apply_list(&self, objects: Vec<StoredObject>, revision: StoreRevision) {
        match self.followed {
            FollowedKind::Config => objects.iter().for_each(|object| self.apply_config(object)),
            FollowedKind::Fleet => self.options.view.apply_list(objects, revision),
            FollowedKind::Evacuations => self.options.view.apply_evacuations(objects, revision),
        }
    }

    /// Applies changes from a watch. A deletion of the configuration is ignored.
    pub(super) fn apply_changes(&self, changes: ObjectChanges) {
        match self.followed {
            FollowedKind::Config => {
                let kept = changes.changes.iter().filter(|change| !change.deleted);
                kept.for_each(|change| self.apply_config(&change.object));
            }
            FollowedKind::Fleet => {
                self.options
                    .view
                    .apply_changes(changes.changes, changes.revision);
            }
            FollowedKind::Evacuations => {
                let view = &self.options.view;
                view.evacuations()
                    .apply_changes(changes.changes, changes.revision);
                view.wake_listeners();
            }
        }
    }

    /// Applies the object if it is the configuration and newer than the one in force.
    pub(super) fn apply_config(&self, object: &StoredObject) {
        let (_, name) = self.options.dialect.config_object();
        if *object.name != *name {
            return;
        }

        match self.options.dialect.read_config(&object.content) {
            Ok(config) => {
                self.options.view.apply_config(object, &config);
            }
            Err(error) => warn!(
                event = "config-ignored", revision = %object.revision, reason = %error
            ),
        }
    }

    /// Applies what another node knows of the kind, if there is such a node.
    pub(super) async fn apply_peer_snapshot(&self, peer: Option<Arc<str>>) {
        let Some(peer) = peer else {
            return;
        };

        let request = PeerRequest::Snapshot {
            kind: Arc::from(self.kind),
        };
        let pending = self
            .options
            .links
            .ask(&peer, &request, WorkClass::Short, Bytes::new());

        if let Ok(Ok(response)) = timeout(PEER_TIMEOUT, pending).await
            && let ReplyBody::Snapshot { revision, objects } = response.head.body
            && revision > StoreRevision::ZERO
        {
            let objects = match objects.unpack() {
                Ok(objects) => objects,
                Err(error) => {
                    warn!(event = "snapshot-ignored", kind = self.kind, node = %peer, reason = %error);
                    return;
                }
            };
            match self.followed {
                FollowedKind::Config => objects.iter().for_each(|object| self.apply_config(object)),
                // The snapshot may be older than what this node knows of some objects.
                FollowedKind::Fleet => objects
                    .into_iter()
                    .for_each(|object| self.options.view.apply_object(object)),
                FollowedKind::Evacuations => {
                    self.options.view.apply_evacuations(objects, revision);
                }
            }
        }
    }
}
