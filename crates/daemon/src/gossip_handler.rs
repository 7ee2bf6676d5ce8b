//! Applies changes received by gossip, and calls from peers, to the state of the instance.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;

use log::error;
use log::info;

use crate::forwarding;
use crate::gossip::GossipHandler;
use crate::grants;
use crate::node::Node;
use crate::peer::ReplyWriter;
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

/// Applies changes and calls from other instances to a [`Node`].
pub struct NodeGossipHandler {
    node: Arc<Node>,
}

impl NodeGossipHandler {
    /// Creates a handler that updates the given instance.
    #[must_use]
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn apply_configuration(&self, content: &[u8]) {
        let committed = match CommittedConfig::from_json(content) {
            Ok(committed) => committed,
            Err(error) => {
                self.node.metrics.count("configuration_malformed");
                error!(error:% = error; "configuration document is malformed");
                return;
            }
        };
        match committed.deployment(&self.node.settings.site) {
            Ok(deployment) => {
                self.node
                    .activate_configuration(committed.generation, deployment);
            }
            Err(faults) => {
                self.node.metrics.count("configuration_invalid");
                error!(generation = committed.generation, faults:% = faults; "configuration is invalid for the site of this instance");
            }
        }
    }

    fn apply_target_list(&self, content: &[u8]) {
        match serde_json::from_slice::<InstanceList>(content) {
            Ok(list) => self.node.update_directory(&list),
            Err(_error) => self.node.metrics.count("instance_list_malformed"),
        }
    }
}

impl GossipHandler for NodeGossipHandler {
    fn member_changed(&self, member: &Member) {
        info!(member = member.name.as_str(), state:% = member.state; "member state changed");
    }

    fn document_changed(&self, document: &Document) {
        match document.kind {
            DocumentKind::Configuration => self.apply_configuration(&document.content),
            DocumentKind::TargetList { .. } => self.apply_target_list(&document.content),
        }
    }

    fn drains_changed(&self, entries: &[DrainEntry]) {
        for entry in entries {
            info!(subject:? = entry.subject, drained = entry.drained, revision = entry.revision; "drain state changed");
        }
    }

    fn self_suspicion_changed(&self, suspect: bool) {
        info!(suspect; "self-suspicion changed; a suspect instance may be regarded as dead by its peers");
    }

    fn superseded(&self, boot_id: u64) {
        // Peers route by name and address, so two processes with the same name must not both serve.
        error!(boot_id; "a newer process with this instance name exists; shutting down");
        self.node.terminate.raise();
    }

    fn handle_datagram(&self, _from: SocketAddr, sender: &str, body: DatagramBody) {
        match body {
            DatagramBody::GrantRequest(requests) => {
                grants::handle_requests(&self.node, sender, &requests);
            }
            DatagramBody::GrantReply(replies) => grants::handle_replies(&self.node, &replies),
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
                self.node
                    .send_datagram(sender, DatagramBody::LimitShare(shares));
            }
            DatagramBody::LimitShare(shares) => self.node.limits.set_shares(shares),
            // The gossip state machine handles membership messages.
            DatagramBody::Membership(_) => {}
        }
    }

    fn handle_call(&self, call: PeerCall, replies: &mut ReplyWriter<'_>) -> Result<(), FrameError> {
        match call.request {
            PeerRequest::StageCall(stage_call) => {
                forwarding::serve_forwarded_stage(&self.node, &call.sender, &stage_call, replies)
            }
            PeerRequest::Status => {
                replies.send(&PeerReply::Status(status::instance_status(&self.node)))
            }
            PeerRequest::Claim { command, .. } => {
                replies.send(&self.node.claims.handle_peer_command(&command))
            }
            _ => replies.send(&PeerReply::Refused {
                reason: "this instance does not support the call".to_owned(),
            }),
        }
    }
}

impl fmt::Debug for NodeGossipHandler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeGossipHandler").finish_non_exhaustive()
    }
}
