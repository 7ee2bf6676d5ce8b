//! Guards against records that change on their way through the platform, and against damaged or
//! oversized records that are taken for valid ones.

use std::fmt::Write;

use arbutus_config::CommitMetadata;
use arbutus_config::CommittedConfig;
use arbutus_config::ConfigError;
use arbutus_config::ConfigSources;
use arbutus_config::Source;
use arbutus_config::committed::MAX_COMMITTED_BYTES;

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

fn committed() -> CommittedConfig {
    let metadata = CommitMetadata {
        generation: 7,
        parent: 6,
        author: "mei".to_owned(),
        token: "token-1".to_owned(),
        ..CommitMetadata::default()
    };
    CommittedConfig::new(&sources(), metadata).expect("the texts are valid")
}

#[test]
fn json_round_trip_keeps_the_record() {
    let before = committed();
    let after = CommittedConfig::from_json(&before.to_json()).expect("the record is whole");
    assert_eq!(before, after);
}

#[test]
fn an_overlay_changes_only_its_own_site() {
    let committed = committed();
    let deadline = |site: &str| {
        let deployment = committed.deployment(site).expect("the texts are valid");
        deployment.pipelines["booking"].deadline_ms.0
    };
    assert_eq!(deadline("arita"), 2500);
    assert_eq!(deadline("hakata"), 3000);
}

#[test]
fn damage_to_any_field_is_detected() {
    let json = committed().to_json();
    for position in 0..json.len() {
        let mut damaged = json.clone();
        damaged[position] ^= 1;
        if let Ok(read) = CommittedConfig::from_json(&damaged) {
            panic!("damage at byte {position} was not detected: {read:?}");
        }
    }
}

#[test]
fn an_oversized_record_is_refused() {
    let mut text = BASE.to_owned();
    while text.len() <= MAX_COMMITTED_BYTES {
        writeln!(text, "# {}", "-".repeat(90)).expect("a string takes any text");
    }
    let result = CommittedConfig::new(
        &ConfigSources::new(Source::new("b", &text)),
        CommitMetadata::default(),
    );
    assert!(matches!(result, Err(ConfigError::TooLarge { .. })));
}

/// A resend finds its claim only while the number of shards stays the same.
#[test]
fn a_change_of_the_claim_shards_is_refused() {
    let text = format!("{BASE}claims: {{shards: 8}}\n");
    let sources = ConfigSources::new(Source::new("base.yaml", &text));
    let after =
        CommittedConfig::new(&sources, CommitMetadata::default()).expect("the text is valid");
    let result = after.check_successor_of(&committed());
    assert!(matches!(
        result,
        Err(ConfigError::ShardCountChanged { from: 16, to: 8 })
    ));
}

#[test]
fn a_delta_carries_only_changed_sections_and_rebuilds_the_record() {
    let before = committed();
    let text = BASE.replace("weight: 2", "weight: 3");
    let sources = ConfigSources::new(Source::new("base.yaml", &text))
        .with_overlay("arita", Source::new("overlays/arita.yaml", OVERLAY));
    let metadata = CommitMetadata {
        generation: 8,
        ..CommitMetadata::default()
    };
    let after = CommittedConfig::new(&sources, metadata).expect("the texts are valid");
    let delta = after.delta(&before.sections());
    let sent: Vec<&str> = delta
        .sections
        .iter()
        .filter(|section| section.text.is_some())
        .map(|section| section.name.as_str())
        .collect();
    assert_eq!(sent, ["base/organisations"]);
    assert_eq!(
        before.apply_delta(delta.clone()).expect("it is whole"),
        after
    );

    let mut incomplete = delta;
    incomplete.sections.remove(0);
    assert!(matches!(
        before.apply_delta(incomplete),
        Err(ConfigError::DigestMismatch { .. })
    ));
}
