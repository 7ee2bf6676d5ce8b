//! Tests that a lease expires after its duration, measured from the first send of its last confirmed
//! renewal, and that a successor waits long enough for a holder with a slow clock.

use arbutus_coord::Millis;
use arbutus_coord::claim::Holder;
use arbutus_coord::lease::AnyLease;
use arbutus_coord::lease::Held;
use arbutus_coord::lease::Lease;
use arbutus_coord::lease::LeaseRead;
use arbutus_coord::lease::NotHeld;

const DURATION_MS: Millis = Millis(1_000);
/// Clock rates in percent of true time.
const SLOW_CLOCK_PERCENT: u64 = 90;
const FAST_CLOCK_PERCENT: u64 = 110;

fn not_held(name: &str) -> Lease<NotHeld> {
    let holder = Holder {
        instance: name.to_owned(),
        boot_id: 1,
    };
    Lease::new(holder, DURATION_MS)
}

fn held(at: Millis) -> Lease<Held> {
    let AnyLease::NotHeld(mut lease) = not_held("a").observe(at, LeaseRead::Absent) else {
        panic!("expected a lease that is not held, because nothing was written yet");
    };
    lease.acquire(at).expect("an absent lease can be acquired");
    let AnyLease::Held(lease) = lease.acquired(at, 1) else {
        panic!("expected a held lease, because the write was confirmed");
    };
    lease
}

#[test]
fn successor_with_a_fast_clock_waits_for_a_holder_with_a_slow_clock() {
    let mut holder = held(Millis::ZERO);
    let write = holder.renew(Millis::ZERO);
    let AnyLease::Held(holder) = holder.renewed(Millis::ZERO, 2) else {
        panic!("expected a held lease, because the renewal was confirmed");
    };
    let read = LeaseRead::Found {
        version: 2,
        record: write.record,
    };
    let AnyLease::NotHeld(mut successor) = not_held("b").observe(Millis::ZERO, read) else {
        panic!("expected a lease that is not held, because another instance holds it");
    };
    for true_time in 0..2_000 {
        let holds = holder
            .token(Millis(true_time * SLOW_CLOCK_PERCENT / 100))
            .is_some();
        let can_acquire = successor
            .acquire(Millis(true_time * FAST_CLOCK_PERCENT / 100))
            .is_some();
        assert!(!(holds && can_acquire), "two holders at {true_time} ms");
    }
    assert!(successor.acquire(Millis(2_000)).is_some());
}

#[test]
fn renewal_is_measured_from_its_first_send() {
    let mut lease = held(Millis::ZERO);
    let first = lease.renew(Millis(100));
    assert_eq!(
        first,
        lease.renew(Millis(500)),
        "a further call returns the same write"
    );
    let AnyLease::Held(lease) = lease.renewed(Millis(900), 2) else {
        panic!("expected a held lease, because the renewal was confirmed in time");
    };
    assert_eq!(lease.expires_at(), Millis(1_100));
}

#[test]
fn read_confirms_a_renewal_whose_response_was_lost() {
    let mut lease = held(Millis::ZERO);
    let write = lease.renew(Millis(100));
    let read = LeaseRead::Found {
        version: 2,
        record: write.record,
    };
    let AnyLease::Held(lease) = lease.observe(Millis(700), &read) else {
        panic!("expected a held lease, because the renewal took effect");
    };
    assert_eq!(lease.expires_at(), Millis(1_100));
    assert!(lease.token(Millis(1_099)).is_some());
    assert!(lease.token(Millis(1_100)).is_none());
}

#[test]
fn confirmation_after_the_expiry_does_not_revive_the_lease() {
    let mut lease = held(Millis::ZERO);
    lease.renew(Millis(100));
    assert!(matches!(
        lease.renewed(Millis(1_100), 2),
        AnyLease::Expired(_)
    ));
}
