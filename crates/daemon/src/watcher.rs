//! Learns the configuration and the instance list from the platform.

use std::sync::Arc;

use arbutus_coord::Millis;

use crate::node::Node;
use crate::stop::Stop;
use crate::supervisor::ChildResult;

const POLL_PERIOD_MS: Millis = Millis(500);
const CONFIGURATION_KEY: &str = "config";

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
    match node.platform.get(CONFIGURATION_KEY) {
        Ok(Some(object)) => {
            let generation = object
                .value
                .get("generation")
                .and_then(serde_json::Value::as_u64);
            let deployment = object.value.get("deployment").cloned().unwrap_or_default();
            match (generation, serde_json::from_value(deployment)) {
                (Some(generation), Ok(deployment)) => {
                    node.activate(generation, deployment);
                }
                _ => node.metrics.count("configuration_malformed"),
            }
        }
        Ok(None) => {}
        Err(_error) => node.metrics.count("platform_unavailable"),
    }
}

fn poll_instances(node: &Node) {
    match node.platform.instances(node.directory().revision()) {
        Ok(Some(list)) => node.update_directory(&list),
        Ok(None) => {}
        Err(_error) => node.metrics.count("platform_unavailable"),
    }
}
