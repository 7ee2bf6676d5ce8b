//! Tests of validation. They guard against invalid configurations that are accepted, errors that
//! hide other errors, and errors that are reported without their file, line or path.

use std::fs;
use std::path::Path;

use serde::Deserialize;

use arbutus_config::ConfigSources;
use arbutus_config::Source;
use arbutus_config::ValidationError;
use arbutus_config::ValidationErrors;

const CASES: &str = include_str!("validation_errors.yaml");

/// A change that makes the base invalid, and the expected error. The head of the YAML file
/// describes the fields.
#[derive(Debug, Deserialize)]
struct Case {
    from: String,
    to: String,
    line: String,
    path: String,
    reason: String,
}

fn base_text() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kamagama/base.yaml");
    fs::read_to_string(path).expect("the example exists")
}

fn line_of(text: &str, fragment: &str) -> usize {
    let offset = text.find(fragment).expect("the fragment is in the text");
    text[..offset].matches('\n').count() + 1
}

fn validation_failures(sources: &ConfigSources) -> Vec<ValidationError> {
    let errors: ValidationErrors = sources
        .validate()
        .expect_err("the configuration is invalid");
    errors.iter().cloned().collect()
}

/// Replaces a fragment of the base, and returns the only error and the changed base.
fn single_error(from: &str, to: &str) -> (ValidationError, String) {
    let text = base_text();
    assert!(text.contains(from), "{from} is not in the base");
    let text = text.replacen(from, to, 1);
    let errors = validation_failures(&ConfigSources::new(Source::new("base.yaml", &text)));
    let [error] = errors.as_slice() else {
        panic!("expected one error: {errors:#?}");
    };
    (error.clone(), text)
}

#[test]
fn each_error_in_the_base_is_reported_at_its_line_and_path() {
    let cases: Vec<Case> = serde_norway::from_str(CASES).expect("the cases are valid YAML");
    assert!(!cases.is_empty());
    for case in cases {
        let (error, text) = single_error(&case.from, &case.to);
        assert_eq!(error.path, case.path);
        assert!(error.reason.contains(&case.reason), "{error}");
        assert_eq!(error.line, line_of(&text, &case.line), "{error}");
        assert_eq!(error.file, "base.yaml");
    }
}

#[test]
fn all_errors_of_all_files_are_reported_at_once() {
    let text = base_text()
        .replace("deadline_ms: 20000", "deadline_ms: 0")
        .replace("service: baker-club", "service: shop")
        .replace("subset_size: 8", "subset_size: none");
    let hakata = "classes:\n  counter:\n    patience_ms: 4\nservices:\n  hut: {kind: plain}\n";
    let kagoshima = "pipelines: {kiln-booking: {deadline_ms: 0}}\nclaims:\n  shards: '8'\n";
    let sources = ConfigSources::new(Source::new("base.yaml", &text))
        .with_overlay("hakata", Source::new("hakata.yaml", hakata))
        .with_overlay("kagoshima", Source::new("kagoshima.yaml", kagoshima))
        .with_overlay("arita", Source::new("arita.yaml", "classes: [\n"));
    let found: Vec<(String, usize, String)> = validation_failures(&sources)
        .into_iter()
        .map(|error| (error.file, error.line, error.path))
        .collect();
    let location = |file: &str, line, path: &str| (file.to_owned(), line, path.to_owned());
    let deadline_line = line_of(&text, "deadline_ms: 0");
    let shop_line = line_of(&text, "service: shop");
    let subset_line = line_of(&text, "subset_size: none");
    let expected = [
        location("arita.yaml", 2, "(root)"),
        location(
            "base.yaml",
            deadline_line,
            "pipelines.glaze-consultation.deadline_ms",
        ),
        location(
            "base.yaml",
            shop_line,
            "pipelines.member-lookup.stages[0].service",
        ),
        location("base.yaml", subset_line, "policy.subset_size"),
        location("hakata.yaml", 3, "classes.counter.patience_ms"),
        location("hakata.yaml", 5, "services.hut"),
        location("kagoshima.yaml", 1, "pipelines.kiln-booking.deadline_ms"),
        location("kagoshima.yaml", 3, "claims.shards"),
    ];
    assert_eq!(found, expected);
}

/// Any instance may receive a client retry. If sites disagreed about claims, the request could be
/// executed twice.
#[test]
fn an_overlay_cannot_change_fields_that_must_be_the_same_at_every_site() {
    let cases = [
        ("claims.shards", "claims: {shards: 8}"),
        ("claims.retention_ms", "claims: {retention_ms: 90000}"),
        (
            "claims.dispatch_window_ms",
            "claims: {dispatch_window_ms: 1000}",
        ),
        (
            "pipelines.kiln-booking.idempotent",
            "pipelines: {kiln-booking: {idempotent: true}}",
        ),
        (
            "pipelines.kiln-booking.stages",
            "pipelines: {kiln-booking: {stages: [{name: book, service: ship-desk}]}}",
        ),
        (
            "services.order-desk.deduplicates",
            "services: {order-desk: {deduplicates: true}}",
        ),
        (
            "services.hearth-llm.checks_fencing",
            "services: {hearth-llm: {checks_fencing: false}}",
        ),
        ("sites", "sites: [hakata]"),
    ];
    for (path, overlay) in cases {
        let sources = ConfigSources::new(Source::new("base.yaml", &base_text()))
            .with_overlay("hakata", Source::new("hakata.yaml", overlay));
        let errors = validation_failures(&sources);
        let found: Vec<(&str, usize, &str)> = errors
            .iter()
            .map(|error| (error.file.as_str(), error.line, error.path.as_str()))
            .collect();
        assert_eq!(found, [("hakata.yaml", 1, path)], "{errors:?}");
    }
}

#[test]
fn an_overlay_without_changes_or_for_an_unknown_site_is_rejected() {
    for overlay in ["", "{}", "# nothing\n", "claims: {shards: 16}"] {
        let sources = ConfigSources::new(Source::new("base.yaml", &base_text()))
            .with_overlay("hakata", Source::new("hakata.yaml", overlay));
        let errors = validation_failures(&sources);
        assert_eq!(errors.len(), 1, "{errors:?}");
        assert!(errors[0].reason.contains("changes nothing"), "{errors:?}");
    }
    let sources = ConfigSources::new(Source::new("base.yaml", &base_text())).with_overlay(
        "hakta",
        Source::new("hakta.yaml", "claims: {group_commit_ms: 6}"),
    );
    let errors = validation_failures(&sources);
    assert!(
        errors[0].reason.contains("not in the base's list of sites"),
        "{errors:?}"
    );
}

/// An overlay can cause an error that is reported at a line of the base. The reason then contains
/// the site, because the base is valid without the overlay.
#[test]
fn an_error_in_the_base_that_an_overlay_causes_names_the_site() {
    let sources = ConfigSources::new(Source::new("base.yaml", &base_text())).with_overlay(
        "hakata",
        Source::new("hakata.yaml", "limits: {max_in_flight: 1000}"),
    );
    let errors = validation_failures(&sources);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].file, "base.yaml");
    assert!(
        errors[0].reason.ends_with("(at the site hakata)"),
        "{errors:?}"
    );
}
