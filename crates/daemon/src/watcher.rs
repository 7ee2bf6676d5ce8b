//! Learns the configuration and the instance list from the platform.

use std::sync::Arc;

use arbutus_config::committed::CONFIG_KEY;
use arbutus_config::committed::Committed;
use arbutus_coord::Millis;

use crate::node::Node;
use crate::stop::Stop;
use crate::supervisor::ChildResult;

const POLL_PERIOD_MS: Millis = Millis(500);

/// Polls the platform until the stop flag is raised.
///
/// # Errors
///
/// Never returns an error: an outage of the platform is counted and waited out.
pub fn run(node: &Arc<Node>, stop: &Stop) -> ChildResult {
    loop {
        poll_configuration(node);
        poll_instances(node);
        if stop.wait(POLL_PERIOD_MS) {
            return Ok(());
        }
    }
}

fn poll_configuration(node: &Node) {
    match node.platform.get(CONFIG_KEY) {
        Ok(Some(object)) => match Committed::from_value(&object.value) {
            Ok(committed) => apply(node, &committed),
            Err(_error) => node.metrics.count("configuration_malformed"),
        },
        Ok(None) => {}
        Err(_error) => node.metrics.count("platform_unavailable"),
    }
}

/// Puts a committed configuration in force at this instance's site, if it is newer.
fn apply(node: &Node, committed: &Committed) {
    if committed.generation <= node.active().generation {
        return;
    }
    match committed.deployment(&node.settings.site) {
        Ok(deployment) => {
            node.activate(committed.generation, deployment);
        }
        Err(_faults) => node.metrics.count("configuration_invalid"),
    }
}

fn poll_instances(node: &Node) {
    match node.platform.instances(node.directory().revision()) {
        Ok(Some(list)) => node.update_directory(&list),
        Ok(None) => {}
        Err(_error) => node.metrics.count("platform_unavailable"),
    }
}
