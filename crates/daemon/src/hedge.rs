//! Hedging: sends a second attempt of an idempotent call when the first one is unusually slow.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::thread;

use serde_json::Value;

use crate::dispatch::acquire_slot;
use crate::dispatch::next_attempt_id;
use crate::local_attempt::call_target;
use crate::node::Node;
use crate::service_routing::ServiceRouting;
use crate::slots::Slot;
use crate::stage::StageCall;
use crate::target_client::CallError;
use arbutus_coord::Millis;
use arbutus_policy::attempt::Attempt;
use arbutus_policy::attempt::AttemptIds;
use arbutus_policy::attempt::Sent;

const ATTEMPT_STACK_BYTES: usize = 256 * 1024;

/// The index of an attempt and its result.
type AttemptResult = (usize, Result<Value, CallError>);

/// Sends a call to a target. If it has no result after the delay, sends it once more to another
/// target, provided that the hedging policy allows it and a slot is free there. A first attempt
/// that fails before the end of the delay is not hedged.
///
/// Returns the attempt whose result is used: the first that succeeds, or the last that fails.
pub fn call_hedged(
    node: &Arc<Node>,
    call: &StageCall,
    attempt: Attempt<Sent>,
    slot: Slot,
    delay_ms: Millis,
    timeout_ms: Millis,
) -> (Attempt<Sent>, Result<Value, CallError>) {
    let (sender, receiver) = mpsc::channel();
    let mut excluded = BTreeSet::from([slot.target]);
    let mut addresses = vec![slot.address];
    let mut attempts = vec![attempt];
    spawn_attempt(
        node,
        call,
        attempts[0].ids(),
        slot,
        (0, timeout_ms),
        &sender,
    );
    let mut pending_attempts = 1;
    let mut wait_ms = delay_ms;
    loop {
        match receiver.recv_timeout(wait_ms.to_duration()) {
            Ok((index, Ok(output))) => {
                cancel_others(node, &attempts, &addresses, index);
                return (attempts.swap_remove(index), Ok(output));
            }
            Ok((index, Err(error))) => {
                pending_attempts -= 1;
                if pending_attempts == 0 {
                    return (attempts.swap_remove(index), Err(error));
                }
            }
            Err(RecvTimeoutError::Disconnected) => {
                let error =
                    CallError::Failed("the thread of the attempt could not be started".to_owned());
                return (attempts.swap_remove(0), Err(error));
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        wait_ms = call.deadline - node.now() + Millis(1);
        if attempts.len() > 1 {
            continue;
        }
        let now = node.now();
        let may_hedge = node
            .slots
            .with_routing(now, &call.service, ServiceRouting::try_hedge);
        let Some(slot) = acquire_slot(node, call, &excluded, now)
            .ok()
            .filter(|_| may_hedge)
        else {
            continue;
        };
        excluded.insert(slot.target);
        addresses.push(slot.address);
        let first = &attempts[0];
        let id = next_attempt_id(first.ids());
        let hedge = first
            .next_attempt(first.ids().stage.clone(), id)
            .mark_sent(now);
        node.metrics.count("hedged");
        spawn_attempt(node, call, hedge.ids(), slot, (1, timeout_ms), &sender);
        attempts.push(hedge);
        pending_attempts += 1;
    }
}

fn spawn_attempt(
    node: &Arc<Node>,
    call: &StageCall,
    ids: &AttemptIds,
    slot: Slot,
    (index, timeout_ms): (usize, Millis),
    sender: &Sender<AttemptResult>,
) {
    let node = Arc::clone(node);
    let call = call.clone();
    let ids = ids.clone();
    let sender = sender.clone();
    let spawned = thread::Builder::new()
        .name("attempt".to_owned())
        .stack_size(ATTEMPT_STACK_BYTES)
        .spawn(move || {
            let result = call_target(&node, &call, &ids, &slot, timeout_ms);
            // The channel is closed when the other attempt has succeeded first.
            drop(sender.send((index, result)));
        });
    drop(spawned);
}

fn cancel_others(
    node: &Node,
    attempts: &[Attempt<Sent>],
    addresses: &[SocketAddr],
    succeeded_index: usize,
) {
    for (index, attempt) in attempts.iter().enumerate() {
        if index != succeeded_index {
            node.targets.cancel(addresses[index], attempt.ids());
        }
    }
}
