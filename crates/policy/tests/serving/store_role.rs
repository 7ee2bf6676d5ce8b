//! Guards against instances that follow one that does not know the state of the store: after an
//! outage, configurations were in force more than 2 s after their acknowledgement.

use std::collections::BTreeMap;

use arbutus_coord::Millis;
use arbutus_policy::serving::ownership::Member;
use arbutus_policy::serving::ownership::UnavailableInstances;
use arbutus_policy::serving::ownership::store_watcher;
use arbutus_policy::serving::store_role::StoreRole;
use arbutus_policy::serving::store_role::StoreRoleState;

/// How often an instance chooses, as in the serving path.
const CHOOSE_MS: u64 = 250;
/// How long a message between instances takes.
const DELAY_MS: u64 = 20;
/// How often a watching instance asks the store whether it answers.
const PROBE_MS: u64 = 500;
/// The longest time without a way to the state of the store: a call that fails late, the
/// confirmation and a list still fit into the 2 s of a configuration.
const LONGEST_GAP_MS: u64 = 1_200;

#[derive(Clone, Copy, Debug)]
enum Message {
    Ask,
    Confirm,
    Refuse { store_unreachable: bool },
}

struct Instance {
    role_state: StoreRoleState,
    /// Whether the store answers, as the instance knows, while it watches.
    answers: bool,
    /// When it had a way to the state of the store last.
    informed_at: u64,
    role_changes: usize,
}

struct Group {
    names: Vec<String>,
    instances: BTreeMap<String, Instance>,
    /// The messages by the time of their arrival: sender, receiver, content.
    messages: Vec<(u64, String, String, Message)>,
    longest_gap_ms: u64,
}

impl Group {
    fn new(count: usize) -> Self {
        let names: Vec<String> = (0..count).map(|index| format!("i{index}")).collect();
        let instance = |name: &String| Instance {
            role_state: StoreRoleState::new(name),
            answers: true,
            informed_at: 0,
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
        *instance.role_state.role() == StoreRole::Watcher && instance.answers
    }

    fn watchers(&self) -> Vec<&String> {
        let watching = self.names.iter().filter(|name| self.is_watching(name));
        watching.collect()
    }

    /// Plays from one time to another; `answers` tells whether the store answers an instance.
    fn play(&mut self, from: u64, to: u64, answers: impl Fn(u64, &str) -> bool) {
        for now in from..to {
            for index in 0..self.names.len() {
                let name = self.names[index].clone();
                let roles = self.roles();
                self.step(now, index, &name, answers(now, &name));
                self.deliver(now, &name);
                if self.roles() != roles {
                    self.instances
                        .get_mut(&name)
                        .expect("it is there")
                        .role_changes += 1;
                    self.tell_followers(now, &name);
                }
            }
            self.measure_gaps(now, &answers);
        }
    }

    fn roles(&self) -> Vec<StoreRole> {
        let instances = self.instances.values();
        instances.map(|all| all.role_state.role().clone()).collect()
    }

    fn step(&mut self, now: u64, index: usize, name: &str, answered: bool) {
        let phase = index as u64 * 37;
        let watches = *self.instances[name].role_state.role() == StoreRole::Watcher;
        if watches && (now + phase).is_multiple_of(PROBE_MS) {
            let instance = self.instances.get_mut(name).expect("it is there");
            let was_answered = instance.answers;
            instance.answers = answered;
            instance
                .role_state
                .record_store_status(Millis(now), answered);
            if was_answered && !answered {
                self.tell_followers(now, name);
            }
        }
        if (now + phase).is_multiple_of(CHOOSE_MS) {
            let member = |name| Member {
                name,
                failure_domain: "x",
            };
            let others = self.names.iter().filter(|other| *other != name);
            let others: Vec<Member<'_>> = others.map(|name| member(name)).collect();
            let instance = self.instances.get_mut(name).expect("it is there");
            let absences = UnavailableInstances::default();
            let candidate = store_watcher(
                Millis(now),
                member(name),
                false,
                &others,
                &absences,
                |other| {
                    instance
                        .role_state
                        .is_store_unreachable_from(Millis(now), other)
                },
            );
            for peer in instance.role_state.update_candidate(Millis(now), candidate) {
                self.messages
                    .push((now + DELAY_MS, name.to_owned(), peer, Message::Ask));
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
            let answer = self.refusal(name);
            let instance = self.instances.get_mut(name).expect("it is there");
            match message {
                Message::Ask => {
                    let answer = if is_watching {
                        Message::Confirm
                    } else {
                        answer
                    };
                    self.messages
                        .push((now + DELAY_MS, name.to_owned(), from, answer));
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
        let watches = *self.instances[name].role_state.role() == StoreRole::Watcher;
        Message::Refuse {
            store_unreachable: watches,
        }
    }

    /// Tells followers that an instance no longer knows the state of the store.
    fn tell_followers(&mut self, now: u64, name: &str) {
        if self.is_watching(name) {
            return;
        }
        for other in self.names.clone() {
            let role = self.instances[&other].role_state.role();
            if *role == StoreRole::Follower(name.to_owned()) {
                let refusal = self.refusal(name);
                self.messages
                    .push((now + DELAY_MS, name.to_owned(), other, refusal));
            }
        }
    }

    fn measure_gaps(&mut self, now: u64, answers: &impl Fn(u64, &str) -> bool) {
        for name in &self.names {
            let is_informed = match self.instances[name].role_state.role() {
                // A waiting call to a store that answers gets each change.
                StoreRole::Watcher => answers(now, name),
                StoreRole::Follower(peer) => self.is_watching(peer) && answers(now, peer),
            };
            let instance = self.instances.get_mut(name).expect("it is there");
            if is_informed || !answers(now, name) {
                instance.informed_at = now;
            }
            self.longest_gap_ms = self.longest_gap_ms.max(now - instance.informed_at);
        }
    }
}

#[test]
fn one_instance_of_a_group_watches() {
    let mut group = Group::new(9);
    group.play(0, 3_000, |_, _| true);
    assert_eq!(group.watchers().len(), 1);
    group.play(3_000, 20_000, |_, _| true);
    assert_eq!(group.watchers().len(), 1);
    let changes = group.instances.values().map(|all| all.role_changes);
    assert_eq!(changes.max(), Some(1), "roles change on a calm day");
}

#[test]
fn every_instance_knows_the_state_soon_after_an_outage() {
    for count in [2, 5, 9, 12] {
        let mut group = Group::new(count);
        group.play(0, 30_000, |now, _| !(8_000..16_000).contains(&now));
        assert!(
            group.longest_gap_ms <= LONGEST_GAP_MS,
            "{count}: {} ms",
            group.longest_gap_ms
        );
        assert_eq!(group.watchers().len(), 1);
    }
}

#[test]
fn no_instance_waits_long_for_one_that_the_store_turns_away() {
    // The store turns away the one that watches for all, or some of them, for some seconds.
    for turned_away in [1, 4, 7] {
        let mut group = Group::new(9);
        group.play(0, 5_000, |_, _| true);
        let mut away: Vec<String> = group.watchers().into_iter().cloned().collect();
        let others = group.names.iter().filter(|name| !away.contains(name));
        let others: Vec<String> = others.take(turned_away - 1).cloned().collect();
        away.extend(others);
        group.play(5_000, 30_000, |now, name| {
            !(8_000..16_000).contains(&now) || !away.iter().any(|other| other == name)
        });
        assert!(
            group.longest_gap_ms <= LONGEST_GAP_MS,
            "{turned_away}: {} ms",
            group.longest_gap_ms
        );
        assert_eq!(group.watchers().len(), 1);
    }
}

#[test]
fn an_instance_watches_until_the_one_it_asked_confirms() {
    let mut role_state = StoreRoleState::new("i0");
    assert_eq!(role_state.update_candidate(Millis(0), Some("i1")), ["i1"]);
    assert_eq!(*role_state.role(), StoreRole::Watcher);
    role_state.record_refusal(Millis(10), "i1", false);
    assert_eq!(*role_state.role(), StoreRole::Watcher);
    role_state.record_confirmation(Millis(20), "i1");
    assert_eq!(*role_state.role(), StoreRole::Follower("i1".to_owned()));
    // The next one is asked while the present one is still followed.
    assert_eq!(
        role_state.update_candidate(Millis(600), Some("i2")),
        ["i2", "i1"]
    );
    assert_eq!(*role_state.role(), StoreRole::Follower("i1".to_owned()));
    role_state.record_confirmation(Millis(620), "i2");
    assert_eq!(*role_state.role(), StoreRole::Follower("i2".to_owned()));
    // Without a confirmation the instance watches again.
    assert_eq!(
        role_state.update_candidate(Millis(1_400), Some("i2")),
        ["i2"]
    );
    assert_eq!(*role_state.role(), StoreRole::Follower("i2".to_owned()));
    role_state.update_candidate(Millis(1_700), Some("i2"));
    assert_eq!(*role_state.role(), StoreRole::Watcher);
}
