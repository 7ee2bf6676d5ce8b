//! Tests that messages decode to what was encoded, and that malformed input neither causes a panic
//! nor makes a reader allocate without bound.

use std::collections::BTreeSet;
use std::env;
use std::io::Cursor;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use arbutus_coord::Millis;
use arbutus_coord::grant;
use arbutus_coord::membership::Digests;
use arbutus_coord::membership::Message;
use arbutus_policy::quarantine::AttemptHash;
use arbutus_policy::quarantine::Fingerprint;
use arbutus_wire::datagram::Datagram;
use arbutus_wire::datagram::DatagramBody;
use arbutus_wire::datagram::DatagramError;
use arbutus_wire::datagram::MAX_DATAGRAM_BYTES;
use arbutus_wire::datagram::QuarantineEntry;
use arbutus_wire::datagram::TargetGrantRequest;
use arbutus_wire::frame;
use arbutus_wire::frame::FrameError;
use arbutus_wire::peer::PeerCall;
use arbutus_wire::peer::PeerReply;
use arbutus_wire::peer::PeerRequest;

const DEFAULT_SEED: u64 = 7;
const MAX_TEST_FRAME_BYTES: usize = 64 * 1024;

fn check(tests: u64, size: usize, property: impl Testable) {
    let seed = env::var("ARBUTUS_SEED").map_or(DEFAULT_SEED, |seed| {
        seed.parse().expect("ARBUTUS_SEED is a number")
    });
    println!("ARBUTUS_SEED={seed}");
    QuickCheck::new()
        .tests(tests)
        .rng(Gen::from_size_and_seed(size, seed))
        .quickcheck(property);
}

fn datagram(body: DatagramBody) -> Datagram {
    Datagram {
        cluster: "kamagama".to_owned(),
        sender: "arita-1".to_owned(),
        boot_id: u64::MAX,
        digests: Digests::default(),
        body,
        members: Vec::new(),
        compact_updates: Vec::new(),
        drains: Vec::new(),
    }
}

/// Guards against panics on random bytes, and against accepting a datagram that cannot be encoded
/// again.
#[test]
fn random_datagrams_decode_to_a_value_or_an_error() {
    fn property(mut bytes: Vec<u8>) -> bool {
        if let Some(first) = bytes.first_mut() {
            *first = arbutus_wire::PROTOCOL_VERSION;
        }
        match Datagram::decode(&bytes) {
            Ok(decoded) => decoded.encode().is_ok(),
            Err(_) => true,
        }
    }
    check(5_000, 200, property as fn(Vec<u8>) -> bool);
}

/// Guards against panics on a changed byte, and against accepting a truncated datagram.
#[test]
fn corrupted_datagrams_decode_to_a_value_or_an_error() {
    fn property(position: usize, value: u8, truncated_len: usize) -> bool {
        let body = DatagramBody::GrantRequest(vec![TargetGrantRequest {
            target: "engine-1".to_owned(),
            request: grant::GrantRequest {
                holder_boot_id: 7,
                sequence: 9,
                held: 2,
                in_use: 1,
                needed: 2,
                wanted: 3,
            },
        }]);
        let mut bytes = datagram(body).encode().expect("the datagram is small");
        let position = position % bytes.len();
        bytes[position] = value;
        drop(Datagram::decode(&bytes));
        bytes.truncate(truncated_len % bytes.len());
        Datagram::decode(&bytes).is_err()
    }
    check(2_000, 200, property as fn(usize, u8, usize) -> bool);
}

/// Guards against panics on random payloads, and against accepting a frame whose length does not
/// match its payload.
#[test]
fn random_frames_decode_to_a_value_or_an_error() {
    fn property(bytes: Vec<u8>, length: u32) -> bool {
        let mut framed = vec![arbutus_wire::PROTOCOL_VERSION];
        let actual = bytes.len() as u32;
        framed.extend_from_slice(&actual.to_be_bytes());
        framed.extend(bytes);
        drop(frame::read::<PeerCall>(
            &mut Cursor::new(&framed),
            MAX_TEST_FRAME_BYTES,
        ));
        drop(frame::read::<PeerReply>(
            &mut Cursor::new(&framed),
            MAX_TEST_FRAME_BYTES,
        ));
        // With a length above that of the payload, the frame is incomplete or too large.
        let length = length.max(actual + 1);
        framed[1..frame::HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        frame::read::<PeerReply>(&mut Cursor::new(&framed), MAX_TEST_FRAME_BYTES).is_err()
    }
    check(5_000, 200, property as fn(Vec<u8>, u32) -> bool);
}

#[test]
fn messages_decode_to_what_was_encoded() {
    let entries = vec![
        QuarantineEntry {
            fingerprint: Fingerprint(5),
            failures: BTreeSet::from([AttemptHash(1), AttemptHash(2)]),
            remaining_ms: Millis(1_000),
        };
        4
    ];
    for body in [
        DatagramBody::Membership(Message::Gossip),
        DatagramBody::Quarantine(entries),
        DatagramBody::Membership(Message::Ping { sequence: 1 }),
    ] {
        let sent = datagram(body);
        let bytes = sent.encode().expect("the datagram is small");
        assert_eq!(Datagram::decode(&bytes), Ok(sent));
    }
    let call = PeerCall {
        cluster: "kamagama".to_owned(),
        sender: "arita-1".to_owned(),
        boot_id: 1,
        request: PeerRequest::Claim {
            shard: 3,
            command: vec![0; 100],
        },
    };
    let bytes = frame::encode(&call).expect("the frame is small");
    let (read, size) = frame::read::<PeerCall>(&mut Cursor::new(&bytes), MAX_TEST_FRAME_BYTES)
        .expect("the frame is complete");
    assert_eq!(read, call);
    assert_eq!(size, bytes.len());
}

/// Guards against datagrams and frames of another protocol version, beyond the size limit or with
/// extra bytes that are accepted.
#[test]
fn sizes_and_versions_are_checked() {
    let large = datagram(DatagramBody::Quarantine(vec![
        QuarantineEntry {
            fingerprint: Fingerprint(u64::MAX),
            failures: BTreeSet::new(),
            remaining_ms: Millis::MAX,
        };
        MAX_DATAGRAM_BYTES / 20
    ]));
    assert!(matches!(large.encode(), Err(DatagramError::TooLarge(_))));
    assert_eq!(
        Datagram::decode(&[2, 0]),
        Err(DatagramError::UnsupportedVersion(2))
    );
    assert_eq!(Datagram::decode(&[]), Err(DatagramError::Empty));
    let mut extended = datagram(DatagramBody::Membership(Message::Gossip))
        .encode()
        .expect("the datagram is small");
    extended.push(0);
    assert!(matches!(
        Datagram::decode(&extended),
        Err(DatagramError::Malformed(_))
    ));
    let read = frame::read::<PeerReply>(&mut Cursor::new(&[2, 0, 0, 0, 0]), 10);
    assert!(matches!(read, Err(FrameError::UnsupportedVersion(2))));
    let read = frame::read::<PeerReply>(&mut Cursor::new(&[1, 0, 0, 0, 11]), 10);
    assert!(matches!(read, Err(FrameError::TooLarge(11))));
    let read = frame::read::<PeerReply>(&mut Cursor::new(&[]), 10);
    assert!(matches!(read, Err(FrameError::Closed)));
}
