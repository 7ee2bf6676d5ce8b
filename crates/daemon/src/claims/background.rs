//! The shard threads of an instance, and the retries of commands until their results are known.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;

use log::warn;

use crate::claims::ReplyTo;
use crate::claims::WRITER_TIMEOUT_MS;
use crate::claims::shards::ShardThread;
use crate::node::Node;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildResult;
use arbutus_coord::Millis;

/// Poll interval while commands wait for a retry, and while there is no configuration.
const POLL_MS: Millis = Millis(20);
/// Poll interval while the retry queue is empty. A command that is queued in the meantime is not
/// due earlier, because the delay before the first retry is as long.
const IDLE_POLL_MS: Millis = Millis(100);
/// Time limit for recording the remaining outcomes at shutdown.
const SHUTDOWN_TIMEOUT_MS: Millis = Millis(30_000);

/// Runs the shard threads and retries commands until the stop signal is raised, and then until all
/// outcomes are recorded or a time limit expires.
///
/// # Errors
///
/// Never returns an error: calls to an unreachable platform are retried.
pub fn run(node: &Arc<Node>, stop: &StopSignal) -> ChildResult {
    // All configurations have the same number of shards, so the first one determines it.
    while node.active_configuration().generation == 0 {
        if stop.wait(POLL_MS) {
            return Ok(());
        }
    }
    let claims = node.active_configuration().deployment.claims.clone();
    let threads_stop = StopSignal::new();
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
        while !stop.wait(if node.claims.undecided_command_count() > 0 {
            POLL_MS
        } else {
            IDLE_POLL_MS
        }) {
            retry_due_commands(node);
        }
        drain_retry_queue(node);
        node.claims.set_shards(Vec::new());
        threads_stop.raise();
    });
    Ok(())
}

/// Retries the queued commands before the process ends.
fn drain_retry_queue(node: &Node) {
    let deadline = node.now() + SHUTDOWN_TIMEOUT_MS;
    // This signal is never raised, so its `wait` only sleeps.
    let poll_timer = StopSignal::new();
    while node.claims.undecided_command_count() > 0 && node.now() < deadline {
        retry_due_commands(node);
        let _raised = poll_timer.wait(POLL_MS);
    }
    let undecided = node.claims.undecided_command_count();
    if undecided > 0 {
        warn!(undecided; "shutting down with claims whose outcomes are not recorded");
    }
}

fn retry_due_commands(node: &Node) {
    let commands = node
        .claims
        .with_retry_queue(|retry_queue| retry_queue.poll_due(node.now()));
    for command in commands {
        let Some(attempt) = command.attempt().cloned() else {
            continue;
        };
        let writer_result = node
            .claims
            .submit_to_writer(node, &command, WRITER_TIMEOUT_MS);
        match writer_result {
            Some(Ok(reply)) => node.claims.resolve_retry(node, &attempt, &reply),
            Some(Err(_)) | None => {
                node.claims
                    .send_to_shard_thread(&command, ReplyTo::RetryQueue(attempt));
            }
        }
    }
}
