//! Tests that rankings do not depend on the order of the members, and that removing a member does
//! not move the keys of others.

use arbutus_coord::rendezvous::owner;
use arbutus_coord::rendezvous::ranked;

const MEMBERS: [&str; 5] = ["a", "b", "c", "d", "e"];

#[test]
fn ranking_does_not_depend_on_member_order() {
    for key in 0_u32..200 {
        let key = key.to_be_bytes();
        let forward = ranked(&key, MEMBERS.into_iter());
        let backward = ranked(&key, MEMBERS.into_iter().rev());
        assert_eq!(forward, backward);
        assert_eq!(forward.first().copied(), owner(&key, MEMBERS.into_iter()));
    }
}

#[test]
fn removing_a_member_moves_only_its_keys() {
    for key in 0_u32..200 {
        let key = key.to_be_bytes();
        let before = owner(&key, MEMBERS.into_iter()).expect("members exist");
        let after = owner(&key, MEMBERS.into_iter().filter(|&m| m != "c")).expect("members exist");
        if before != "c" {
            assert_eq!(before, after);
        }
    }
}
