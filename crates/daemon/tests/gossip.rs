//! Guards against instances that do not discover each other over real sockets, changes that do not
//! reach all instances, and a simulated partition that does not separate instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;

use arbutus_config::Settings;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::document::Document;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_wire::datagram::DatagramBody;
use arbutus_wire::datagram::QuarantineEntry;
use arbutus_wire::frame::FrameError;
use arbutus_wire::peer::PeerCall;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;
use arbutus_wire::peer::TokenFrame;
use arbutusd::gossip::GossipHandler;
use arbutusd::gossip::GossipNode;
use arbutusd::peer::PeerError;
use arbutusd::peer::ReplyWriter;
use arbutusd::stop_signal::StopSignal;

const TIMEOUT: Millis = Millis(1_000);

#[derive(Debug, Default)]
struct RecordingHandler {
    datagrams: Mutex<Vec<(String, DatagramBody)>>,
    calls: Mutex<u32>,
}

impl GossipHandler for RecordingHandler {
    fn member_changed(&self, _: &Member) {}
    fn document_changed(&self, _: &Document) {}
    fn drains_changed(&self, _: &[DrainEntry]) {}
    fn self_suspicion_changed(&self, _: bool) {}
    fn superseded(&self, _: u64) {}

    fn handle_datagram(&self, _: SocketAddr, sender: &str, body: DatagramBody) {
        let mut datagrams = self
            .datagrams
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        datagrams.push((sender.to_owned(), body));
    }

    fn handle_call(&self, call: PeerCall, replies: &mut ReplyWriter<'_>) -> Result<(), FrameError> {
        *self.calls.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        match call.request {
            PeerRequest::Claim { command, .. } if command.is_empty() => Ok(()),
            PeerRequest::Claim { command, .. } => replies.send(&PeerReply::Claim(command)),
            _ => {
                for offset in 0..3 {
                    let text = format!("t{offset}");
                    replies.send(&PeerReply::Token(TokenFrame { offset, text }))?;
                }
                let reason = "no target".to_owned();
                replies.send(&PeerReply::Refused { reason })
            }
        }
    }
}

type Task = fn(&Arc<GossipNode<RecordingHandler>>, &StopSignal) -> Result<(), String>;

struct TestInstance {
    node: Arc<GossipNode<RecordingHandler>>,
    handler: Arc<RecordingHandler>,
    stop: StopSignal,
    threads: Vec<JoinHandle<()>>,
}

impl TestInstance {
    fn start(name: &str, failure_domain: &str, seeds: &[SocketAddr]) -> Self {
        let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            fault_injection: false,
            name: name.to_owned(),
            cluster: "test".to_owned(),
            site: "test".to_owned(),
            failure_domain: failure_domain.to_owned(),
            http_address: any_address,
            peer_address: any_address,
            platform_address: any_address,
            seeds: seeds.to_vec(),
            max_body_bytes: 1_000,
            max_requests: 10,
        };
        let handler = Arc::new(RecordingHandler::default());
        let boot_id = Clock::unix_time().0;
        let node = GossipNode::bind(&settings, boot_id, Clock::new(), Arc::clone(&handler))
            .expect("a free port exists");
        let stop = StopSignal::new();
        let tasks: [Task; 4] = [
            |node, stop| node.run_receiver(stop),
            |node, stop| node.run_timer(stop),
            |node, stop| node.run_fetcher(stop),
            |node, stop| node.run_server(stop),
        ];
        let spawn = |task: Task| {
            let node = Arc::clone(&node);
            let stop = stop.clone();
            thread::spawn(move || task(&node, &stop).expect("the task runs until it is stopped"))
        };
        let threads = tasks.into_iter().map(spawn).collect();
        Self {
            node,
            handler,
            stop,
            threads,
        }
    }

    fn live_peers(&self) -> usize {
        self.node.read(|gossip| {
            let members = gossip.membership().members();
            let live = members.filter(|member| member.state == MemberState::Alive);
            live.count() - 1
        })
    }

    fn generation(&self) -> u64 {
        let kind = DocumentKind::Configuration;
        self.node
            .read(|gossip| gossip.documents().version(&kind).number)
    }

    fn stop(self) {
        self.stop.raise();
        for thread in self.threads {
            thread.join().expect("the thread ends");
        }
    }
}

fn wait_until(condition_name: &str, mut condition: impl FnMut() -> bool) {
    let clock = Clock::new();
    while !condition() {
        assert!(clock.now() < Millis(20_000), "timed out: {condition_name}");
        thread::sleep(Millis(10).to_duration());
    }
}

fn configuration_document(number: u64, bytes: usize) -> Document {
    Document {
        kind: DocumentKind::Configuration,
        number,
        content: vec![number as u8; bytes],
    }
}

/// Guards against instances that do not find each other, changes that are lost after a partition,
/// and a simulated partition that does not separate the instances.
#[test]
fn instances_join_distribute_changes_and_recover_from_a_partition() {
    let first = TestInstance::start("a-1", "a", &[]);
    let seeds = [first.node.peer_address()];
    first
        .node
        .offer_document(&configuration_document(1, 300_000));
    let others = [("a-2", "a"), ("b-1", "b"), ("b-2", "b")];
    let mut all = vec![first];
    all.extend(others.map(|(name, domain)| TestInstance::start(name, domain, &seeds)));
    wait_until(
        "every instance knows all others and the configuration",
        || {
            all.iter()
                .all(|instance| instance.live_peers() == 3 && instance.generation() == 1)
        },
    );

    let addresses: Vec<SocketAddr> = all
        .iter()
        .map(|instance| instance.node.peer_address())
        .collect();
    for (index, instance) in all.iter().enumerate() {
        let other_side = if index < 2 { 2..4 } else { 0..2 };
        instance
            .node
            .set_blocked_peers(addresses[other_side].iter().copied());
    }
    wait_until("the two sides are partitioned", || {
        all.iter().all(|instance| instance.live_peers() == 1)
    });
    let call = all[0]
        .node
        .client()
        .call(addresses[2], PeerRequest::Status, TIMEOUT);
    assert!(matches!(call, Err(PeerError::Unreachable(_))), "{call:?}");
    let subject = DrainSubject::FailureDomain("b".to_owned());
    all[1].node.set_drained(subject.clone(), true);
    all[2].node.offer_document(&configuration_document(2, 10));
    let drained = |instance: &TestInstance| {
        instance
            .node
            .read(|gossip| gossip.drains().is_drained(&subject))
    };
    wait_until("each side has its own change", || {
        drained(&all[0]) && all[3].generation() == 2
    });
    assert!(!drained(&all[2]) && all[0].generation() == 1);

    for instance in &all {
        instance.node.set_blocked_peers([]);
    }
    wait_until("both sides have all changes", || {
        all.iter().all(|instance| {
            instance.live_peers() == 3 && instance.generation() == 2 && drained(instance)
        })
    });
    assert!(all[0].node.counters().bytes_sent() > 0);
    all.into_iter().for_each(TestInstance::stop);
}

/// Guards against replies that are lost or repeated, and against a call that may have been executed
/// but is reported as not executed.
#[test]
fn calls_have_one_reply_or_a_correct_error() {
    let server = TestInstance::start("a-1", "a", &[]);
    let to = server.node.peer_address();
    let client = TestInstance::start("a-2", "a", &[to]);
    let peer_client = client.node.client();
    for number in 1..4 {
        let request = PeerRequest::Claim {
            shard: 1,
            command: vec![number; 10],
        };
        let reply = peer_client
            .call(to, request, TIMEOUT)
            .expect("the peer replies");
        assert_eq!(reply, PeerReply::Claim(vec![number; 10]));
    }
    let mut stream = peer_client
        .open_stream(to, PeerRequest::Status)
        .expect("the peer is reachable");
    for offset in 0..3 {
        let frame = stream.next_reply(TIMEOUT).expect("the token arrives");
        assert!(matches!(frame, PeerReply::Token(token) if token.offset == offset));
    }
    let end = stream.next_reply(TIMEOUT).expect_err("the peer refuses");
    assert!(end.is_not_executed(), "{end}");
    let unanswered_request = PeerRequest::Claim {
        shard: 1,
        command: Vec::new(),
    };
    let no_response = peer_client
        .call_once(to, unanswered_request, Millis(200))
        .expect_err("the peer sends no reply");
    assert!(!no_response.is_not_executed(), "{no_response}");
    // Three calls with a reply, one stream and one call without a reply.
    assert_eq!(*server.handler.calls.lock().expect("no thread panicked"), 5);

    let entries = vec![
        QuarantineEntry {
            fingerprint: Fingerprint(9),
            failures: BTreeSet::new(),
            remaining_ms: Millis(5),
        };
        2
    ];
    let body = DatagramBody::Quarantine(entries);
    client
        .node
        .send_datagram(to, body.clone())
        .expect("the body fits");
    wait_until("the datagram arrives", || {
        let datagrams = server.handler.datagrams.lock().expect("no thread panicked");
        datagrams.contains(&("a-2".to_owned(), body.clone()))
    });
    server.stop();
    let result = peer_client.call_once(to, PeerRequest::Status, TIMEOUT);
    drop(result.expect_err("the peer has ended"));
    client.stop();
}
