//! Tests of targets that number the events of their streams in other ways than from 1, with real
//! processes.

mod common;

use crate::common::start_cluster;
use arbutus_standins::simulated_platform::example::stream_request;
use arbutus_standins::simulated_platform::target::EVENT_COUNT;
use arbutus_standins::simulated_platform::target::Fault;

/// Guards against a stream without its first event: the target was lost before that event, and the
/// next one was asked to continue after event 0, which the client did not have.
#[test]
fn a_stream_that_breaks_before_its_first_event_is_resumed_from_its_beginning() {
    for first_id in [0, 1, 7] {
        let cluster = start_cluster(1);
        let engines = ["e1", "e2"].map(|id| cluster.platform.target(id));
        for engine in &engines {
            engine.set_first_event_id(first_id);
        }
        let call = |id: &str| {
            let request = stream_request("/resumable/1", id);
            request
                .call(cluster.instances[0].client_address())
                .expect("the instance responds")
        };
        let ids = first_id..first_id + EVENT_COUNT;
        let events: Vec<String> = ids
            .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
            .collect();
        let complete = events.concat();
        assert_eq!(call("first").body, complete);
        // Prefix affinity selects the same target for the same prompt.
        for engine in &engines {
            if !engine.executed_requests().is_empty() {
                engine.add_fault(Fault::AbortAfterEvents(0));
            }
        }
        let resumed = call("resumed");
        assert_eq!(cluster.platform.execution_count("resumed"), 2);
        assert!(resumed.is_complete, "events from {first_id}");
        assert_eq!(resumed.body, complete, "events from {first_id}");
    }
}
