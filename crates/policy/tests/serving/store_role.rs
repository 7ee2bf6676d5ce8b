//! Guards against followers of an instance that gets no updates from the store itself. After a
//! store outage, such followers apply a configuration more than 2 s after the store acknowledged
//! it.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_policy::serving::ownership::Member;
use arbutus_policy::serving::ownership::UnavailableInstances;
use arbutus_policy::serving::ownership::preferred_watcher;
use arbutus_policy::serving::store_role::StoreRole;
use arbutus_policy::serving::store_role::StoreRoleState;

/// Interval at which an instance selects its preferred watcher, the same as in `arbutus-serving`.
const SELECTION_INTERVAL_MS: u64 = 250;
/// Delay of a message between instances.
const MESSAGE_DELAY_MS: u64 = 20;
/// Interval at which a watcher probes the store.
const PROBE_INTERVAL_MS: u64 = 500;
/// Longest time that an instance may be without a source of updates. A call that fails late, the
/// confirmation and a list then still fit into the 2 s within which a configuration must apply.
const MAX_GAP_MS: u64 = 1_200;

#[derive(Clone, Copy, Debug)]
enum Message {
    Ask,
    Confirm,
    Refuse { store_unreachable: bool },
}

struct Instance {
    role_state: StoreRoleState,
    /// Whether the store responded to the last probe.
    store_responds: bool,
    /// When the instance last had a working source of updates, or the store did not respond to it.
    last_had_source_at: u64,
    role_changes: usize,
}

/// Instances of one failure domain that select their watchers among themselves.
struct Group {
    names: Vec<String>,
    instances: BTreeMap<String, Instance>,
    /// Messages in transit: time of arrival, sender, receiver and content.
    messages: Vec<(u64, String, String, Message)>,
    /// Longest time that an instance was without a working source of updates while the store
    /// responded to it.
    longest_gap_ms: u64,
}

impl Group {
    fn new(count: usize) -> Self {
        let names: Vec<String> = (0..count).map(|index| format!("i{index}")).collect();
        let instance = |name: &String| Instance {
            role_state: StoreRoleState::new(name),
            store_responds: true,
            last_had_source_at: 0,
            role_changes: 0,
        };
        Self {
            instances: names
                .iter()
                .map(|name| (name.clone(), instance(name)))
                .collect(),
            names,
            messages: Vec::new(),
            longest_gap_ms: 0,
        }
    }

    fn is_watching(&self, name: &str) -> bool {
        let instance = &self.instances[name];
        *instance.role_state.role() == StoreRole::Watcher && instance.store_responds
    }

    fn watchers(&self) -> Vec<&String> {
        let watching = self.names.iter().filter(|name| self.is_watching(name));
        watching.collect()
    }

    /// Simulates a span of time; `store_responds` tells whether the store responds to an instance.
    fn run(&mut self, from: u64, to: u64, store_responds: impl Fn(u64, &str) -> bool) {
        for now in from..to {
            for index in 0..self.names.len() {
                let name = self.names[index].clone();
                let roles = self.roles();
                self.step(now, index, &name, store_responds(now, &name));
                self.deliver(now, &name);
                if self.roles() != roles {
                    self.instances
                        .get_mut(&name)
                        .expect("the instance exists")
                        .role_changes += 1;
                    self.notify_followers(now, &name);
                }
            }
            self.measure_gaps(now, &store_responds);
        }
    }

    fn roles(&self) -> Vec<StoreRole> {
        let instances = self.instances.values();
        instances
            .map(|instance| instance.role_state.role().clone())
            .collect()
    }

    fn step(&mut self, now: u64, index: usize, name: &str, store_responded: bool) {
        let phase = index as u64 * 37;
        let is_watcher = *self.instances[name].role_state.role() == StoreRole::Watcher;
        if is_watcher && (now + phase).is_multiple_of(PROBE_INTERVAL_MS) {
            let instance = self.instances.get_mut(name).expect("the instance exists");
            let store_responded_before = instance.store_responds;
            instance.store_responds = store_responded;
            instance
                .role_state
                .record_store_status(Millis(now), store_responded);
            if store_responded_before && !store_responded {
                self.notify_followers(now, name);
            }
        }
        if (now + phase).is_multiple_of(SELECTION_INTERVAL_MS) {
            let member = |name| Member {
                name,
                failure_domain: "x",
                link_mbps: 0,
            };
            let others = self.names.iter().filter(|other| *other != name);
            let others: Vec<Member<'_>> = others.map(|name| member(name)).collect();
            let instance = self.instances.get_mut(name).expect("the instance exists");
            let unavailable = UnavailableInstances::default();
            let preferred = preferred_watcher(
                Millis(now),
                member(name),
                false,
                &others,
                &unavailable,
                |other| {
                    instance
                        .role_state
                        .is_store_unreachable_from(Millis(now), other)
                },
            );
            for peer in instance
                .role_state
                .set_preferred_watcher(Millis(now), preferred)
            {
                self.messages
                    .push((now + MESSAGE_DELAY_MS, name.to_owned(), peer, Message::Ask));
            }
        }
    }

    fn deliver(&mut self, now: u64, name: &str) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, _, to, _)| *at <= now && to == name);
        self.messages = later;
        let due: Vec<(u64, String, String, Message)> = due;
        for (_, from, _, message) in due {
            let is_watching = self.is_watching(name);
            let reply = self.refusal(name);
            let instance = self.instances.get_mut(name).expect("the instance exists");
            match message {
                Message::Ask => {
                    let reply = if is_watching { Message::Confirm } else { reply };
                    self.messages
                        .push((now + MESSAGE_DELAY_MS, name.to_owned(), from, reply));
                }
                Message::Confirm => instance.role_state.record_confirmation(Millis(now), &from),
                Message::Refuse { store_unreachable } => {
                    instance
                        .role_state
                        .record_refusal(Millis(now), &from, store_unreachable);
                }
            }
        }
    }

    fn refusal(&self, name: &str) -> Message {
        let is_watcher = *self.instances[name].role_state.role() == StoreRole::Watcher;
        Message::Refuse {
            store_unreachable: is_watcher,
        }
    }

    /// Sends a refusal to the followers of an instance that no longer gets updates from the store.
    fn notify_followers(&mut self, now: u64, name: &str) {
        if self.is_watching(name) {
            return;
        }
        for other in self.names.clone() {
            let role = self.instances[&other].role_state.role();
            if *role == StoreRole::Follower(name.to_owned()) {
                let refusal = self.refusal(name);
                self.messages
                    .push((now + MESSAGE_DELAY_MS, name.to_owned(), other, refusal));
            }
        }
    }

    fn measure_gaps(&mut self, now: u64, store_responds: &impl Fn(u64, &str) -> bool) {
        for name in &self.names {
            let has_source = match self.instances[name].role_state.role() {
                // The pending watch call of a watcher returns each change while the store responds.
                StoreRole::Watcher => store_responds(now, name),
                StoreRole::Follower(peer) => self.is_watching(peer) && store_responds(now, peer),
            };
            let instance = self.instances.get_mut(name).expect("the instance exists");
            if has_source || !store_responds(now, name) {
                instance.last_had_source_at = now;
            }
            self.longest_gap_ms = self.longest_gap_ms.max(now - instance.last_had_source_at);
        }
    }
}

#[test]
fn one_instance_of_a_group_watches_the_store() {
    let mut group = Group::new(9);
    group.run(0, 3_000, |_, _| true);
    assert_eq!(group.watchers().len(), 1);
    group.run(3_000, 20_000, |_, _| true);
    assert_eq!(group.watchers().len(), 1);
    let changes = group
        .instances
        .values()
        .map(|instance| instance.role_changes);
    assert_eq!(changes.max(), Some(1), "roles change without a failure");
}

#[test]
fn every_instance_gets_updates_soon_after_a_store_outage() {
    for count in [2, 5, 9, 12] {
        let mut group = Group::new(count);
        group.run(0, 30_000, |now, _| !(8_000..16_000).contains(&now));
        assert!(
            group.longest_gap_ms <= MAX_GAP_MS,
            "{count}: {} ms",
            group.longest_gap_ms
        );
        assert_eq!(group.watchers().len(), 1);
    }
}

#[test]
fn followers_get_updates_soon_after_the_store_refuses_the_calls_of_their_watcher() {
    // For some seconds, the store refuses the calls of the watcher or of several instances
    // including the watcher.
    for refused_count in [1, 4, 7] {
        let mut group = Group::new(9);
        group.run(0, 5_000, |_, _| true);
        let mut refused: Vec<String> = group.watchers().into_iter().cloned().collect();
        let others = group.names.iter().filter(|name| !refused.contains(name));
        let others: Vec<String> = others.take(refused_count - 1).cloned().collect();
        refused.extend(others);
        group.run(5_000, 30_000, |now, name| {
            !(8_000..16_000).contains(&now) || !refused.iter().any(|other| other == name)
        });
        assert!(
            group.longest_gap_ms <= MAX_GAP_MS,
            "{refused_count}: {} ms",
            group.longest_gap_ms
        );
        assert_eq!(group.watchers().len(), 1);
    }
}

#[test]
fn an_instance_watches_the_store_until_the_asked_watcher_confirms() {
    let mut role_state = StoreRoleState::new("i0");
    assert_eq!(
        role_state.set_preferred_watcher(Millis(0), Some("i1")),
        ["i1"]
    );
    assert_eq!(*role_state.role(), StoreRole::Watcher);
    role_state.record_refusal(Millis(10), "i1", false);
    assert_eq!(*role_state.role(), StoreRole::Watcher);
    role_state.record_confirmation(Millis(20), "i1");
    assert_eq!(*role_state.role(), StoreRole::Follower("i1".to_owned()));
    // The next watcher is asked while the current one is still followed.
    assert_eq!(
        role_state.set_preferred_watcher(Millis(600), Some("i2")),
        ["i2", "i1"]
    );
    assert_eq!(*role_state.role(), StoreRole::Follower("i1".to_owned()));
    role_state.record_confirmation(Millis(620), "i2");
    assert_eq!(*role_state.role(), StoreRole::Follower("i2".to_owned()));
    // Without a new confirmation, the instance watches the store itself again.
    assert_eq!(
        role_state.set_preferred_watcher(Millis(1_400), Some("i2")),
        ["i2"]
    );
    assert_eq!(*role_state.role(), StoreRole::Follower("i2".to_owned()));
    role_state.set_preferred_watcher(Millis(1_700), Some("i2"));
    assert_eq!(*role_state.role(), StoreRole::Watcher);
}

/// Guards against a follower that leaves its watcher while a long update arrives, behind which the
/// confirmations wait, and that asks another instance for the same update.
#[test]
fn a_follower_keeps_its_watcher_while_an_update_arrives() {
    let mut role_state = StoreRoleState::new("i0");
    role_state.set_preferred_watcher(Millis(0), Some("i1"));
    role_state.record_confirmation(Millis(20), "i1");
    let followed = StoreRole::Follower("i1".to_owned());
    for now in (300..3_000).step_by(300) {
        role_state.record_progress(Millis(now), "i1");
        // Progress of another instance says nothing about the watcher.
        role_state.record_progress(Millis(now), "i2");
        role_state.set_preferred_watcher(Millis(now + 250), Some("i1"));
        assert_eq!(*role_state.role(), followed, "{now} ms");
    }
    role_state.record_progress(Millis(3_600), "i2");
    role_state.set_preferred_watcher(Millis(3_700), Some("i1"));
    assert_eq!(*role_state.role(), StoreRole::Watcher);
}
