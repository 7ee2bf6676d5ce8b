//! Reads the configuration, instance list and drains from the platform.
//!
//! Rendezvous hashing selects two watchers for each failure domain. They watch the configuration,
//! poll the instance list and distribute both by gossip to the other instances. An instance without
//! a configuration or list reads the platform itself, because it may be the first instance.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use crate::node::Node;
use crate::platform_client::WriteCondition;
use crate::platform_client::WriteError;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildResult;
use arbutus_config::committed::CONFIG_KEY;
use arbutus_config::committed::CommittedConfig;
use arbutus_coord::Millis;
use arbutus_coord::document::Document;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::drain::DrainTable;
use arbutus_coord::rendezvous;
use arbutus_wire::platform::EntryKind;
use arbutus_wire::platform::InstanceList;

/// Number of watchers in a failure domain; two, so that the loss of one causes no delay.
const WATCHERS_PER_FAILURE_DOMAIN: usize = 2;
const POLL_PERIOD_MS: Millis = Millis(1_000);
const WATCH_TIMEOUT_MS: Millis = Millis(5_000);
const OUTAGE_RETRY_DELAY_MS: Millis = Millis(500);
const DRAINS_KEY: &str = "drains";

/// Watches the configuration until the stop signal is raised.
///
/// # Errors
///
/// Never returns an error: reads are retried during an outage of the platform.
pub fn run_configuration_watch(node: &Arc<Node>, stop: &StopSignal) -> ChildResult {
    let mut seen_version = 0;
    while !stop.is_raised() {
        if !is_watcher(node) && node.active_configuration().generation > 0 {
            seen_version = 0;
            if stop.wait(POLL_PERIOD_MS) {
                return Ok(());
            }
            continue;
        }
        let watch_again = watch_configuration(node, &mut seen_version);
        if !watch_again && stop.wait(OUTAGE_RETRY_DELAY_MS) {
            return Ok(());
        }
    }
    Ok(())
}

/// Polls the instance list and synchronises drains with the platform until the stop signal is
/// raised.
///
/// # Errors
///
/// Never returns an error: reads are retried during an outage of the platform.
pub fn run_list_polls(node: &Arc<Node>, stop: &StopSignal) -> ChildResult {
    loop {
        if is_watcher(node) || node.directory().revision() == 0 {
            poll_instances(node);
            sync_drains(node);
        }
        if stop.wait(POLL_PERIOD_MS) {
            return Ok(());
        }
    }
}

fn is_watcher(node: &Node) -> bool {
    let live = node.live_domain_instances();
    let key = format!("watcher/{}", node.settings.failure_domain);
    let ranked = rendezvous::ranked(key.as_bytes(), live.iter().map(String::as_str));
    ranked
        .into_iter()
        .take(WATCHERS_PER_FAILURE_DOMAIN)
        .any(|name| name == node.settings.name)
}

/// Waits for a version of the configuration above `seen_version` and distributes it. Returns
/// whether to watch again immediately.
fn watch_configuration(node: &Node, seen_version: &mut u64) -> bool {
    // The watch also returns changes of other keys with this prefix, such as the history.
    let watched = node
        .platform
        .watch(CONFIG_KEY, *seen_version, WATCH_TIMEOUT_MS);
    let Ok(list) = watched else {
        node.metrics.count("platform_unavailable");
        return false;
    };
    *seen_version = (*seen_version).max(list.version);
    let object = list
        .objects
        .into_iter()
        .find(|object| object.key == CONFIG_KEY);
    if let Some(object) = object {
        offer_configuration(node, &object.value);
        return true;
    }
    // If no configuration has ever been committed, the watch may return immediately, and the
    // caller has to pause.
    node.active_configuration().generation > 0
}

fn offer_configuration(node: &Node, value: &Value) {
    match CommittedConfig::from_value(value) {
        Ok(committed) => node.gossip().offer_document(&Document {
            kind: DocumentKind::Configuration,
            number: committed.generation,
            content: committed.to_json(),
        }),
        Err(_error) => node.metrics.count("configuration_malformed"),
    }
}

fn poll_instances(node: &Node) {
    match node.platform.instance_list(node.directory().revision()) {
        Ok(Some(list)) => offer_target_list(node, &list),
        Ok(None) => {}
        Err(_error) => node.metrics.count("platform_unavailable"),
    }
}

/// Uses the instances of the list as gossip seeds, and distributes the list by gossip.
fn offer_target_list(node: &Node, list: &InstanceList) {
    let addresses = list
        .entries
        .iter()
        .filter(|entry| entry.kind == EntryKind::Instance)
        .filter_map(|entry| entry.address.parse::<SocketAddr>().ok());
    let mut seeds = node.settings.seeds.clone();
    seeds.extend(addresses);
    node.gossip().set_seeds(&seeds);
    // The age differs between reads, and would make equal lists differ.
    let list = InstanceList {
        age_ms: Millis::ZERO,
        ..list.clone()
    };
    let Ok(content) = serde_json::to_vec(&list) else {
        return;
    };
    node.gossip().offer_document(&Document {
        kind: DocumentKind::TargetList {
            failure_domain: node.settings.failure_domain.clone(),
        },
        number: list.revision,
        content,
    });
}

/// Merges the drains at the platform with those of this instance, in both directions.
fn sync_drains(node: &Node) {
    let Ok(object) = node.platform.get(DRAINS_KEY) else {
        node.metrics.count("platform_unavailable");
        return;
    };
    let stored_entries: Vec<DrainEntry> = object
        .as_ref()
        .and_then(|object| serde_json::from_value(object.value.clone()).ok())
        .unwrap_or_default();
    node.gossip().merge_drains(&stored_entries);
    let mut stored_drains = DrainTable::new();
    stored_drains.merge(&stored_entries);
    let (digest, entries) = node.gossip().read(|gossip| {
        let entries: Vec<DrainEntry> = gossip.drains().entries().collect();
        (gossip.drains().digest(), entries)
    });
    if digest == stored_drains.digest() {
        return;
    }
    let condition = WriteCondition::unchanged_since(object.as_ref());
    match node.platform.put(DRAINS_KEY, condition, &json!(entries)) {
        Ok(_) | Err(WriteError::Conflict) => {}
        // The next synchronisation reads the object again and shows whether the write took effect.
        Err(_error) => node.metrics.count("platform_unavailable"),
    }
}
