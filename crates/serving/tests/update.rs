//! Guards against an instance that holds the newest revision but lacks objects.
//!
//! This happens if an instance applies a change set after it has missed the previous one. It then
//! knows only some of the other instances, for example for 20 s after its start, and queues have
//! several owners.

use std::collections::BTreeMap;

use arbutus_platform::configuration::encode;
use arbutus_platform::store::ObjectChange;
use arbutus_platform::store::StoredObject;
use arbutus_serving::store_version::StoreVersion;
use arbutus_serving::update::ObjectCache;
use arbutus_serving::update::StateUpdate;
use arbutus_serving::update::UpdateContent;
use arbutus_serving::update::UpdateError;
use arbutus_standins::simulated_platform::example;
use arbutus_wire::frame::MAX_FRAME_BYTES;

fn version(revision: u64) -> StoreVersion {
    StoreVersion::new(1, revision)
}

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

fn names(cache: &ObjectCache) -> Vec<&str> {
    cache.objects().keys().map(String::as_str).collect()
}

/// Applies an update as a follower does.
fn apply_update(cache: &mut ObjectCache, update: StateUpdate) {
    if cache.can_apply(&update) {
        match update.content {
            UpdateContent::Objects(objects) => {
                cache.replace(update.version, objects);
            }
            UpdateContent::Changes { changes, .. } => {
                cache.apply_changes(update.version, changes);
            }
        }
    }
}

#[test]
fn ignores_changes_after_missed_update() {
    let mut watcher = ObjectCache::default();
    watcher.replace(version(16), objects(&["a", "b", "c"]));
    let mut follower = ObjectCache::default();
    follower.replace(version(3), objects(&["a"]));
    // The follower ignores the first update, which is sent before it follows the watcher.
    let missed_update = watcher
        .update_since(version(3), false)
        .expect("the watcher should have a newer revision");
    watcher.apply_changes(version(18), vec![written("d", 18)]);
    let next = watcher.update_since(missed_update.version, false);
    apply_update(
        &mut follower,
        next.expect("the watcher should have a newer revision"),
    );
    assert_eq!(
        (follower.version(), names(&follower)),
        (version(3), vec!["a"])
    );
    // An update from the revision that the follower knows contains all missing changes.
    let complete = watcher.update_since(follower.version(), false);
    apply_update(
        &mut follower,
        complete.expect("the watcher should have a newer revision"),
    );
    assert_eq!(follower.version(), version(18));
    assert_eq!(names(&follower), ["a", "b", "c", "d"]);
}

/// Guards against updates that lack changes. A follower whose revision is older than the recorded
/// changes needs all objects.
#[test]
fn update_has_all_objects_if_the_recorded_changes_are_not_enough() {
    let mut watcher = ObjectCache::default();
    watcher.replace(version(3), objects(&["a"]));
    watcher.apply_changes(version(5), vec![written("b", 5)]);
    watcher.apply_changes(version(8), vec![ObjectChange::Removed("a".to_owned())]);
    let update = watcher
        .update_since(version(5), false)
        .expect("the watcher should have a newer revision");
    let changes = vec![ObjectChange::Removed("a".to_owned())];
    assert_eq!(
        update.content,
        UpdateContent::Changes {
            from: version(5),
            changes
        }
    );
    assert_eq!(watcher.update_since(version(8), false), None);
    let update_before_list = watcher
        .update_since(version(2), false)
        .expect("the watcher should have a newer revision");
    let all = [("b".to_owned(), object("b", 5))].into();
    assert_eq!(update_before_list.content, UpdateContent::Objects(all));
}

/// Guards against a history that keeps dozens of copies of a configuration of 1 MB, which is more
/// than the smallest instances have memory for.
#[test]
fn history_keeps_only_the_last_change_of_each_object() {
    let mut watcher = ObjectCache::default();
    watcher.replace(version(3), objects(&["main", "other"]));
    watcher.apply_changes(version(5), vec![written("main", 5)]);
    watcher.apply_changes(version(8), vec![ObjectChange::Removed("other".to_owned())]);
    watcher.apply_changes(version(9), vec![written("main", 9)]);
    let update = watcher.update_since(version(3), false);
    let changes = vec![
        ObjectChange::Removed("other".to_owned()),
        written("main", 9),
    ];
    assert_eq!(
        update
            .expect("the watcher should have a newer revision")
            .content,
        UpdateContent::Changes {
            from: version(3),
            changes
        }
    );
}

/// Guards against a late response to a list call that undoes changes received in the meantime.
#[test]
fn older_list_does_not_undo_newer_changes() {
    let mut cache = ObjectCache::default();
    cache.replace(version(3), objects(&["a"]));
    cache.apply_changes(version(9), vec![written("b", 9)]);
    assert!(!cache.replace(version(5), objects(&["a"])));
    assert_eq!(names(&cache), ["a", "b"]);
    let empty = ObjectCache::default();
    assert_eq!(empty.update_since(version(0), false), None);
}

/// Guards against a configuration that takes seconds to send: the copies for all followers of an
/// instance have to fit on a link of 10 Mbit/s, and arrive unchanged.
#[test]
fn a_configuration_of_the_largest_size_is_compressed_to_a_fraction() {
    let configuration = example::configuration_with_more_routes(2, 3_600);
    let content = encode(&configuration).expect("the configuration can be encoded");
    let content_bytes = content.len();
    let update = StateUpdate {
        version: version(7),
        content: UpdateContent::Changes {
            from: version(3),
            changes: vec![ObjectChange::Written(StoredObject {
                content,
                ..object("main", 7)
            })],
        },
        after_outage: false,
    };
    assert!(update.is_worth_compressing());
    let compressed = update.compress().expect("the update can be compressed");
    assert!(
        compressed.len() * 8 < content_bytes,
        "{} of {content_bytes} bytes",
        compressed.len()
    );
    let decompressed = StateUpdate::decompress(&compressed);
    assert_eq!(decompressed.expect("the bytes are valid"), update);
}

/// Guards against bytes of a peer that exhaust the memory of an instance.
#[test]
fn malformed_and_oversized_updates_are_rejected() {
    assert!(matches!(
        StateUpdate::decompress(b"\xff\xff no deflate stream"),
        Err(UpdateError::Compression(_))
    ));
    let update = StateUpdate {
        version: version(1),
        content: UpdateContent::Objects(
            [(
                "main".to_owned(),
                StoredObject {
                    content: " ".repeat(MAX_FRAME_BYTES),
                    ..object("main", 1)
                },
            )]
            .into(),
        ),
        after_outage: false,
    };
    let compressed = update.compress().expect("the update can be compressed");
    assert!(compressed.len() < 64 * 1_024);
    assert!(matches!(
        StateUpdate::decompress(&compressed),
        Err(UpdateError::TooLarge)
    ));
}

/// Guards against a view that goes back, or stays, when the store comes back from an older copy: a
/// version of a later era is later whatever its revision, and what is from an earlier era changes
/// nothing, however late it arrives and over whichever instance.
#[test]
fn a_later_era_goes_first_whatever_its_revisions() {
    let returned = |revision| StoreVersion::new(2, revision);
    let mut watcher = ObjectCache::default();
    watcher.replace(version(900), objects(&["lost"]));
    let mut follower = ObjectCache::default();
    follower.replace(version(900), objects(&["lost"]));
    let delayed_objects = watcher.update_since(version(0), false);
    watcher.apply_changes(version(901), vec![written("lost-too", 901)]);
    let delayed_changes = watcher.update_since(version(900), false);
    assert!(watcher.replace(returned(300), objects(&["copied"])));
    // The same revision was given out in both eras.
    for known in [version(900), version(901), version(300), version(0)] {
        let update = watcher.update_since(known, false);
        apply_update(&mut follower, update.expect("the era has changed"));
        assert_eq!(names(&follower), ["copied"], "{known:?}");
        follower = ObjectCache::default();
        follower.replace(version(900), objects(&["lost"]));
    }
    apply_update(
        &mut follower,
        watcher
            .update_since(version(900), false)
            .expect("an update"),
    );
    for delayed in [delayed_objects, delayed_changes] {
        apply_update(&mut follower, delayed.expect("an update"));
        assert_eq!(
            (follower.version(), names(&follower)),
            (returned(300), vec!["copied"])
        );
    }
    assert!(!follower.replace(version(950), objects(&["late"])));
    assert!(!follower.apply_changes(version(950), vec![written("late", 950)]));
    watcher.apply_changes(returned(301), vec![written("new", 301)]);
    apply_update(
        &mut follower,
        watcher
            .update_since(returned(300), false)
            .expect("an update"),
    );
    assert_eq!(names(&follower), ["copied", "new"]);
    assert_eq!(watcher.update_since(returned(301), false), None);
}
