//! Guards against refusals that say `not run` for a call that ran (P5): without targets, without
//! the platform, and during a shutdown; and against a request that takes down every target.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::deployment::Answer;
use crate::deployment::BOOKINGS;
use crate::deployment::BOUND;
use crate::deployment::DEPOSIT;
use crate::deployment::Deployment;
use crate::deployment::LOOKUP;
use crate::deployment::LOOKUPS;
use crate::deployment::PATIENCE;
use crate::deployment::eventually;
use crate::deployment::targets;

const CALLERS: usize = 6;
/// A shared entry of the quarantine travels to the other instances by one datagram.
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// The failures that quarantine a request.
const CRASHES: usize = 2;

fn book(deployment: &Deployment, instance: SocketAddr, key: &str) -> Option<Answer> {
    deployment.request(instance, DEPOSIT, Some(key), &json!({ "marker": key }))
}

/// Checks an answer against the targets; an answer that says nothing allows everything.
fn assert_true(deployment: &Deployment, key: &str, answer: Option<&Answer>) {
    let runs = deployment.executions(key);
    assert!(runs <= 1, "{key} ran {runs} times");
    let Some(answer) = answer else { return };
    let is_refused = answer.body["executed"] == "no";
    assert!(
        !is_refused || runs == 0,
        "{key} was refused and ran: {answer:?}"
    );
    assert!(
        answer.status != 200 || runs == 1,
        "{key} did not run: {answer:?}"
    );
}

fn count(answers: &[(String, Option<Answer>)], accepts: impl Fn(&Answer) -> bool) -> usize {
    let answers = answers.iter().filter_map(|(_, answer)| answer.as_ref());
    answers.filter(|answer| accepts(answer)).count()
}

/// Bookings run while the platform goes down and comes back, and while an instance shuts down.
#[test]
fn refusals_during_an_outage_and_a_shutdown_are_true() {
    let services = vec![targets(BOOKINGS, 1, "--service-ms 30 --cold-ms 0")];
    let mut deployment = Deployment::start("refuse-busy", &["arita", "hakata"], 2, services);
    let mut leaver = deployment.fleet.instances.remove(0);
    let mut all = deployment.fleet.instance_addresses();
    all.push(leaver.settings.http_address);
    let answers = Mutex::new(Vec::new());
    let ended = AtomicBool::new(false);
    let caller = |caller: usize| {
        for number in 0.. {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            let key = format!("{caller}-{number}");
            let answer = book(&deployment, all[(caller + number) % all.len()], &key);
            answers
                .lock()
                .expect("no caller panicked")
                .push((key, answer));
            thread::sleep(Duration::from_millis(20));
        }
    };
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let caller = &caller;
            scope.spawn(move || caller(number));
        }
        thread::sleep(Duration::from_secs(1));
        deployment.platform_faults(&json!({"outage": "closed"}));
        thread::sleep(Duration::from_millis(1_500));
        deployment.platform_faults(&json!({"outage": "none"}));
        thread::sleep(Duration::from_millis(500));
        leaver.process.terminate().expect("the signal is sent");
        let ended_in_time = leaver.process.wait(PATIENCE).expect("it can be waited for");
        ended.store(true, Ordering::SeqCst);
        assert!(ended_in_time.is_some_and(|status| status.success()));
    });
    let answers = answers.into_inner().expect("no caller panicked");
    for (key, answer) in &answers {
        assert_true(&deployment, key, answer.as_ref());
    }
    let refused = count(&answers, |answer| answer.body["executed"] == "no");
    let done = count(&answers, |answer| answer.status == 200);
    println!(
        "{done} of {} bookings were done, {refused} refused",
        answers.len()
    );
    assert!(done > 0 && refused > 0, "the faults had no effect");
    deployment.stop();
}

/// Bookings are in progress when their target is killed, and others come when none is left.
#[test]
fn only_calls_that_reached_no_target_are_refused_as_not_run() {
    let services = vec![targets(BOOKINGS, 1, "--service-ms 1500 --cold-ms 0")];
    let mut deployment = Deployment::start("refuse-killed", &["arita"], 2, services);
    let mut target = deployment.fleet.targets.remove(0);
    let all = deployment.fleet.instance_addresses();
    let in_flight = || {
        deployment
            .fleet
            .get(target.address, "/v1/load")
            .expect("it answers")
    };
    thread::scope(|scope| {
        let caller = |number: usize| {
            let (deployment, instance) = (&deployment, all[number % all.len()]);
            scope.spawn(move || book(deployment, instance, &format!("sent-{number}")))
        };
        let callers: Vec<_> = (0..CALLERS).map(caller).collect();
        eventually(BOUND, "the bookings run", || {
            in_flight()["in_flight"].as_u64() == Some(CALLERS as u64)
        });
        target.process.kill().expect("the target is killed");
        for caller in callers {
            let answer = caller
                .join()
                .expect("it ends")
                .expect("the instance answers");
            // The target may have had an effect before it was killed.
            assert_eq!(answer.body["executed"], "unknown", "{answer:?}");
        }
    });
    for (number, &instance) in all.iter().enumerate() {
        let answer = book(&deployment, instance, &format!("late-{number}"));
        let answer = answer.expect("the instance answers");
        assert_eq!(answer.body["executed"], "no", "{answer:?}");
        let again = book(&deployment, instance, "sent-0").expect("the instance answers");
        assert_eq!(again.body["executed"], "unknown", "{again:?}");
    }
    deployment.stop();
}

fn running_targets(deployment: &mut Deployment, service: &str) -> usize {
    let mut running = 0;
    for target in &mut deployment.fleet.targets {
        let ended = target
            .process
            .wait(Duration::ZERO)
            .expect("it can be waited for");
        running += usize::from(target.service == service && ended.is_none());
    }
    running
}

/// A request that crashes each target is sent again through all instances, under new keys too.
#[test]
fn request_that_crashes_targets_is_quarantined() {
    let options = "--service-ms 20 --cold-ms 0";
    let services = vec![targets(LOOKUPS, 3, options), targets(BOOKINGS, 3, options)];
    let mut deployment = Deployment::start("refuse-crash", &["arita", "hakata"], 2, services);
    let all = deployment.fleet.instance_addresses();
    let crash = json!({"crash_on": "poison"});
    for (service, pipeline) in [(LOOKUPS, LOOKUP), (BOOKINGS, DEPOSIT)] {
        deployment.target_faults(service, &crash);
        let body = json!({ "marker": format!("poison-{service}") });
        for round in 0..3 {
            for (number, &instance) in all.iter().enumerate() {
                let key = format!("{service}-{round}-{number}");
                let key = (pipeline == DEPOSIT).then_some(key.as_str());
                let answer = deployment.request(instance, pipeline, key, &body);
                let answer = answer.expect("the instance answers");
                println!(
                    "{pipeline}: {} {} {}",
                    answer.status, answer.body["executed"], answer.body["title"]
                );
                assert_ne!(answer.status, 200, "{answer:?}");
                if round > 0 {
                    let kind = "urn:arbutushaven:problem:quarantined";
                    assert_eq!(
                        (&answer.body["type"], &answer.body["executed"]),
                        (&json!(kind), &json!("no")),
                        "{answer:?}"
                    );
                }
                thread::sleep(RESEND_PAUSE);
            }
        }
        let running = running_targets(&mut deployment, service);
        println!("{running} of 6 targets of {service} run");
        assert!(
            running >= 6 - CRASHES,
            "{running} of 6 targets of {service} run"
        );
    }
    for instance in all {
        let answer = deployment.request(instance, LOOKUP, None, &json!({ "marker": "healthy" }));
        assert_eq!(answer.expect("the instance answers").status, 200);
        let key = format!("healthy-{instance}");
        let answer = book(&deployment, instance, &key);
        assert_true(&deployment, &key, answer.as_ref());
        assert_eq!(answer.expect("the instance answers").status, 200);
    }
    deployment.stop();
}
