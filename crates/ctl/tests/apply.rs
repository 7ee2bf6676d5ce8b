//! Guards against commits that are lost, made twice or reported wrongly, whatever happens to the
//! answers of the platform and however many operators commit at once.

mod support;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;

use serde_json::Value;
use serde_json::json;

use arbutus_config::CommitMetadata;
use arbutus_config::CommittedConfig;
use arbutus_standins::client::Client;
use arbutus_standins::http::Exchange;
use arbutus_standins::http::Handler;
use arbutus_standins::http::HttpServer;
use arbutus_standins::http::bind;
use arbutus_standins::platform::Platform;
use support::Run;
use support::Scratch;
use support::closed_address;
use support::ctl;
use support::loopback;

const MAX_BODY_BYTES: usize = 1_000_000;

fn apply(platform: SocketAddr, files: &Scratch, more: &[&str]) -> Run {
    let platform = platform.to_string();
    let mut arguments = vec![
        "apply",
        "--platform",
        &platform,
        "--json",
        "--author",
        "mei",
    ];
    arguments.extend(more);
    arguments.push(files.directory());
    ctl(&arguments)
}

fn file(files: &Scratch, name: &str) -> String {
    format!("{}/{name}", files.directory())
}

fn history(platform: SocketAddr) -> Value {
    ctl(&["history", "--platform", &platform.to_string(), "--json"]).json()
}

fn generations(history: &Value) -> Vec<u64> {
    let entries = history.as_array().into_iter().flatten();
    entries
        .filter_map(|entry| entry["generation"].as_u64())
        .collect()
}

#[test]
fn generations_are_committed_listed_compared_and_restored() {
    let platform = Platform::start(loopback()).expect("a port is free");
    let address = platform.address();
    let first = Scratch::with_weight(1);
    let second = Scratch::with_weight(2);
    assert_eq!(apply(address, &first, &[]).json()["generation"], 1);
    let repeated = apply(address, &first, &[]);
    assert_eq!(
        (repeated.status, &repeated.json()["outcome"]),
        (0, &json!("unchanged"))
    );
    assert_eq!(apply(address, &second, &[]).json()["generation"], 2);

    let stale = apply(address, &first, &["--parent", "1"]);
    assert_eq!(
        (stale.status, &stale.json()["outcome"]),
        (1, &json!("conflict"))
    );

    let platform_text = address.to_string();
    let diff = ctl(&[
        "diff",
        "--platform",
        &platform_text,
        "--json",
        first.directory(),
    ]);
    let expected = json!([{
        "part": "base",
        "path": "organisations.island-studios.weight",
        "before": "2",
        "after": "1",
    }]);
    assert_eq!(diff.json()["differences"], expected);

    assert_eq!(generations(&history(address)), [2, 1]);
    let output = file(&second, "restored");
    let platform_option = ["--platform", &platform_text];
    let restore = ["history", "--generation", "1", "--output", &output];
    assert_eq!(ctl(&[&restore[..], &platform_option].concat()).status, 0);
    let same = ctl(&[
        &["diff", "--generation", "1", &output],
        &platform_option[..],
    ]
    .concat());
    assert!(same.output.contains("no field differs"), "{same:?}");
}

#[test]
fn faulty_files_and_another_number_of_shards_change_nothing() {
    let platform = Platform::start(loopback()).expect("a port is free");
    let files = Scratch::with_weight(1);
    assert_eq!(apply(platform.address(), &files, &[]).status, 0);
    for change in ["shards: 8", "shards: 0"] {
        let changed = Scratch::with_weight(1);
        let path = file(&changed, "base.yaml");
        let base = std::fs::read_to_string(&path).expect("the file exists");
        std::fs::write(&path, base.replace("shards: 16", change)).expect("it is writable");
        let run = apply(platform.address(), &changed, &[]);
        assert_eq!(run.status, 1, "{run:?}");
        assert!(run.errors.contains("shards"), "{run:?}");
    }
    assert_eq!(generations(&history(platform.address())), [1]);
}

#[test]
fn a_damaged_configuration_is_replaced_only_on_request() {
    let platform = Platform::start(loopback()).expect("a port is free");
    let address = platform.address();
    let files = Scratch::with_weight(1);
    assert_eq!(apply(address, &files, &[]).status, 0);
    let replace = ["--replace-damaged", "--parent", "4"];
    let sound = apply(address, &files, &replace);
    assert!(sound.errors.contains("not damaged"), "{sound:?}");
    let version = Client::new()
        .get(address, "/v1/objects/config")
        .expect("the platform answers")["version"]
        .to_string();
    let headers = [("If-Match", version.as_str())];
    Client::new()
        .put(
            address,
            "/v1/objects/config",
            &headers,
            &json!({"generation": 4}),
        )
        .expect("the platform answers");
    let refused = apply(address, &files, &[]);
    assert_eq!(refused.status, 1, "{refused:?}");
    let replaced = apply(address, &files, &replace);
    assert_eq!(replaced.json()["generation"], 5, "{replaced:?}");
}

/// Every answer to a write is lost after it took effect, those for the history included.
#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let platform = Platform::start(loopback()).expect("a port is free");
    let address = platform.address();
    Client::new()
        .post(address, "/faults", &json!({"lose_answers": 1.0}))
        .expect("the platform answers");
    for generation in 1..=3_u32 {
        let run = apply(address, &Scratch::with_weight(generation), &[]);
        assert_eq!(run.status, 0, "{run:?}");
        assert_eq!(run.json()["outcome"], "accepted");
        assert_eq!(run.json()["generation"], generation);
    }
    assert_eq!(generations(&history(address)), [3, 2, 1]);
}

/// Operators who start from the same generation commit at the same time, while answers get lost.
#[test]
fn exactly_one_of_several_operators_wins() {
    const OPERATORS: u32 = 5;
    let platform = Platform::start(loopback()).expect("a port is free");
    let address = platform.address();
    Client::new()
        .post(address, "/faults", &json!({"lose_answers": 0.5}))
        .expect("the platform answers");
    for round in 0..6_u32 {
        let parent = round.to_string();
        let weights = (0..OPERATORS).map(|operator| 2 + round * OPERATORS + operator);
        let runs: Vec<(u32, Run)> = weights
            .map(|weight| {
                let parent = parent.clone();
                thread::spawn(move || {
                    let files = Scratch::with_weight(weight);
                    let comment = weight.to_string();
                    let more = ["--parent", parent.as_str(), "--comment", &comment];
                    (weight, apply(address, &files, &more))
                })
            })
            .collect::<Vec<_>>()
            .into_iter()
            .map(|thread| thread.join().expect("the run ends"))
            .collect();
        let outcomes: Vec<Value> = runs
            .iter()
            .map(|(_, run)| run.json()["outcome"].clone())
            .collect();
        let accepted = runs.iter().filter(|(_, run)| run.status == 0);
        let accepted: Vec<&u32> = accepted.map(|(weight, _)| weight).collect();
        assert_eq!(accepted.len(), 1, "round {round}: {runs:#?}");
        let lost = outcomes
            .iter()
            .filter(|outcome| *outcome == "conflict")
            .count();
        assert_eq!(lost, OPERATORS as usize - 1, "round {round}: {runs:#?}");
        let latest = &history(address)[0];
        assert_eq!(latest["generation"], round + 1);
        assert_eq!(latest["comment"], accepted[0].to_string());
    }
}

/// What the scripted platform does with the first write of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Script {
    /// The write takes effect, its answer is lost, and another operator replaces it at once.
    AcceptedThenReplaced,
    /// The write is lost, and another operator commits.
    OvertakenTwice,
    /// The write is lost.
    Lost,
    /// The write is lost, and the platform answers nothing from then on.
    LostThenSilent,
}

struct Scripted {
    script: Script,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, (u64, Value)>,
    version: u64,
    config_writes: u32,
}

impl State {
    fn put(&mut self, key: &str, value: Value) {
        self.version += 1;
        self.objects.insert(key.to_owned(), (self.version, value));
    }

    /// Commits the next generation as another operator would, history first.
    fn commit_by_another(&mut self, texts_of: &Value) {
        let current = self.objects.get("config").map(|object| object.1.clone());
        let template = CommittedConfig::from_value(texts_of).expect("the tool sent a valid record");
        let mut parent = 0;
        if let Some(current) = current {
            parent = current["generation"].as_u64().expect("it is a record");
            self.put(&format!("config-history/{parent}"), current);
        }
        let metadata = CommitMetadata {
            generation: parent + 1,
            parent,
            author: "jan".to_owned(),
            token: "another".to_owned(),
            ..CommitMetadata::default()
        };
        let record =
            CommittedConfig::new(&template.sources(), metadata).expect("the texts are valid");
        let value = serde_json::to_value(&record).expect("a record has a JSON form");
        self.put("config", value);
    }
}

impl Scripted {
    fn start(script: Script) -> HttpServer {
        let handler = Self {
            script,
            state: Mutex::default(),
        };
        let listener = bind(loopback()).expect("a port is free");
        HttpServer::start(listener, 4, Arc::new(handler)).expect("the server starts")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics")
    }

    fn put(&self, key: &str, exchange: Exchange) -> io::Result<()> {
        let value: Value = exchange.json(MAX_BODY_BYTES).expect("the tool sends JSON");
        let mut state = self.lock();
        let held = state.objects.get(key).map(|object| object.0.to_string());
        let condition = exchange.header("If-Match").map(str::to_owned);
        if held != condition {
            return exchange.problem(412, "the version does not match");
        }
        if key == "config" {
            state.config_writes += 1;
            if state.config_writes == 1 {
                match self.script {
                    Script::AcceptedThenReplaced => {
                        state.put(key, value.clone());
                        state.commit_by_another(&value);
                    }
                    Script::OvertakenTwice => {
                        state.commit_by_another(&value);
                        state.commit_by_another(&value);
                    }
                    Script::Lost | Script::LostThenSilent => {}
                }
                exchange.drop_connection();
                return Ok(());
            }
        }
        state.put(key, value);
        exchange.respond(200, &[], &json!({"version": state.version}))
    }
}

impl Handler for Scripted {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        let path = exchange.path().to_owned();
        let key = path.strip_prefix("/v1/objects/").unwrap_or_default();
        let silent = self.script == Script::LostThenSilent && self.lock().config_writes > 0;
        if silent {
            exchange.drop_connection();
            return Ok(());
        }
        if exchange.method() == "PUT" {
            return self.put(key, exchange);
        }
        let object = self.lock().objects.get(key).cloned();
        match object {
            Some((version, value)) => exchange.respond(
                200,
                &[],
                &json!({"key": key, "version": version, "value": value}),
            ),
            None => exchange.problem(404, "no such object"),
        }
    }
}

#[test]
fn a_write_of_unknown_effect_is_reported_as_what_became_of_it() {
    let cases = [
        (Script::AcceptedThenReplaced, 0, "accepted"),
        (Script::OvertakenTwice, 1, "conflict"),
        (Script::Lost, 0, "accepted"),
        (Script::LostThenSilent, 1, "unknown"),
    ];
    for (script, status, outcome) in cases {
        let server = Scripted::start(script);
        let run = apply(
            server.address(),
            &Scratch::with_weight(3),
            &["--timeout", "1"],
        );
        assert_eq!(run.status, status, "{script:?}: {run:?}");
        assert_eq!(run.json()["outcome"], outcome, "{script:?}: {run:?}");
        if script != Script::LostThenSilent {
            let latest = history(server.address())[0]["author"].clone();
            let expected = if script == Script::Lost { "mei" } else { "jan" };
            assert_eq!(latest, expected, "{script:?}");
        }
    }
}

#[test]
fn an_unreachable_platform_is_reported_as_nothing_changed() {
    let run = apply(
        closed_address(),
        &Scratch::with_weight(3),
        &["--timeout", "1"],
    );
    assert_eq!(run.status, 1, "{run:?}");
    assert!(run.errors.contains("cannot be reached"), "{run:?}");
}
