//! Tests the faults of the simulated platform.

use std::thread;
use std::time::Duration;

use arbutus_platform::names;
use arbutus_standins::simulated_platform::SimulatedPlatform;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example::stream_request;

fn request(parts: &str) -> ClientRequest {
    stream_request("/stream/1", "id")
        .with_header(names::EXPECTED_TARGET.as_str(), "e1")
        .with_header(names::PROMPT_PARTS.as_str(), parts)
}

/// Guards against crashes that spare other requests, leave the target in service, or are caused by a
/// last part. Tests of the quarantine could then pass although no target had crashed.
#[test]
fn a_deadly_part_breaks_all_connections_and_begins_a_new_incarnation() {
    let platform = SimulatedPlatform::start(&[("e1", "engines", "x")]).expect("the target starts");
    let target = &platform.targets[0];
    target.set_deadly_part(Some("bad"));
    let address = target.entry().address;
    let call = |parts: &str| request(parts).call(address);
    let last = call("aa:50,bad:50").expect("the target accepts connections");
    assert!(last.is_complete);
    let (sound, deadly) = thread::scope(|scope| {
        let sound = scope.spawn(|| call("aa:50,bb:50"));
        thread::sleep(Duration::from_millis(40));
        let deadly = call("aa:50,bad:50,cc:50");
        (sound.join().expect("the client thread ends"), deadly)
    });
    let deadly = deadly.expect("the target accepts connections");
    assert_eq!((deadly.status, deadly.body.as_str()), (200, ""));
    assert_eq!(deadly.headers["content-type"], "text/event-stream");
    assert!(!deadly.is_complete);
    let sound = sound.expect("the target accepts connections");
    assert!(!sound.body.is_empty() && !sound.is_complete);
    assert!(call("aa:50,bb:50").is_err(), "connections are refused");
    thread::sleep(Duration::from_millis(1_200));
    let later = call("aa:50,bb:50").expect("the target accepts connections again");
    assert!(later.is_complete);
    assert_eq!(target.entry().incarnation, Some(2));
    assert_eq!(target.executed_requests().len(), 4);
}
