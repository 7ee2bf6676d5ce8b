//! Brings configuration, instance list and drains from the platform to the instances.
//!
//! Two watchers for each failure domain, computed by rendezvous hashing, hold a watch and poll the
//! list; all others learn from their peers. An instance that has learnt no configuration reads the
//! platform by itself, since it may be the first.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use crate::node::Node;
use crate::platform::Condition;
use crate::platform::WriteError;
use crate::stop::Stop;
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

/// The watchers of each failure domain; with two, the loss of one delays nothing.
const WATCHERS: usize = 2;
const POLL_PERIOD_MS: Millis = Millis(1_000);
const WATCH_TIMEOUT_MS: Millis = Millis(5_000);
const OUTAGE_PAUSE_MS: Millis = Millis(500);
const DRAINS_KEY: &str = "drains";

/// Watches the configuration until the stop flag is raised.
///
/// # Errors
///
/// Never returns an error: an outage of the platform is counted and waited out.
pub fn run_configuration(node: &Arc<Node>, stop: &Stop) -> ChildResult {
    let mut seen_version = 0;
    while !stop.is_raised() {
        if !is_watcher(node) && node.active().generation > 0 {
            seen_version = 0;
            if stop.wait(POLL_PERIOD_MS) {
                return Ok(());
            }
            continue;
        }
        let read = read_configuration(node, &mut seen_version);
        if !read && stop.wait(OUTAGE_PAUSE_MS) {
            return Ok(());
        }
    }
    Ok(())
}

/// Polls the instance list and exchanges drains with the platform until the stop flag is raised.
///
/// # Errors
///
/// Never returns an error: an outage of the platform is counted and waited out.
pub fn run_lists(node: &Arc<Node>, stop: &Stop) -> ChildResult {
    loop {
        if is_watcher(node) || node.directory().revision() == 0 {
            poll_instances(node);
            exchange_drains(node);
        }
        if stop.wait(POLL_PERIOD_MS) {
            return Ok(());
        }
    }
}

fn is_watcher(node: &Node) -> bool {
    let live = node.live_instances();
    let key = format!("watcher/{}", node.settings.failure_domain);
    let ranked = rendezvous::ranked(key.as_bytes(), live.iter().map(String::as_str));
    ranked
        .into_iter()
        .take(WATCHERS)
        .any(|name| name == node.settings.name)
}

/// Reads the configuration, waiting for a change of the version that was seen.
fn read_configuration(node: &Node, seen_version: &mut u64) -> bool {
    // The watch also names changes of other keys with this prefix, such as the history.
    let watched = node
        .platform
        .watch(CONFIG_KEY, *seen_version, WATCH_TIMEOUT_MS);
    let Ok(list) = watched else {
        node.metrics.count("platform_unavailable");
        return false;
    };
    *seen_version = (*seen_version).max(list.version);
    let found = list
        .objects
        .into_iter()
        .find(|object| object.key == CONFIG_KEY);
    if let Some(object) = found {
        offer_configuration(node, &object.value);
        return true;
    }
    // The first watch has nothing to wait for when no configuration was ever committed.
    node.active().generation > 0
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
    match node.platform.instances(node.directory().revision()) {
        Ok(Some(list)) => offer_list(node, &list),
        Ok(None) => {}
        Err(_error) => node.metrics.count("platform_unavailable"),
    }
}

fn offer_list(node: &Node, list: &InstanceList) {
    let addresses = list
        .entries
        .iter()
        .filter(|entry| entry.kind == EntryKind::Instance)
        .filter_map(|entry| entry.address.parse::<SocketAddr>().ok());
    let mut seeds = node.settings.seeds.clone();
    seeds.extend(addresses);
    node.gossip().set_seeds(&seeds);
    // The age differs from read to read, and would make equal lists look different.
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

/// Merges the platform's drains with those of this instance, in both directions.
fn exchange_drains(node: &Node) {
    let Ok(found) = node.platform.get(DRAINS_KEY) else {
        node.metrics.count("platform_unavailable");
        return;
    };
    let stored: Vec<DrainEntry> = found
        .as_ref()
        .and_then(|object| serde_json::from_value(object.value.clone()).ok())
        .unwrap_or_default();
    node.gossip().merge_drains(&stored);
    let mut table = DrainTable::new();
    table.merge(&stored);
    let (digest, entries) = node.gossip().read(|gossip| {
        let entries: Vec<DrainEntry> = gossip.drains().entries().collect();
        (gossip.drains().digest(), entries)
    });
    if digest == table.digest() {
        return;
    }
    let condition = Condition::unchanged(found.as_ref());
    match node.platform.put(DRAINS_KEY, condition, &json!(entries)) {
        Ok(_) | Err(WriteError::Conflict) => {}
        // The next exchange reads the object again and shows whether the write took effect.
        Err(_error) => node.metrics.count("platform_unavailable"),
    }
}
