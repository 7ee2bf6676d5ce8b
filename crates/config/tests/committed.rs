//! Tests of the record of a committed configuration. They guard against records that change when
//! they are encoded and decoded, damaged or oversized records that are accepted, a change of the
//! number of claim shards, and deltas that send unchanged sections or rebuild another record.

use std::fmt::Write;

use arbutus_config::CommitMetadata;
use arbutus_config::CommittedConfig;
use arbutus_config::ConfigError;
use arbutus_config::ConfigSources;
use arbutus_config::Source;
use arbutus_config::committed::MAX_RECORD_BYTES;

const BASE: &str = "\
services:
  desk: {kind: plain}
classes:
  counter: {priority: 0}
organisations:
  potter: {weight: 2}
pipelines:
  booking:
    class: counter
    idempotent: false
    deadline_ms: 3000
    stages:
      - {name: book, service: desk}
";

const OVERLAY: &str = "\
pipelines:
  booking:
    deadline_ms: 2500
";

fn sources() -> ConfigSources {
    ConfigSources::new(Source::new("base.yaml", BASE))
        .with_overlay("arita", Source::new("overlays/arita.yaml", OVERLAY))
}

fn sample_record() -> CommittedConfig {
    let metadata = CommitMetadata {
        generation: 7,
        parent: 6,
        author: "mei".to_owned(),
        token: "token-1".to_owned(),
        ..CommitMetadata::default()
    };
    CommittedConfig::new(&sources(), metadata).expect("the files are valid")
}

#[test]
fn json_round_trip_preserves_the_record() {
    let before = sample_record();
    let after = CommittedConfig::from_json(&before.to_json()).expect("the record is intact");
    assert_eq!(before, after);
}

#[test]
fn an_overlay_changes_only_its_own_site() {
    let record = sample_record();
    let deadline = |site: &str| {
        let deployment = record.deployment(site).expect("the files are valid");
        deployment.pipelines["booking"].deadline_ms.0
    };
    assert_eq!(deadline("arita"), 2500);
    assert_eq!(deadline("hakata"), 3000);
}

#[test]
fn corruption_of_any_byte_is_detected() {
    let json = sample_record().to_json();
    for position in 0..json.len() {
        let mut corrupt = json.clone();
        corrupt[position] ^= 1;
        if let Ok(decoded) = CommittedConfig::from_json(&corrupt) {
            panic!("corruption of byte {position} was not detected: {decoded:?}");
        }
    }
}

#[test]
fn an_oversized_record_is_rejected() {
    let mut text = BASE.to_owned();
    while text.len() <= MAX_RECORD_BYTES {
        writeln!(text, "# {}", "-".repeat(90)).expect("writing to a string succeeds");
    }
    let result = CommittedConfig::new(
        &ConfigSources::new(Source::new("b", &text)),
        CommitMetadata::default(),
    );
    assert!(matches!(result, Err(ConfigError::TooLarge { .. })));
}

/// A client retry finds its claim only if the number of shards stays the same.
#[test]
fn a_change_of_the_number_of_claim_shards_is_rejected() {
    let text = format!("{BASE}claims: {{shards: 8}}\n");
    let sources = ConfigSources::new(Source::new("base.yaml", &text));
    let after =
        CommittedConfig::new(&sources, CommitMetadata::default()).expect("the base is valid");
    let result = after.check_successor_of(&sample_record());
    assert!(matches!(
        result,
        Err(ConfigError::ShardCountChanged { from: 16, to: 8 })
    ));
}

#[test]
fn a_delta_contains_only_changed_sections_and_rebuilds_the_record() {
    let before = sample_record();
    let text = BASE.replace("weight: 2", "weight: 3");
    let sources = ConfigSources::new(Source::new("base.yaml", &text))
        .with_overlay("arita", Source::new("overlays/arita.yaml", OVERLAY));
    let metadata = CommitMetadata {
        generation: 8,
        ..CommitMetadata::default()
    };
    let after = CommittedConfig::new(&sources, metadata).expect("the files are valid");
    let delta = after.delta(&before.sections());
    let sent_sections: Vec<&str> = delta
        .sections
        .iter()
        .filter(|section| section.text.is_some())
        .map(|section| section.name.as_str())
        .collect();
    assert_eq!(sent_sections, ["base/organisations"]);
    assert_eq!(
        before
            .apply_delta(delta.clone())
            .expect("the delta is complete"),
        after
    );

    let mut incomplete = delta;
    incomplete.sections.remove(0);
    assert!(matches!(
        before.apply_delta(incomplete),
        Err(ConfigError::DigestMismatch { .. })
    ));
}
