//! Guards against a watcher of the store that misses changes, because the store has lost the response
//! of a watch and its connection stays open.

use std::env;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use arbutus_coord::Millis;
use arbutus_policy::serving::pending_watch::PendingWatch;
use arbutus_policy::serving::pending_watch::ReportedChanges;

/// Interval at which the revision of the store is read, the same as in `arbutus-serving`.
const READ_INTERVAL_MS: u64 = 1_500;
/// Longest time that a change may be unknown. Changes must take effect within 3 s, of which reading
/// them and passing them on to followers takes up to 1 s.
const MAX_AGE_MS: u64 = 2_000;
const STEP_MS: u64 = 10;
const DEFAULT_SEED: u64 = 20_261_205;

fn random() -> ChaCha8Rng {
    let text = env::var("ARBUTUS_SEED").ok();
    let seed = text.map_or(DEFAULT_SEED, |text| text.parse().expect("a number"));
    println!("ARBUTUS_SEED={seed}");
    ChaCha8Rng::seed_from_u64(seed)
}

/// A watch of one of several kinds of objects at a store that loses responses.
struct Watcher {
    watch: PendingWatch,
    has_lost_response: bool,
    check_count: usize,
}

impl Watcher {
    /// Takes the response of the watch, or of a check, up to a revision.
    fn receive(&mut self, revision: u64) {
        self.watch = PendingWatch::new(revision);
        self.has_lost_response = false;
    }
}

/// Plays a minute with changes at random times. Returns the longest time that a change of the watched
/// kind was unknown, and the number of checks.
fn play(random: &mut ChaCha8Rng, change_share: f64, loss_share: f64) -> (u64, usize) {
    let mut watcher = Watcher {
        watch: PendingWatch::new(100),
        has_lost_response: false,
        check_count: 0,
    };
    let (mut store_revision, mut unknown_since, mut longest_ms) = (100, None, 0);
    let mut own_revision = 100;
    for now in (0..60_000).step_by(STEP_MS as usize) {
        if random.random_bool(change_share) {
            store_revision += random.random_range(1..4);
            if random.random_bool(0.5) {
                own_revision = store_revision;
                unknown_since.get_or_insert(now);
                watcher.has_lost_response |= random.random_bool(loss_share);
                if !watcher.has_lost_response {
                    watcher.receive(store_revision);
                }
            }
        }
        if now % READ_INTERVAL_MS == 0 {
            let at = Millis(now);
            watcher.watch.record_store_revision(at, store_revision);
        }
        if watcher.watch.check_due_at() == Some(Millis(now)) {
            watcher.check_count += 1;
            if own_revision > watcher.watch.revision() {
                watcher.receive(store_revision);
            } else {
                watcher.watch.record_unchanged(store_revision);
            }
        }
        if own_revision <= watcher.watch.revision() {
            unknown_since = None;
        }
        if let Some(since) = unknown_since {
            longest_ms = longest_ms.max(now - since);
        }
    }
    (longest_ms, watcher.check_count)
}

#[test]
fn changes_whose_watch_response_is_lost_are_known_in_time() {
    let mut random = random();
    for change_share in [0.0005, 0.005, 0.05] {
        for loss_share in [0.1, 0.5, 1.0] {
            let (longest_ms, check_count) = play(&mut random, change_share, loss_share);
            assert!(longest_ms <= MAX_AGE_MS, "unknown for {longest_ms} ms");
            // At most one check for each time that the revision was read.
            assert!(check_count <= 40, "{check_count} checks");
        }
    }
}

#[test]
fn changes_that_other_watches_have_reported_cost_no_check() {
    let mut reported = ReportedChanges::default();
    let mut watch = PendingWatch::new(100);
    watch.record_store_revision(Millis(1_000), 103);
    assert_eq!(watch.check_due_at(), Some(Millis(1_300)));
    reported.record(101);
    reported.record(103);
    // The change at 102 may be of the watched kind.
    assert!(!watch.is_explained_by(&reported));
    assert_eq!(watch.check_due_at(), Some(Millis(1_300)));
    reported.record(102);
    assert!(watch.is_explained_by(&reported));
    assert_eq!((watch.check_due_at(), watch.revision()), (None, 103));
    watch.record_store_revision(Millis(2_000), 104);
    assert!(!watch.is_explained_by(&reported));
    assert_eq!(watch.check_due_at(), Some(Millis(2_300)));
}

#[test]
fn a_store_without_changes_costs_no_checks() {
    let mut random = random();
    assert_eq!(play(&mut random, 0.0, 0.0), (0, 0));
}
