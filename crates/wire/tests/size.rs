//! Tests that datagrams with the longest names and the largest numbers stay below the size limit,
//! since larger ones are not sent.

use std::net::SocketAddr;

use arbutus_coord::Millis;
use arbutus_coord::document::Document;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::gossip::Gossip;
use arbutus_coord::gossip::Input;
use arbutus_coord::gossip::Output;
use arbutus_coord::membership::MAX_NAME_BYTES;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_coord::membership::MembershipSpec;
use arbutus_coord::membership::Packet;
use arbutus_wire::datagram::Datagram;

fn member(index: u64, domain: u64) -> Member {
    let address: SocketAddr = "[ffff:ffff::ffff:ffff]:65535"
        .parse()
        .expect("the address is valid");
    Member {
        name: format!("{index:0>MAX_NAME_BYTES$}"),
        failure_domain: format!("{domain:0>MAX_NAME_BYTES$}"),
        peer_address: address,
        http_address: address,
        boot_id: u64::MAX - 1,
        incarnation: u64::MAX - 2,
        state: MemberState::Suspect,
    }
}

#[test]
fn every_packet_fits_into_a_datagram() {
    let cluster = "c".repeat(MAX_NAME_BYTES);
    let mut local_member = member(0, 0);
    local_member.state = MemberState::Alive;
    let mut gossip = Gossip::new(MembershipSpec::default(), local_member, 1, Millis(0));
    let document = Document {
        kind: DocumentKind::Configuration,
        number: u64::MAX,
        content: vec![7],
    };
    gossip.handle(Millis(0), Input::Document(&document));
    let drains: Vec<DrainEntry> = (0..100)
        .map(|index| DrainEntry {
            subject: DrainSubject::Target(format!("{index:0>MAX_NAME_BYTES$}")),
            revision: u64::MAX,
            drained: true,
        })
        .collect();
    let mut largest = 0;
    let mut measure = |outputs: Vec<Output>| {
        for output in outputs {
            if let Output::Send { packet, .. } = output {
                let datagram = Datagram::from_packet(&cluster, packet);
                let bytes = datagram.encode().expect("the packet fits");
                largest = largest.max(bytes.len());
            }
        }
    };
    for index in 1..200 {
        let now = Millis(index * 20);
        let packet = Packet {
            sender: member(index, index % 3).name,
            boot_id: 1,
            message: arbutus_coord::membership::Message::Ping { sequence: u64::MAX },
            digests: gossip.gossip_packet().digests,
            members: vec![member(index, index % 3)],
            compact_updates: Vec::new(),
            drains: Vec::new(),
        };
        let from = packet.members[0].peer_address;
        let packet = &packet;
        measure(gossip.handle(now, Input::Received { from, packet }));
        measure(gossip.handle(now, Input::Drains(&drains[index as usize % 100..])));
        measure(gossip.handle(now, Input::Tick));
    }
    // If the packets were much smaller than the limit, the test would not detect a wrong size bound.
    assert!(largest > 800, "the largest datagram has {largest} bytes");
}
