//! Guards against a process that ends, or a task that panics, because of one malformed message. Each
//! decoder gets valid messages with random changes, from clients, targets, peers and the store.

use std::env;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use arbutus_coord::Millis;
use arbutus_platform::configuration;
use arbutus_platform::names;
use arbutus_platform::request::ClientRequest;
use arbutus_platform::response;
use arbutus_platform::rollout;
use arbutus_platform::stage;
use arbutus_platform::store;
use arbutus_platform::store::ObjectChange;
use arbutus_platform::store::ObjectKind;
use arbutus_platform::store::StoredObject;
use arbutus_policy::serving::event_splitter::EventSplitter;
use arbutus_policy::serving::leaving_targets::LeavingReport;
use arbutus_policy::serving::routes::RouteTable;
use arbutus_policy::serving::target_backoff::TargetBackoffs;
use arbutus_policy::serving::target_limits::LimitReport;
use arbutus_policy::serving::target_limits::TargetLimits;
use arbutus_policy::serving::target_ramp::OutcomeCounts;
use arbutus_policy::serving::target_view::TargetView;
use arbutus_policy::serving::target_view::exchange;
use arbutus_policy::serving::target_view::exchange::ObservationMessage;
use arbutus_policy::serving::target_view::exchange::ViewExchange;
use arbutus_policy::serving::target_view::exchange::ViewMember;
use arbutus_policy::serving::target_view::messages::MessageStamp;
use arbutus_policy::serving::target_view::messages::TargetNames;
use arbutus_policy::serving::target_view::messages::TargetObservation;
use arbutus_serving::peer_frames;
use arbutus_serving::peer_messages::PeerCommand;
use arbutus_serving::peer_messages::PeerReply;
use arbutus_serving::update::StateUpdate;
use arbutus_standins::simulated_platform::example;
use arbutus_wire::frame;

const DEFAULT_SEED: u64 = 11;
const TESTS: u64 = 4_000;
/// A change of a message: its kind, place and value.
type Change = (u8, u16, u8);
/// Decodes messages, chosen by a number, with changes.
type Property = fn(u16, Vec<Change>) -> bool;

/// What numbers and words of a message are replaced by.
const REPLACEMENTS: [&str; 10] = [
    "",
    "-1",
    "0",
    "18446744073709551615",
    "99999999999999999999999",
    "1e308",
    "NaN",
    "null",
    "{}",
    "\u{fffd}",
];

fn check(property: Property) {
    let seed = env::var("ARBUTUS_SEED").map_or(DEFAULT_SEED, |seed| {
        seed.parse().expect("ARBUTUS_SEED is a number")
    });
    println!("ARBUTUS_SEED={seed}");
    QuickCheck::new()
        .tests(TESTS)
        .rng(Gen::from_size_and_seed(12, seed))
        .quickcheck(property);
}

/// Applies changes to a message.
fn mutate(message: &[u8], changes: &[Change]) -> Vec<u8> {
    let mut bytes = message.to_vec();
    for &(kind, place, value) in changes {
        if bytes.is_empty() {
            return bytes;
        }
        let at = place as usize % bytes.len();
        match kind % 5 {
            0 => bytes[at] = value,
            1 => bytes.truncate(at),
            2 => {
                let end = (at + value as usize).min(bytes.len());
                let copy = bytes[at..end].to_vec();
                bytes.splice(at..at, copy);
            }
            3 => {
                let end = (at + value as usize).min(bytes.len());
                bytes.drain(at..end);
            }
            _ => {
                let is_word = |byte: &u8| byte.is_ascii_alphanumeric();
                let start = bytes[at..].iter().position(is_word).map_or(at, |n| at + n);
                let length = bytes[start..]
                    .iter()
                    .take_while(|byte| is_word(byte))
                    .count();
                let text = REPLACEMENTS[value as usize % REPLACEMENTS.len()];
                bytes.splice(start..start + length, text.bytes());
            }
        }
    }
    bytes
}

fn object(name: &str, content: String) -> StoredObject {
    StoredObject {
        name: name.to_owned(),
        revision: 7,
        content,
    }
}

fn store_messages() -> Vec<Vec<u8>> {
    let configuration = configuration::encode(&example::configuration(3)).expect("valid");
    let objects = [
        object("main", configuration.clone()),
        object("t1", r#"{"service":"desk","address":"10.0.0.1:80","zone":"x","slots":4,"state":"ready","cold_remaining_ms":10,"born":17}"#.to_owned()),
    ];
    let changes = objects.clone().map(ObjectChange::Written);
    vec![
        store::encode_list(ObjectKind::Targets, &objects, 9).expect("valid"),
        store::encode_watch(ObjectKind::Targets, &changes, 9).expect("valid"),
        configuration.into_bytes(),
    ]
}

#[test]
fn store_objects_decode_to_a_value_or_an_error() {
    check(|index, changes| {
        let messages = store_messages();
        let bytes = mutate(&messages[index as usize % messages.len()], &changes);
        let page = store::decode_list(ObjectKind::Targets, &bytes);
        for object in page.map_or(Vec::new(), |page| page.objects) {
            let _entry = store::decode_target(&object);
            let _entry = store::decode_instance(&object);
            let _configuration = configuration::decode(&object.content);
        }
        let _changes = store::decode_watch(ObjectKind::Targets, &bytes);
        for object in
            store::decode_list(ObjectKind::Rollouts, &bytes).map_or(Vec::new(), |page| page.objects)
        {
            let _entry = rollout::decode_rollout(&object);
        }
        if let Ok(text) = std::str::from_utf8(&bytes)
            && let Ok(configuration) = configuration::decode(text)
        {
            let table = RouteTable::new(configuration);
            let _access = table.check_access("a.example", "/safe/1", Some("key"));
        }
        true
    });
}

fn headers(lines: &[u8]) -> HeaderMap {
    let lines = lines.split(|&byte| byte == b'\n');
    let pairs = lines.filter_map(|line| {
        let colon = line.iter().position(|&byte| byte == b':')?;
        let name = HeaderName::from_bytes(&line[..colon]).ok()?;
        let value = HeaderValue::from_bytes(line[colon + 1..].trim_ascii()).ok()?;
        Some((name, value))
    });
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(name, value);
    }
    headers
}

fn client_head() -> String {
    format!(
        "host: a.example\n{}: id1\n{}: 1500\n{}: key\n{}: 100,48\n{}: aa:50,bb:50\n{}: 1,2\n{}: 7",
        names::REQUEST_ID,
        names::DEADLINE,
        names::API_KEY,
        names::TOKEN_COUNTS,
        names::PROMPT_PARTS,
        names::PIECE_COUNTS,
        names::LAST_EVENT_ID,
    )
}

fn target_head() -> String {
    format!(
        "{}: id1\n{}: s\n{}: 3,1,8,120\n{}: 0.5\n{}: 1\nretry-after: 2.5\nkeep-alive: timeout=5, max=9\nconnection: close",
        names::REQUEST_ID,
        names::STAMP,
        names::LOAD,
        names::REQUEST_LIMIT,
        names::TARGET_LEAVING,
    )
}

fn decode_heads(client: &str, target: &str, status: u16, changes: &[Change]) {
    let sent = headers(&mutate(client.as_bytes(), changes));
    let _request = ClientRequest::new(Method::POST, Uri::from_static("/safe/1"), &sent);
    let received = headers(&mutate(target.as_bytes(), changes));
    let status = StatusCode::from_u16(100 + status % 500).expect("the status is valid");
    let _class = response::classify(status, &received, "id1", true);
    let _load = response::reported_load(&received);
    let _timeout_ms = response::keep_alive_timeout_ms(&received);
    let _closes = response::closes_connection(&received);
    let _forwarded = response::headers_for_client(&received);
    let now = Millis(u64::from(status.as_u16()));
    if let Ok(Some(backoff_ms)) = response::backoff_ms(StatusCode::SERVICE_UNAVAILABLE, &received) {
        let mut backoffs = TargetBackoffs::default();
        backoffs.record(now, "t", backoff_ms);
        let _wait_ms = backoffs.wait_ms(now, "t");
    }
    if let Ok(limit) = response::request_limit(&received) {
        TargetLimits::default().record_response(now, "t", limit, now);
    }
}

#[test]
fn stage_messages_and_streams_decode_to_a_value_or_an_error() {
    check(|split, changes| {
        let handles = ["10.0.0.1:80/a".to_owned(), "10.0.0.1:80/b".to_owned()];
        let response = stage::encode_call_response(&handles).expect("valid");
        let stream = example::complete_stream_body().into_bytes();
        if let Ok(results) = stage::decode_call_response(&mutate(&response, &changes)) {
            for handle in results.into_iter().flatten() {
                let _address = stage::producer_address(&handle);
            }
        }
        let events = mutate(&stream, &changes);
        let (head, tail) = events.split_at(split as usize % (events.len() + 1));
        let mut splitter = EventSplitter::new(None);
        if splitter.push(head).is_ok() {
            let _events = splitter.push(tail);
        }
        true
    });
}

#[test]
fn heads_of_clients_and_targets_decode_to_a_value_or_an_error() {
    check(|status, changes| {
        decode_heads(&client_head(), &target_head(), status, &changes);
        true
    });
}

/// Every word of a head, replaced by every extreme value in turn.
#[test]
fn extreme_values_in_heads_decode_to_a_value_or_an_error() {
    let (client, target) = (client_head(), target_head());
    for value in 0..REPLACEMENTS.len() as u8 {
        for at in 0..client.len().max(target.len()) as u16 {
            decode_heads(&client, &target, at, &[(4, at, value)]);
        }
    }
}

fn peer_messages() -> Vec<Vec<u8>> {
    let limits = vec![LimitReport {
        target: "t1".to_owned(),
        max_requests_per_s: Some(0.5),
        age_ms: Millis(3),
    }];
    let leaving = vec![LeavingReport {
        target: "t1".to_owned(),
        incarnation: Some(4),
    }];
    let mut exchange = ViewExchange::new("i1", "x", 7);
    let mut view = TargetView::new();
    let load = TargetObservation {
        target: "t1".to_owned(),
        running: 3,
        work_percent: Some(120),
        ..TargetObservation::default()
    };
    view.observe(Millis(400), &load);
    let summaries = exchange.known_targets(Millis(500), &view);
    let observations = ObservationMessage {
        sender: Some("i2".to_owned()),
        stamp: summaries.stamp,
        records: vec![load.record()],
    };
    let commands = [
        PeerCommand::Ping,
        PeerCommand::TargetObservations(observations),
        PeerCommand::TargetSummaries(summaries.clone()),
        PeerCommand::KnownTargets,
        PeerCommand::TargetLimits(limits.clone()),
        PeerCommand::LeavingTargets(leaving.clone()),
        PeerCommand::KnownLeavingTargets,
    ];
    let replies = [
        PeerReply::Pong,
        PeerReply::TargetLimits(limits),
        PeerReply::LeavingTargets(leaving),
        PeerReply::TargetSummaries(summaries),
    ];
    let commands = commands.iter().map(peer_frames::encode);
    let replies = replies.iter().map(peer_frames::encode);
    commands
        .chain(replies)
        .map(|bytes| bytes.expect("valid"))
        .collect()
}

#[test]
fn messages_of_peers_decode_to_a_value_or_an_error() {
    check(|index, changes| {
        let messages = peer_messages();
        let bytes = mutate(&messages[index as usize % messages.len()], &changes);
        let _command = frame::read::<PeerCommand>(&mut &*bytes, frame::MAX_FRAME_BYTES);
        let _reply = frame::read::<PeerReply>(&mut &*bytes, frame::MAX_FRAME_BYTES);
        let _update = StateUpdate::decompress(&Bytes::from(bytes));
        true
    });
}

/// Guards against a merge that panics, or a view that grows or reports absurd loads, because of
/// decodable messages with damaged figures.
#[test]
fn damaged_target_messages_are_merged_without_harm() {
    check(|index, changes| {
        let messages = peer_messages();
        let bytes = mutate(&messages[index as usize % messages.len()], &changes);
        let mut exchange = ViewExchange::new("i0", "x", 1);
        let names = TargetNames::new([("t1", None)].into_iter());
        exchange.set_targets(names);
        let mut view = TargetView::new();
        let now = Millis(1_000);
        let command = frame::read::<PeerCommand>(&mut &*bytes, frame::MAX_FRAME_BYTES);
        match command {
            Ok((PeerCommand::TargetObservations(message), _)) => {
                exchange.receive_observations(now, &mut view, &message);
            }
            Ok((PeerCommand::TargetSummaries(message), _)) => {
                exchange.receive_summaries(now, &mut view, "x", &message);
            }
            _ => {}
        }
        let members = [ViewMember {
            name: "i1",
            failure_domain: "x",
        }];
        let _step = exchange.step(now, &mut view, &members, false);
        view.coverage(now).0 <= 1
    });
}

/// Guards against an estimate of the size of a record that is too small, with which an instance
/// would receive more than its budget.
#[test]
fn records_take_the_bytes_that_are_counted_for_them() {
    check(|index, _| {
        let figure = u32::from(index);
        let load = TargetObservation {
            target: format!("t{index}"),
            incarnation: Some(u64::from(figure) << 40),
            age_ms: Millis(figure.into()),
            running: figure / 3,
            waiting: figure / 90,
            slots: Some(figure / 2 + 1),
            work_percent: (index % 2 == 0).then_some(figure + 1),
            outcomes: OutcomeCounts {
                late: figure % 300,
                ..OutcomeCounts::default()
            },
            ..TargetObservation::default()
        };
        let record = load.record();
        let size = |message: &PeerCommand| peer_frames::encode(message).expect("valid").len();
        let stamp = MessageStamp {
            sender_incarnation: u32::MAX,
            sequence: u32::MAX,
            sender_uptime_ms: Millis(1 << 27),
        };
        let with = |records| ObservationMessage {
            sender: Some("i2".to_owned()),
            stamp,
            records,
        };
        let empty = size(&PeerCommand::TargetObservations(with(Vec::new())));
        let one = size(&PeerCommand::TargetObservations(with(vec![record])));
        one - empty == record.encoded_bytes()
            && empty as u64 <= exchange::MESSAGE_BYTES + "i2".len() as u64
    });
}
