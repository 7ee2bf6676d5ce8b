//! Tests that documents never revert to lower versions, and that documents and drains converge in
//! any order of messages.

use std::env;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

use arbutus_coord::document::DeltaError;
use arbutus_coord::document::Document;
use arbutus_coord::document::DocumentKind;
use arbutus_coord::document::DocumentReply;
use arbutus_coord::document::DocumentStore;
use arbutus_coord::document::OfferOutcome;
use arbutus_coord::document::Version;
use arbutus_coord::drain::DrainEntry;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::drain::DrainTable;

const DEFAULT_SEED: u64 = 13;

fn check(property: impl Testable) {
    let seed = env::var("ARBUTUS_SEED").map_or(DEFAULT_SEED, |seed| {
        seed.parse().expect("ARBUTUS_SEED is a number")
    });
    println!("ARBUTUS_SEED={seed}");
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(30, seed))
        .quickcheck(property);
}

fn document(number: u8, content: u8) -> Document {
    Document {
        kind: DocumentKind::Configuration,
        number: u64::from(number % 8),
        content: vec![b'a', content % 4, b'b'],
    }
}

fn entry(raw: (u8, u8, bool)) -> DrainEntry {
    let name = format!("name-{}", raw.0 / 3 % 3);
    let subject = match raw.0 % 3 {
        0 => DrainSubject::FailureDomain(name),
        1 => DrainSubject::Instance(name),
        _ => DrainSubject::Target(name),
    };
    DrainEntry {
        subject,
        revision: u64::from(raw.1 % 5),
        drained: raw.2,
    }
}

fn table(entries: &[DrainEntry]) -> DrainTable {
    let mut table = DrainTable::new();
    table.merge(entries);
    table.verify().expect("the table is consistent");
    table
}

/// Guards against applying a lower version, and against instances that keep different contents of
/// the same version number.
#[test]
fn documents_never_revert_and_converge() {
    fn property(mut offers: Vec<(u8, u8)>) -> bool {
        let mut forward = DocumentStore::new("a");
        let mut backward = DocumentStore::new("a");
        let mut highest = 0;
        for &(number, content) in &offers {
            let before = forward.version(&DocumentKind::Configuration);
            let outcome = forward.offer(&document(number, content));
            let after = forward.version(&DocumentKind::Configuration);
            let applied = outcome == OfferOutcome::Applied;
            if after.number < before.number || applied != (after != before) {
                return false;
            }
            highest = highest.max(document(number, content).number);
        }
        offers.reverse();
        for (number, content) in offers {
            backward.offer(&document(number, content));
        }
        let current = forward.version(&DocumentKind::Configuration);
        current.number == highest && forward.versions() == backward.versions()
    }
    check(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a delta whose result differs from the content of the sender.
#[test]
fn applied_replies_give_the_content_of_the_sender_or_an_error() {
    fn property(contents: Vec<Vec<u8>>, last_received: usize, content_changes: bool) -> bool {
        let mut sender = DocumentStore::new("a");
        let mut receiver = DocumentStore::new("a");
        let kind = DocumentKind::Configuration;
        let count = contents.len();
        for (index, content) in contents.into_iter().enumerate() {
            let document = Document {
                kind: kind.clone(),
                number: index as u64 + 1,
                content,
            };
            sender.offer(&document);
            if index <= last_received % count {
                receiver.offer(&document);
            }
        }
        let reply = sender.reply_to_fetch(&kind, receiver.version(&kind));
        if content_changes && matches!(reply, DocumentReply::Delta(..)) {
            // The receiver's document changes between its request and the reply.
            receiver.offer(&Document {
                kind: kind.clone(),
                number: count as u64,
                content: vec![1, 2, 3, 4, 5, 6, 7],
            });
            return receiver.apply_reply(&reply) == Err(DeltaError::BaseMismatch);
        }
        receiver.apply_reply(&reply).is_ok() && receiver.get(&kind) == sender.get(&kind)
    }
    check(property as fn(Vec<Vec<u8>>, usize, bool) -> bool);
}

/// Guards against deltas that contain almost the whole content because it changes near both ends.
#[test]
fn a_document_that_changes_in_three_places_is_sent_as_a_small_delta() {
    let kind = DocumentKind::Configuration;
    let mut sender = DocumentStore::new("a");
    let mut receiver = DocumentStore::new("a");
    for number in 1..3_u32 {
        let lines =
            (0..2_000_u32).map(|line| format!("line {line}: {}\n", line.wrapping_mul(line)));
        let lines: String = lines.collect();
        let (first, second) = lines.split_at(lines.len() / 2);
        let text = format!("author {number}\n{first}changed {number}\n{second}time {number}\n");
        let document = Document {
            kind: kind.clone(),
            number: u64::from(number),
            content: text.into_bytes(),
        };
        sender.offer(&document);
        if number == 1 {
            receiver.offer(&document);
        }
    }
    let reply = sender.reply_to_fetch(&kind, receiver.version(&kind));
    let bytes = postcard::to_extend(&reply, Vec::new()).expect("the reply is encodable");
    assert!(bytes.len() < 400, "the reply has {} bytes", bytes.len());
    assert_eq!(receiver.apply_reply(&reply), Ok(OfferOutcome::Applied));
    assert_eq!(receiver.get(&kind), sender.get(&kind));
}

/// Guards against conflicts that are not counted, and against resolving them other than by the
/// smaller hash, which would make instances keep different contents.
#[test]
fn two_contents_with_the_same_version_number_are_counted() {
    let mut store = DocumentStore::new("a");
    store.offer(&document(3, 1));
    let current = store.version(&DocumentKind::Configuration);
    let outcome = store.offer(&document(3, 2));
    let second = document(3, 2).version();
    let replaced = second.content_hash < current.content_hash;
    assert_eq!(outcome == OfferOutcome::Applied, replaced);
    assert_eq!(outcome == OfferOutcome::Conflict, !replaced);
    assert_eq!(store.conflicts(), 1);
    assert!(!Version::default().replaces(Version::default()));
}

/// Guards against drain tables that depend on the order, grouping or repetition of messages.
#[test]
fn drains_converge_in_any_order() {
    fn property(raw: Vec<(u8, u8, bool)>, split: usize) -> bool {
        let entries: Vec<DrainEntry> = raw.into_iter().map(entry).collect();
        let merged_once = table(&entries);
        let reversed: Vec<DrainEntry> = entries.iter().rev().cloned().collect();
        let (left, right) = entries.split_at(split % (entries.len() + 1));
        let mut grouped = table(right);
        let left: Vec<DrainEntry> = table(left).entries().collect();
        grouped.merge(&left);
        let known: Vec<DrainEntry> = merged_once.entries().collect();
        merged_once == table(&reversed)
            && merged_once == grouped
            && merged_once.digest() == grouped.digest()
            && !grouped.merge(&known)
            && !grouped.merge(&entries)
    }
    check(property as fn(Vec<(u8, u8, bool)>, usize) -> bool);
}

/// Guards against a new entry that does not take effect, and against a tie that returns a subject
/// to service.
#[test]
fn new_entries_take_effect_and_ties_resolve_to_drained() {
    fn property(raw: Vec<(u8, u8, bool)>, subject: (u8, u8, bool), drained: bool) -> bool {
        let entries: Vec<DrainEntry> = raw.into_iter().map(entry).collect();
        let mut table = table(&entries);
        let subject = entry(subject).subject;
        let next = table.next_entry(subject.clone(), drained);
        let changed = table.merge(std::slice::from_ref(&next));
        let effective = changed && table.is_drained(&subject) == drained;
        let tie = DrainEntry {
            drained: !drained,
            ..next
        };
        table.merge(&[tie]);
        effective && table.is_drained(&subject) && table.verify().is_ok()
    }
    check(property as fn(Vec<(u8, u8, bool)>, (u8, u8, bool), bool) -> bool);
}
