//! Connects gossip and peer calls with the state of the instance.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;

use log::error;
use log::info;

use crate::forwarding;
use crate::gossip::GossipEvents;
use crate::grants;
use crate::node::Node;
use crate::peer::Replies;
use crate::status;
use arbutus_config::committed::CommittedConfig;
use arbutus_coord::document::Document;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::membership::Member;
use arbutus_wire::datagram::DatagramBody;
use arbutus_wire::frame::FrameError;
use arbutus_wire::peer::PeerCall;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;
use arbutus_wire::platform::InstanceList;

/// Hands news from other instances to the state of the instance.
pub struct NodeEvents {
    node: Arc<Node>,
}

impl NodeEvents {
    /// Creates a receiver of news for an instance.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn apply_configuration(&self, content: &[u8]) {
        let committed = match CommittedConfig::from_json(content) {
            Ok(committed) => committed,
            Err(error) => {
                self.node.metrics.count("configuration_malformed");
                error!(error:% = error; "configuration cannot be read");
                return;
            }
        };
        match committed.deployment(&self.node.settings.site) {
            Ok(deployment) => {
                self.node.activate(committed.generation, deployment);
            }
            Err(faults) => {
                self.node.metrics.count("configuration_invalid");
                error!(generation = committed.generation, faults:% = faults; "configuration is invalid here");
            }
        }
    }

    fn apply_list(&self, content: &[u8]) {
        match serde_json::from_slice::<InstanceList>(content) {
            Ok(list) => self.node.update_directory(&list),
            Err(_error) => self.node.metrics.count("instance_list_malformed"),
        }
    }
}

impl GossipEvents for NodeEvents {
    fn member_changed(&self, member: &Member) {
        info!(member = member.name.as_str(), state:% = member.state; "member changed");
    }

    fn document_changed(&self, document: &Document) {
        match document.kind {
            DocumentKind::Configuration => self.apply_configuration(&document.content),
            DocumentKind::TargetList { .. } => self.apply_list(&document.content),
        }
    }

    fn drains_changed(&self, entries: &[DrainEntry]) {
        for entry in entries {
            info!(subject:? = entry.subject, drained = entry.drained, revision = entry.revision; "drain changed");
        }
    }

    fn self_suspect(&self, suspect: bool) {
        info!(suspect; "own liveness in doubt changed");
    }

    fn superseded(&self, boot_id: u64) {
        // The later process holds this instance's name and addresses; serving on would split both.
        error!(boot_id; "a later process with this name exists, shutting down");
        self.node.terminate.raise();
    }

    fn datagram(&self, _from: SocketAddr, sender: &str, body: DatagramBody) {
        match body {
            DatagramBody::GrantRequest(requests) => {
                grants::on_requests(&self.node, sender, &requests);
            }
            DatagramBody::GrantReply(replies) => grants::on_replies(&self.node, &replies),
            DatagramBody::Quarantine(entries) => {
                let now = self.node.now();
                let mut quarantine = self
                    .node
                    .quarantine
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                for entry in &entries {
                    quarantine.merge(now, entry);
                }
            }
            DatagramBody::LimitDemand(demands) => {
                let shares = self
                    .node
                    .limits
                    .allocate_shares(self.node.now(), sender, &demands);
                self.node.send(sender, DatagramBody::LimitShare(shares));
            }
            DatagramBody::LimitShare(shares) => self.node.limits.set_shares(shares),
            // Membership messages are handled by the state machine itself.
            DatagramBody::Membership(_) => {}
        }
    }

    fn call(&self, call: PeerCall, replies: &mut Replies<'_>) -> Result<(), FrameError> {
        match call.request {
            PeerRequest::StageCall(stage_call) => {
                forwarding::serve_forwarded_stage(&self.node, &call.sender, &stage_call, replies)
            }
            PeerRequest::Status => {
                replies.send(&PeerReply::Status(status::instance_status(&self.node)))
            }
            PeerRequest::Claim { command, .. } => replies.send(&self.node.claims.serve(&command)),
            _ => replies.send(&PeerReply::Refused {
                reason: "the call is not supported".to_owned(),
            }),
        }
    }
}

impl fmt::Debug for NodeEvents {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeEvents").finish_non_exhaustive()
    }
}
