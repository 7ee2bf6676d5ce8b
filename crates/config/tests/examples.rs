//! Tests of the example configurations and of the configuration page. They guard against examples
//! that `arbutusctl` would reject or that lack a service, and against undocumented fields.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use arbutus_config::CommitMetadata;
use arbutus_config::CommittedConfig;
use arbutus_config::ConfigSources;
use arbutus_config::Deployment;
use arbutus_config::Settings;
use arbutus_config::Source;
use arbutus_config::schema::field_paths;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn example(name: &str) -> CommittedConfig {
    match CommittedConfig::from_directory(
        &root().join("examples").join(name),
        CommitMetadata::default(),
    ) {
        Ok(committed) => committed,
        Err(error) => panic!("{error}"),
    }
}

fn check_example(name: &str, sites: &[&str], services: &[&str], non_idempotent: &[&str]) {
    let committed = example(name);
    let base = committed.deployment("").expect("the example is valid");
    assert_eq!(base.sites, sites);
    for service in services {
        assert!(base.services.contains_key(*service), "{service} is missing");
    }
    let used_services: BTreeSet<&str> = base
        .pipelines
        .values()
        .flat_map(|pipeline| pipeline.stages.iter().map(|stage| stage.service.as_str()))
        .collect();
    for service in base.services.keys() {
        assert!(
            used_services.contains(service.as_str()),
            "{service} is unused"
        );
    }
    let found: Vec<&str> = base
        .pipelines
        .iter()
        .filter(|(_, pipeline)| !pipeline.idempotent)
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(found, non_idempotent);
    assert_eq!(base.organisations.len(), 5);
    assert!(!committed.overlays.is_empty());
    for site in committed.overlays.keys() {
        let deployment = committed.deployment(site).expect("the example is valid");
        assert_ne!(deployment, base, "the overlay of {site} changes nothing");
    }
}

#[test]
fn the_kamagama_example_is_complete() {
    check_example(
        "kamagama",
        &["arita", "hakata", "kumamoto", "kagoshima"],
        &[
            "hearth-llm",
            "order-desk",
            "glaze-log",
            "ship-desk",
            "baker-club",
        ],
        &["deposit", "kiln-booking"],
    );
}

#[test]
fn the_rustwell_example_is_complete() {
    check_example(
        "rustwell",
        &["gent-a", "gent-b", "brugge-c"],
        &[
            "bloemtaal",
            "rondeboek",
            "kerkhofkaart",
            "fotodienst",
            "kasregister",
        ],
        &["extra-round", "payment"],
    );
}

/// The scenarios of the load generator contain names of pipelines, classes and organisations of the
/// examples.
#[test]
fn the_load_generator_scenarios_match_the_examples() {
    let scenarios = root().join("crates/standins/scenarios");
    for name in ["kamagama", "rustwell"] {
        let text = fs::read_to_string(scenarios.join(name).with_extension("yaml"));
        let scenario: serde_norway::Value =
            serde_norway::from_str(&text.expect("the scenario exists"))
                .expect("the scenario is YAML");
        let deployment = example(name).deployment("").expect("the example is valid");
        for pipeline in scenario["pipelines"]
            .as_sequence()
            .expect("the field is a list")
        {
            let pipeline_name = pipeline["name"].as_str().expect("the entry has a name");
            let known = deployment.pipelines.get(pipeline_name);
            let class = known.map(|known| known.class.as_str());
            assert_eq!(class, pipeline["class"].as_str(), "{name}: {pipeline_name}");
        }
        for organisation in scenario["organisations"]
            .as_sequence()
            .expect("the field is a list")
        {
            let organisation_name = organisation["name"].as_str().expect("the entry has a name");
            assert!(
                deployment.organisations.contains_key(organisation_name),
                "{name}: {organisation_name}"
            );
        }
    }
}

/// The schema and the structs are defined separately. A field that is missing in one of them would
/// be rejected as unknown.
#[test]
fn the_schema_and_the_structs_have_the_same_fields() {
    let deployment = example("kamagama")
        .deployment("")
        .expect("the example is valid");
    let text = serde_norway::to_string(&deployment).expect("a deployment can be rendered as YAML");
    let read = ConfigSources::new(Source::new("rendered", &text)).deployment("");
    assert_eq!(read, Ok(deployment));

    let rendered: BTreeSet<String> = rendered_paths(&text);
    let expected: BTreeSet<String> = field_paths().into_iter().collect();
    assert_eq!(rendered, expected);
}

#[test]
fn the_documentation_lists_every_field() {
    let page = fs::read_to_string(root().join("docs/configuration.md")).expect("the page exists");
    for path in field_paths() {
        assert!(page.contains(&format!("`{path}`")), "{path} is missing");
    }
    let settings = "{name: a, cluster: b, site: c, failure_domain: d, \
        http_address: '127.0.0.1:1', peer_address: '127.0.0.1:2', platform_address: '127.0.0.1:3'}";
    let settings: Settings = serde_norway::from_str(settings).expect("the settings are complete");
    let rendered = serde_json::to_value(&settings).expect("settings can be encoded as JSON");
    for field in rendered.as_object().expect("settings are a mapping").keys() {
        assert!(
            page.contains(&format!("| `{field}` |")),
            "{field} is missing"
        );
    }
}

fn rendered_paths(text: &str) -> BTreeSet<String> {
    let value: serde_norway::Value =
        serde_norway::from_str(text).expect("the rendered deployment is valid YAML");
    let mut paths = BTreeSet::new();
    collect_paths(&value, "", &mut paths);
    paths
}

fn collect_paths(value: &serde_norway::Value, prefix: &str, paths: &mut BTreeSet<String>) {
    const NAMED_SECTIONS: [&str; 4] = ["services", "pipelines", "classes", "organisations"];
    if let Some(items) = value.as_sequence() {
        for item in items {
            collect_paths(item, &format!("{prefix}[]"), paths);
        }
    }
    for (key, value) in value.as_mapping().into_iter().flatten() {
        let key = key.as_str().expect("keys are strings");
        let path = if NAMED_SECTIONS.contains(&prefix) {
            format!("{prefix}.*")
        } else if prefix.is_empty() {
            key.to_owned()
        } else {
            format!("{prefix}.{key}")
        };
        if !path.ends_with('*') {
            paths.insert(path.clone());
        }
        if key != "within" {
            collect_paths(value, &path, paths);
        }
    }
}

/// Guards against defaults that do not survive rendering and parsing.
#[test]
fn defaults_survive_a_round_trip() {
    let deployment = Deployment::default();
    let text = serde_norway::to_string(&deployment).expect("a deployment can be rendered as YAML");
    assert_eq!(
        ConfigSources::new(Source::new("d", &text)).deployment(""),
        Ok(deployment)
    );
}
