//! Tests of `arbutusctl apply`. They guard against commits that are lost, take effect twice or are
//! reported wrongly, when responses of the platform are lost or several operators commit
//! concurrently.

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
use support::CommandOutput;
use support::ConfigDirectory;
use support::loopback;
use support::run_arbutusctl;
use support::unused_address;

const MAX_BODY_BYTES: usize = 1_000_000;

fn run_apply(
    platform: SocketAddr,
    files: &ConfigDirectory,
    more_arguments: &[&str],
) -> CommandOutput {
    let platform = platform.to_string();
    let mut arguments = vec![
        "apply",
        "--platform",
        &platform,
        "--json",
        "--author",
        "mei",
    ];
    arguments.extend(more_arguments);
    arguments.push(files.path());
    run_arbutusctl(&arguments)
}

fn file_path(files: &ConfigDirectory, name: &str) -> String {
    format!("{}/{name}", files.path())
}

fn read_history(platform: SocketAddr) -> Value {
    run_arbutusctl(&["history", "--platform", &platform.to_string(), "--json"]).json()
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
    let first = ConfigDirectory::with_weight(1);
    let second = ConfigDirectory::with_weight(2);
    assert_eq!(run_apply(address, &first, &[]).json()["generation"], 1);
    let repeated = run_apply(address, &first, &[]);
    assert_eq!(
        (repeated.status, &repeated.json()["outcome"]),
        (0, &json!("unchanged"))
    );
    assert_eq!(run_apply(address, &second, &[]).json()["generation"], 2);

    let stale = run_apply(address, &first, &["--parent", "1"]);
    assert_eq!(
        (stale.status, &stale.json()["outcome"]),
        (1, &json!("conflict"))
    );

    let platform_text = address.to_string();
    let diff = run_arbutusctl(&["diff", "--platform", &platform_text, "--json", first.path()]);
    let expected = json!([{
        "part": "base",
        "path": "organisations.island-studios.weight",
        "before": "2",
        "after": "1",
    }]);
    assert_eq!(diff.json()["differences"], expected);

    assert_eq!(generations(&read_history(address)), [2, 1]);
    let output = file_path(&second, "restored");
    let platform_option = ["--platform", &platform_text];
    let restore = ["history", "--generation", "1", "--output", &output];
    assert_eq!(
        run_arbutusctl(&[&restore[..], &platform_option].concat()).status,
        0
    );
    let no_difference = run_arbutusctl(
        &[
            &["diff", "--generation", "1", &output],
            &platform_option[..],
        ]
        .concat(),
    );
    assert!(
        no_difference.stdout.contains("no field differs"),
        "{no_difference:?}"
    );
}

#[test]
fn invalid_files_and_another_number_of_shards_change_nothing() {
    let platform = Platform::start(loopback()).expect("a port is free");
    let files = ConfigDirectory::with_weight(1);
    assert_eq!(run_apply(platform.address(), &files, &[]).status, 0);
    for change in ["shards: 8", "shards: 0"] {
        let changed = ConfigDirectory::with_weight(1);
        let path = file_path(&changed, "base.yaml");
        let base = std::fs::read_to_string(&path).expect("the file exists");
        std::fs::write(&path, base.replace("shards: 16", change)).expect("the file is writable");
        let run = run_apply(platform.address(), &changed, &[]);
        assert_eq!(run.status, 1, "{run:?}");
        assert!(run.stderr.contains("shards"), "{run:?}");
    }
    assert_eq!(generations(&read_history(platform.address())), [1]);
}

#[test]
fn a_damaged_configuration_is_replaced_only_with_the_flag() {
    let platform = Platform::start(loopback()).expect("a port is free");
    let address = platform.address();
    let files = ConfigDirectory::with_weight(1);
    assert_eq!(run_apply(address, &files, &[]).status, 0);
    let replace = ["--replace-damaged", "--parent", "4"];
    let undamaged = run_apply(address, &files, &replace);
    assert!(undamaged.stderr.contains("not damaged"), "{undamaged:?}");
    let version = Client::new()
        .get(address, "/v1/objects/config")
        .expect("the platform responds")["version"]
        .to_string();
    let headers = [("If-Match", version.as_str())];
    Client::new()
        .put(
            address,
            "/v1/objects/config",
            &headers,
            &json!({"generation": 4}),
        )
        .expect("the platform responds");
    let rejected = run_apply(address, &files, &[]);
    assert_eq!(rejected.status, 1, "{rejected:?}");
    let replaced = run_apply(address, &files, &replace);
    assert_eq!(replaced.json()["generation"], 5, "{replaced:?}");
}

/// The platform loses every response to a write after the write has taken effect, including the
/// writes to the history.
#[test]
fn a_lost_response_is_resolved_by_reading_back() {
    let platform = Platform::start(loopback()).expect("a port is free");
    let address = platform.address();
    Client::new()
        .post(address, "/faults", &json!({"lose_answers": 1.0}))
        .expect("the platform responds");
    for generation in 1..=3_u32 {
        let run = run_apply(address, &ConfigDirectory::with_weight(generation), &[]);
        assert_eq!(run.status, 0, "{run:?}");
        assert_eq!(run.json()["outcome"], "accepted");
        assert_eq!(run.json()["generation"], generation);
    }
    assert_eq!(generations(&read_history(address)), [3, 2, 1]);
}

/// Several operators commit concurrently on the basis of the same generation, while the platform
/// loses half of the responses.
#[test]
fn exactly_one_of_several_concurrent_commits_is_accepted() {
    const OPERATORS: u32 = 5;
    let platform = Platform::start(loopback()).expect("a port is free");
    let address = platform.address();
    Client::new()
        .post(address, "/faults", &json!({"lose_answers": 0.5}))
        .expect("the platform responds");
    for round in 0..6_u32 {
        let parent = round.to_string();
        let weights = (0..OPERATORS).map(|operator| 2 + round * OPERATORS + operator);
        let runs: Vec<(u32, CommandOutput)> = weights
            .map(|weight| {
                let parent = parent.clone();
                thread::spawn(move || {
                    let files = ConfigDirectory::with_weight(weight);
                    let comment = weight.to_string();
                    let more_arguments = ["--parent", parent.as_str(), "--comment", &comment];
                    (weight, run_apply(address, &files, &more_arguments))
                })
            })
            .collect::<Vec<_>>()
            .into_iter()
            .map(|thread| thread.join().expect("the thread does not panic"))
            .collect();
        let outcomes: Vec<Value> = runs
            .iter()
            .map(|(_, run)| run.json()["outcome"].clone())
            .collect();
        let accepted = runs.iter().filter(|(_, run)| run.status == 0);
        let accepted: Vec<&u32> = accepted.map(|(weight, _)| weight).collect();
        assert_eq!(accepted.len(), 1, "round {round}: {runs:#?}");
        let conflicts = outcomes
            .iter()
            .filter(|outcome| *outcome == "conflict")
            .count();
        assert_eq!(
            conflicts,
            OPERATORS as usize - 1,
            "round {round}: {runs:#?}"
        );
        let latest = &read_history(address)[0];
        assert_eq!(latest["generation"], round + 1);
        assert_eq!(latest["comment"], accepted[0].to_string());
    }
}

/// How the simulated platform handles the first write of a configuration. It never responds to that
/// write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Script {
    /// The write takes effect, and another operator replaces the configuration immediately.
    AcceptedThenReplaced,
    /// The write is lost, and another operator commits two generations.
    LostThenReplacedTwice,
    /// The write is lost; the next one takes effect.
    Lost,
    /// The write is lost, and the platform does not respond to any later request.
    LostThenUnresponsive,
}

struct ScriptedPlatform {
    script: Script,
    state: Mutex<ScriptedState>,
}

#[derive(Default)]
struct ScriptedState {
    objects: BTreeMap<String, (u64, Value)>,
    version: u64,
    config_writes: u32,
}

impl ScriptedState {
    fn put(&mut self, key: &str, value: Value) {
        self.version += 1;
        self.objects.insert(key.to_owned(), (self.version, value));
    }

    /// Commits the files of `source_record` as the next generation of another operator, who first
    /// stores the current generation in the history.
    fn commit_as_other_operator(&mut self, source_record: &Value) {
        let current = self.objects.get("config").map(|object| object.1.clone());
        let source_record =
            CommittedConfig::from_value(source_record).expect("arbutusctl sent a valid record");
        let mut parent = 0;
        if let Some(current) = current {
            parent = current["generation"]
                .as_u64()
                .expect("the object is a record");
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
            CommittedConfig::new(&source_record.sources(), metadata).expect("the files are valid");
        let value = serde_json::to_value(&record).expect("a record can be encoded as JSON");
        self.put("config", value);
    }
}

impl ScriptedPlatform {
    fn start(script: Script) -> HttpServer {
        let handler = Self {
            script,
            state: Mutex::default(),
        };
        let listener = bind(loopback()).expect("a port is free");
        HttpServer::start(listener, 4, Arc::new(handler)).expect("the server starts")
    }

    fn lock(&self) -> MutexGuard<'_, ScriptedState> {
        self.state.lock().expect("no handler panics")
    }

    fn put(&self, key: &str, exchange: Exchange) -> io::Result<()> {
        let value: Value = exchange
            .json(MAX_BODY_BYTES)
            .expect("arbutusctl sends JSON");
        let mut state = self.lock();
        let stored_version = state.objects.get(key).map(|object| object.0.to_string());
        let condition = exchange.header("If-Match").map(str::to_owned);
        if stored_version != condition {
            return exchange.respond_error(412, "the version does not match");
        }
        if key == "config" {
            state.config_writes += 1;
            if state.config_writes == 1 {
                match self.script {
                    Script::AcceptedThenReplaced => {
                        state.put(key, value.clone());
                        state.commit_as_other_operator(&value);
                    }
                    Script::LostThenReplacedTwice => {
                        state.commit_as_other_operator(&value);
                        state.commit_as_other_operator(&value);
                    }
                    Script::Lost | Script::LostThenUnresponsive => {}
                }
                exchange.drop_connection();
                return Ok(());
            }
        }
        state.put(key, value);
        exchange.respond(200, &[], &json!({"version": state.version}))
    }
}

impl Handler for ScriptedPlatform {
    fn handle(&self, exchange: Exchange) -> io::Result<()> {
        let path = exchange.path().to_owned();
        let key = path.strip_prefix("/v1/objects/").unwrap_or_default();
        let unresponsive =
            self.script == Script::LostThenUnresponsive && self.lock().config_writes > 0;
        if unresponsive {
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
            None => exchange.respond_error(404, "no such object"),
        }
    }
}

#[test]
fn the_outcome_of_a_write_with_a_lost_response_is_reported() {
    let cases = [
        (Script::AcceptedThenReplaced, 0, "accepted"),
        (Script::LostThenReplacedTwice, 1, "conflict"),
        (Script::Lost, 0, "accepted"),
        (Script::LostThenUnresponsive, 1, "unknown"),
    ];
    for (script, status, outcome) in cases {
        let server = ScriptedPlatform::start(script);
        let run = run_apply(
            server.address(),
            &ConfigDirectory::with_weight(3),
            &["--timeout", "1"],
        );
        assert_eq!(run.status, status, "{script:?}: {run:?}");
        assert_eq!(run.json()["outcome"], outcome, "{script:?}: {run:?}");
        if script != Script::LostThenUnresponsive {
            let latest = read_history(server.address())[0]["author"].clone();
            let expected = if script == Script::Lost { "mei" } else { "jan" };
            assert_eq!(latest, expected, "{script:?}");
        }
    }
}

#[test]
fn an_unreachable_platform_is_reported() {
    let run = run_apply(
        unused_address(),
        &ConfigDirectory::with_weight(3),
        &["--timeout", "1"],
    );
    assert_eq!(run.status, 1, "{run:?}");
    assert!(
        run.stderr.contains("no valid response from the platform"),
        "{run:?}"
    );
}
