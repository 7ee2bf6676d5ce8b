//! Guards against faulty configurations that are accepted, against faults that hide others, and
//! against messages that do not name the place of the fault.

use std::fs;
use std::path::Path;

use serde::Deserialize;

use arbutus_config::ConfigSources;
use arbutus_config::Source;
use arbutus_config::ValidationError;
use arbutus_config::ValidationErrors;

const CASES: &str = include_str!("faults.yaml");

/// A change of the base that makes it faulty, and the fault.
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

fn refused(sources: &ConfigSources) -> Vec<ValidationError> {
    let errors: ValidationErrors = sources.validate().expect_err("the configuration is faulty");
    errors.iter().cloned().collect()
}

/// Replaces one fragment of the base and returns the only fault.
fn only_error(from: &str, to: &str) -> (ValidationError, String) {
    let text = base_text();
    assert!(text.contains(from), "{from} is not in the base");
    let text = text.replacen(from, to, 1);
    let errors = refused(&ConfigSources::new(Source::new("base.yaml", &text)));
    let [error] = errors.as_slice() else {
        panic!("expected one fault: {errors:#?}");
    };
    (error.clone(), text)
}

#[test]
fn each_fault_in_the_base_is_found_at_its_place() {
    let cases: Vec<Case> = serde_norway::from_str(CASES).expect("the cases are valid YAML");
    assert!(!cases.is_empty());
    for case in cases {
        let (error, text) = only_error(&case.from, &case.to);
        assert_eq!(error.path, case.path);
        assert!(error.reason.contains(&case.reason), "{error}");
        assert_eq!(error.line, line_of(&text, &case.line), "{error}");
        assert_eq!(error.file, "base.yaml");
    }
}

#[test]
fn all_faults_of_all_files_are_reported_at_once() {
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
    let found: Vec<(String, usize, String)> = refused(&sources)
        .into_iter()
        .map(|error| (error.file, error.line, error.path))
        .collect();
    let place = |file: &str, line, path: &str| (file.to_owned(), line, path.to_owned());
    let deadline = line_of(&text, "deadline_ms: 0");
    let shop = line_of(&text, "service: shop");
    let subset = line_of(&text, "subset_size: none");
    let expected = [
        place("arita.yaml", 2, "(root)"),
        place(
            "base.yaml",
            deadline,
            "pipelines.glaze-consultation.deadline_ms",
        ),
        place(
            "base.yaml",
            shop,
            "pipelines.member-lookup.stages[0].service",
        ),
        place("base.yaml", subset, "policy.subset_size"),
        place("hakata.yaml", 3, "classes.counter.patience_ms"),
        place("hakata.yaml", 5, "services.hut"),
        place("kagoshima.yaml", 1, "pipelines.kiln-booking.deadline_ms"),
        place("kagoshima.yaml", 3, "claims.shards"),
    ];
    assert_eq!(found, expected);
}

/// Any instance may receive a resend. Sites that disagree about claims would run it twice.
#[test]
fn an_overlay_cannot_change_what_has_to_be_the_same_everywhere() {
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
        let errors = refused(&sources);
        let found: Vec<(&str, usize, &str)> = errors
            .iter()
            .map(|error| (error.file.as_str(), error.line, error.path.as_str()))
            .collect();
        assert_eq!(found, [("hakata.yaml", 1, path)], "{errors:?}");
    }
}

#[test]
fn an_overlay_that_changes_nothing_or_names_no_site_is_refused() {
    for overlay in ["", "{}", "# nothing\n", "claims: {shards: 16}"] {
        let sources = ConfigSources::new(Source::new("base.yaml", &base_text()))
            .with_overlay("hakata", Source::new("hakata.yaml", overlay));
        let errors = refused(&sources);
        assert_eq!(errors.len(), 1, "{errors:?}");
        assert!(errors[0].reason.contains("changes nothing"), "{errors:?}");
    }
    let sources = ConfigSources::new(Source::new("base.yaml", &base_text())).with_overlay(
        "hakta",
        Source::new("hakta.yaml", "claims: {group_commit_ms: 6}"),
    );
    let errors = refused(&sources);
    assert!(
        errors[0].reason.contains("not in the base's list of sites"),
        "{errors:?}"
    );
}

/// A fault that an overlay causes in a line of the base names the site.
#[test]
fn a_fault_between_base_and_overlay_names_the_site() {
    let sources = ConfigSources::new(Source::new("base.yaml", &base_text())).with_overlay(
        "hakata",
        Source::new("hakata.yaml", "limits: {max_in_flight: 1000}"),
    );
    let errors = refused(&sources);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].file, "base.yaml");
    assert!(
        errors[0].reason.ends_with("(at the site hakata)"),
        "{errors:?}"
    );
}
