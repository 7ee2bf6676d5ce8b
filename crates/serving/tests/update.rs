//! Guards against an instance that holds the newest revision but lacks objects: some instances knew
//! few of the others for 20 s after the start, and queues had several owners.

use std::collections::BTreeMap;

use arbutus_platform::store::ObjectChange;
use arbutus_platform::store::StoredObject;
use arbutus_serving::update::KnownObjects;
use arbutus_serving::update::StateUpdate;
use arbutus_serving::update::UpdateContent;

fn object(name: &str, revision: u64) -> StoredObject {
    StoredObject {
        name: name.to_owned(),
        revision,
        content: "{}".to_owned(),
    }
}

fn objects(names: &[&str]) -> BTreeMap<String, StoredObject> {
    let all = names
        .iter()
        .map(|name| ((*name).to_owned(), object(name, 1)));
    all.collect()
}

fn written(name: &str, revision: u64) -> ObjectChange {
    ObjectChange::Written(object(name, revision))
}

fn names(known: &KnownObjects) -> Vec<&str> {
    known.objects().keys().map(String::as_str).collect()
}

/// Takes an update over as a follower does.
fn offer(known: &mut KnownObjects, update: StateUpdate) {
    if known.continues(&update) {
        match update.content {
            UpdateContent::Objects(objects) => {
                known.replace(update.revision, objects);
            }
            UpdateContent::Changes { changes, .. } => known.change(update.revision, changes),
        }
    }
}

#[test]
fn changes_after_a_missed_update_are_not_taken_over() {
    let mut followed = KnownObjects::default();
    followed.replace(16, objects(&["a", "b", "c"]));
    let mut behind = KnownObjects::default();
    behind.replace(3, objects(&["a"]));
    // The first update is sent, but the other instance does not follow yet.
    let missed = followed.newer_than(3, false).expect("it is newer");
    followed.change(18, vec![written("d", 18)]);
    let next = followed.newer_than(missed.revision, false);
    offer(&mut behind, next.expect("it is newer"));
    assert_eq!((behind.revision(), names(&behind)), (3, vec!["a"]));
    // What it states next brings all of it.
    let whole = followed.newer_than(behind.revision(), false);
    offer(&mut behind, whole.expect("it is newer"));
    assert_eq!(behind.revision(), 18);
    assert_eq!(names(&behind), ["a", "b", "c", "d"]);
}

#[test]
fn an_instance_that_follows_closely_gets_changes_only() {
    let mut followed = KnownObjects::default();
    followed.replace(3, objects(&["a"]));
    followed.change(5, vec![written("b", 5)]);
    followed.change(8, vec![ObjectChange::Removed("a".to_owned())]);
    let update = followed.newer_than(5, false).expect("it is newer");
    let changes = vec![ObjectChange::Removed("a".to_owned())];
    assert_eq!(update.content, UpdateContent::Changes { from: 5, changes });
    assert_eq!(followed.newer_than(8, false), None);
    let before_the_list = followed.newer_than(2, false).expect("it is newer");
    let all = [("b".to_owned(), object("b", 5))].into();
    assert_eq!(before_the_list.content, UpdateContent::Objects(all));
}

#[test]
fn an_older_list_does_not_undo_newer_changes() {
    let mut known = KnownObjects::default();
    known.replace(3, objects(&["a"]));
    known.change(9, vec![written("b", 9)]);
    assert!(!known.replace(5, objects(&["a"])));
    assert_eq!(names(&known), ["a", "b"]);
    let older = KnownObjects::default();
    assert_eq!(older.newer_than(0, false), None);
}
