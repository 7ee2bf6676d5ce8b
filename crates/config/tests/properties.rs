//! Property tests. They guard against merges that are not deterministic or lose fields, records
//! that change when they are encoded and decoded, and inputs that cause a panic.
#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

use std::env;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;
use serde_norway::Mapping;
use serde_norway::Value;

use arbutus_config::CommitMetadata;
use arbutus_config::CommittedConfig;
use arbutus_config::ConfigSources;
use arbutus_config::Deployment;
use arbutus_config::Source;
use arbutus_config::ValidationError;
use arbutus_config::overlay::merge;

const GENERATOR_SIZE: usize = 40;
const DEFAULT_SEED: u64 = 0x0c0f;
const CASES_PER_PROPERTY: u64 = 300;

/// Runs a property with a fixed seed, which the environment variable `ARBUTUS_SEED` overrides.
fn check_property(property: impl Testable) {
    let seed = env::var("ARBUTUS_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    let generator = Gen::from_size_and_seed(GENERATOR_SIZE, seed);
    let result = QuickCheck::new()
        .rng(generator)
        .tests(CASES_PER_PROPERTY)
        .quicktest(property);
    if let Err(failure) = result {
        panic!("ARBUTUS_SEED={seed}: {failure:?}");
    }
}

/// A document of nested mappings with keys from a small set, so that documents share keys.
#[derive(Clone, Debug)]
struct Document(Value);

impl Arbitrary for Document {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(arbitrary_value(g, 3))
    }
}

fn arbitrary_value(g: &mut Gen, depth: u32) -> Value {
    if depth == 0 {
        return match u8::arbitrary(g) % 4 {
            0 => Value::from(u32::arbitrary(g)),
            1 => Value::from(bool::arbitrary(g)),
            2 => Value::from(format!("text {}", u8::arbitrary(g))),
            _ => Value::Sequence(vec![Value::from(u8::arbitrary(g))]),
        };
    }
    let mut mapping = Mapping::new();
    for key in ["a", "b", "c", "d"] {
        if bool::arbitrary(g) {
            let lower_depth = u32::arbitrary(g) % depth;
            mapping.insert(Value::from(key), arbitrary_value(g, lower_depth));
        }
    }
    Value::Mapping(mapping)
}

/// Returns a valid base whose numbers are derived from `numbers`.
fn base_text(numbers: &[u32]) -> String {
    let number = |index: usize| u64::from(numbers.get(index).copied().unwrap_or(3)) % 100_000 + 1;
    format!(
        "services: {{desk: {{kind: plain}}, llm: {{kind: engine}}}}\n\
         classes: {{counter: {{priority: {}, stall_ms: {}}}}}\n\
         organisations: {{potter: {{weight: {}}}}}\n\
         pipelines:\n  booking:\n    class: counter\n    idempotent: false\n    \
         deadline_ms: {}\n    stages: [{{name: book, service: desk}}]\n\
         limits: {{max_in_flight: {}}}\n",
        number(0) % 256,
        number(1),
        number(2),
        number(3),
        number(4),
    )
}

fn source(text: &str) -> Source {
    Source::new("text", text)
}

fn render(value: &Value) -> String {
    serde_norway::to_string(value).expect("the value can be rendered as YAML")
}

#[test]
fn merging_is_deterministic() {
    fn property(base: Document, overlay: Document) -> bool {
        let overlay_source = source(&render(&overlay.0));
        let first = merge(&base.0, &overlay.0, &overlay_source);
        first == merge(&base.0, &overlay.0, &overlay_source)
    }
    check_property(property as fn(Document, Document) -> bool);
}

#[test]
fn an_overlay_with_the_values_of_the_base_changes_nothing() {
    fn property(base: Document) -> bool {
        merge(&base.0, &base.0, &source(&render(&base.0))) == Ok(base.0)
    }
    check_property(property as fn(Document) -> bool);
}

/// A valid overlay neither adds nor removes a field, and each of its values replaces the value of
/// the base. An invalid overlay yields errors at the lines of the invalid fields.
#[test]
fn merging_keeps_the_structure_and_applies_every_value() {
    fn has_same_structure(base: &Value, merged: &Value, overlay: Option<&Value>) -> bool {
        let Value::Mapping(fields) = base else {
            return overlay.is_none_or(|value| value == merged);
        };
        let Value::Mapping(merged) = merged else {
            return false;
        };
        fields.len() == merged.len()
            && fields.iter().all(|(key, value)| {
                let overlay = overlay.and_then(|overlay| overlay.get(key));
                merged
                    .get(key)
                    .is_some_and(|found| has_same_structure(value, found, overlay))
            })
    }
    fn is_at_line_of_its_key(text: &str, error: &ValidationError) -> bool {
        let key = error
            .path
            .rsplit('.')
            .next()
            .expect("a path ends with a key");
        let line = text.lines().nth(error.line - 1).expect("the line exists");
        line.trim_start().starts_with(&format!("{key}:"))
    }
    fn property(base: Document, overlay: Document) -> bool {
        let text = render(&overlay.0);
        match merge(&base.0, &overlay.0, &source(&text)) {
            Ok(merged) => has_same_structure(&base.0, &merged, Some(&overlay.0)),
            Err(errors) => errors
                .iter()
                .all(|error| error.path == "(root)" || is_at_line_of_its_key(&text, error)),
        }
    }
    check_property(property as fn(Document, Document) -> bool);
}

#[test]
fn parsing_and_rendering_round_trip() {
    fn property(numbers: Vec<u32>) -> bool {
        let parsed = ConfigSources::new(source(&base_text(&numbers))).deployment("");
        let deployment: Deployment = parsed.expect("the base is valid");
        let text = serde_norway::to_string(&deployment).expect("it can be rendered as YAML");
        ConfigSources::new(source(&text)).deployment("") == Ok(deployment)
    }
    check_property(property as fn(Vec<u32>) -> bool);
}

#[test]
fn records_round_trip_and_resolve_to_the_same_deployment() {
    fn property(numbers: Vec<u32>, author: String, comment: String, generation: u64) -> bool {
        let metadata = CommitMetadata {
            generation,
            author,
            comment,
            ..CommitMetadata::default()
        };
        let sources = ConfigSources::new(source(&base_text(&numbers)))
            .with_overlay("a", source("classes: {counter: {priority: 255}}"));
        let Ok(record) = CommittedConfig::new(&sources, metadata) else {
            // An overlay is rejected if it changes nothing, which is the case if the priority in
            // the base is 255 already.
            return numbers
                .first()
                .is_some_and(|&n| (n % 100_000 + 1) % 256 == 255);
        };
        let decoded = CommittedConfig::from_json(&record.to_json()).expect("the record is intact");
        decoded == record
            && decoded.deployment("a") == sources.deployment("a")
            && decoded.deployment("b") == sources.deployment("b")
    }
    check_property(property as fn(Vec<u32>, String, String, u64) -> bool);
}

/// Random bytes are used as the base, as an overlay, as a part of a valid base and as a record.
/// Also checks that the sections of an invalid base still concatenate to the base.
#[test]
fn random_bytes_never_cause_a_panic() {
    fn property(bytes: Vec<u8>, position: usize, replacement: Vec<u8>) -> bool {
        let random = String::from_utf8_lossy(&bytes);
        let mut corrupt = base_text(&[]).into_bytes();
        let position = position % corrupt.len();
        let end = (position + replacement.len()).min(corrupt.len());
        corrupt.splice(position..end, replacement);
        let corrupt = String::from_utf8_lossy(&corrupt).into_owned();
        for text in [&*random, corrupt.as_str()] {
            let base = ConfigSources::new(source(text)).with_overlay("a", source(&random));
            drop(base.validate());
            let valid_base =
                ConfigSources::new(source(&base_text(&[]))).with_overlay("a", source(text));
            drop(valid_base.validate());
        }
        drop(CommittedConfig::from_json(&bytes));
        let record = CommittedConfig {
            base: corrupt,
            ..CommittedConfig::default()
        };
        let sections = record.sections();
        let joined: String = sections
            .into_iter()
            .filter_map(|section| section.text)
            .collect();
        assert_eq!(joined, record.base);
        true
    }
    check_property(property as fn(Vec<u8>, usize, Vec<u8>) -> bool);
}
