//! The threads of the shards, and commands that are repeated until they are decided.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;

use log::warn;

use crate::claims::PEER_TIMEOUT_MS;
use crate::claims::ReplyTo;
use crate::claims::shards::ShardThread;
use crate::node::Node;
use crate::stop::Stop;
use crate::supervisor::ChildResult;
use arbutus_coord::Millis;

const POLL_MS: Millis = Millis(20);
/// The first repetition of a command is due after this time.
const IDLE_POLL_MS: Millis = Millis(100);
/// How long a shutdown waits for outcomes that are not recorded.
const SHUTDOWN_LIMIT_MS: Millis = Millis(30_000);

/// Runs the claims of an instance until the stop flag is raised and all outcomes are recorded.
///
/// # Errors
///
/// Never returns an error: a platform that cannot be reached is tried again.
pub fn run(node: &Arc<Node>, stop: &Stop) -> ChildResult {
    // The number of shards never changes, so the first configuration decides it.
    while node.active().generation == 0 {
        if stop.wait(POLL_MS) {
            return Ok(());
        }
    }
    let claims = node.active().deployment.claims.clone();
    let threads_stop = Stop::new();
    thread::scope(|scope| {
        let mut senders = Vec::new();
        for index in 0..claims.shards {
            let (sender, receiver) = channel();
            senders.push(sender);
            let shard = ShardThread::new(node, index, &claims);
            let threads_stop = &threads_stop;
            scope.spawn(move || shard.run(&receiver, threads_stop));
        }
        node.claims.set_shards(senders);
        while !stop.wait(if node.claims.undecided() > 0 {
            POLL_MS
        } else {
            IDLE_POLL_MS
        }) {
            repeat_due(node);
        }
        finish(node);
        node.claims.set_shards(Vec::new());
        threads_stop.raise();
    });
    Ok(())
}

/// Records the remaining outcomes before the process ends.
fn finish(node: &Node) {
    let limit = node.now() + SHUTDOWN_LIMIT_MS;
    let pause = Stop::new();
    while node.claims.undecided() > 0 && node.now() < limit {
        repeat_due(node);
        let _raised = pause.wait(POLL_MS);
    }
    let undecided = node.claims.undecided();
    if undecided > 0 {
        warn!(undecided; "shutting down before all outcomes of claims are recorded");
    }
}

fn repeat_due(node: &Node) {
    let commands = node
        .claims
        .with_backlog(|backlog| backlog.poll_due(node.now()));
    for command in commands {
        let Some(attempt) = command.attempt().cloned() else {
            continue;
        };
        let by_writer = node
            .claims
            .submit_to_writer(node, &command, PEER_TIMEOUT_MS);
        match by_writer {
            Some(Ok(reply)) => node.claims.resolve(node, &attempt, &reply),
            Some(Err(_)) | None => {
                node.claims
                    .hand_to_shard(&command, ReplyTo::Backlog(attempt));
            }
        }
    }
}
