//! Checks that the fields of a deployment configuration are consistent with each other, and that
//! an overlay changes only what may differ between sites.
//!
//! Each check returns paths and reasons; [`crate::resolve`] adds the file and the line.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde_norway::Value;

use crate::deployment::ClaimsSpec;
use crate::deployment::Deployment;
use crate::deployment::PipelineSpec;
use crate::deployment::ServiceKind;
use crate::deployment::ServiceSpec;
use crate::limits::limit_errors;
use crate::path::FieldPath;

/// The path of an invalid field, and the reason why it is invalid.
pub(crate) type FieldError = (FieldPath, String);

/// All names that a document defines, including those of invalid entries, so that a reference to an
/// invalid entry is not reported as a reference to an unknown one.
#[derive(Debug, Default)]
pub(crate) struct DefinedNames {
    pub(crate) services: BTreeSet<String>,
    pub(crate) pipelines: BTreeSet<String>,
    pub(crate) classes: BTreeSet<String>,
    pub(crate) organisations: BTreeSet<String>,
}

impl DefinedNames {
    pub(crate) fn from_document(document: &Value) -> Self {
        let section = |name: &str| {
            let entries = document.get(name).and_then(Value::as_mapping);
            let keys = entries.into_iter().flat_map(|entries| entries.keys());
            keys.filter_map(Value::as_str).map(str::to_owned).collect()
        };
        Self {
            services: section("services"),
            pipelines: section("pipelines"),
            classes: section("classes"),
            organisations: section("organisations"),
        }
    }
}

/// Returns an error for each field of a deployment configuration that is inconsistent with others.
pub(crate) fn deployment_errors(deployment: &Deployment, names: &DefinedNames) -> Vec<FieldError> {
    let mut errors = site_list_errors(&deployment.sites);
    for (name, service) in &deployment.services {
        errors.extend(service_errors(name, service));
    }
    for (name, pipeline) in &deployment.pipelines {
        errors.extend(pipeline_errors(name, pipeline, deployment, names));
    }
    errors.extend(limit_errors(deployment, names));
    errors.extend(claims_errors(&deployment.claims));
    errors
}

fn site_list_errors(sites: &[String]) -> Vec<FieldError> {
    let path = FieldPath::from_keys(&["sites"]);
    find_repeated(sites.iter().map(String::as_str))
        .into_iter()
        .map(|(index, site)| {
            (
                path.join_index(index),
                format!("the site `{site}` is listed twice"),
            )
        })
        .collect()
}

fn service_errors(name: &str, service: &ServiceSpec) -> Vec<FieldError> {
    let path = FieldPath::from_keys(&["services", name]);
    let mut errors = Vec::new();
    if service.deduplicates && service.kind != ServiceKind::Plain {
        let reason = "only a plain service receives idempotency keys and can deduplicate by them";
        errors.push((path.join_key("deduplicates"), reason.to_owned()));
    }
    if service.model.is_some() && service.kind == ServiceKind::Plain {
        errors.push((
            path.join_key("model"),
            "a plain service loads no model".to_owned(),
        ));
    }
    errors
}

fn pipeline_errors(
    name: &str,
    pipeline: &PipelineSpec,
    deployment: &Deployment,
    names: &DefinedNames,
) -> Vec<FieldError> {
    let path = FieldPath::from_keys(&["pipelines", name]);
    let mut errors = Vec::new();
    if !names.classes.contains(&pipeline.class) {
        let reason = format!("unknown class `{}`", pipeline.class);
        errors.push((path.join_key("class"), reason));
    }
    let stages = path.join_key("stages");
    if pipeline.stages.is_empty() {
        errors.push((stages, "a pipeline needs at least one stage".to_owned()));
        return errors;
    }
    for (index, stage) in pipeline.stages.iter().enumerate() {
        if !names.services.contains(&stage.service) {
            let reason = format!("unknown service `{}`", stage.service);
            errors.push((stages.join_index(index).join_key("service"), reason));
        }
    }
    let stage_names = pipeline.stages.iter().map(|stage| stage.name.as_str());
    for (index, stage) in find_repeated(stage_names) {
        let reason = format!("the stage name `{stage}` occurs twice in this pipeline");
        errors.push((stages.join_index(index).join_key("name"), reason));
    }
    if !pipeline.idempotent {
        errors.extend(plain_service_errors(&stages, pipeline, deployment));
    }
    errors
}

/// Checks that a non-idempotent pipeline calls a plain service in its last stage and only there.
///
/// A claim prevents a second execution of the last stage only. The stages before it may be executed
/// again, so they must not have a side effect. Only targets of plain services have side effects.
fn plain_service_errors(
    stages: &FieldPath,
    pipeline: &PipelineSpec,
    deployment: &Deployment,
) -> Vec<FieldError> {
    let mut errors = Vec::new();
    let last = pipeline.stages.len() - 1;
    for (index, stage) in pipeline.stages.iter().enumerate() {
        let Some(service) = deployment.services.get(&stage.service) else {
            continue;
        };
        let plain = service.kind == ServiceKind::Plain;
        if plain && index != last {
            let reason = format!(
                "the plain service `{}` is called before the last stage; a non-idempotent \
                 pipeline calls exactly one plain service, in its last stage",
                stage.service
            );
            errors.push((stages.join_index(index).join_key("service"), reason));
        }
        if !plain && index == last {
            let reason = format!(
                "`{}` is not a plain service; the last stage of a non-idempotent pipeline calls \
                 the plain service that has the side effect",
                stage.service
            );
            errors.push((stages.join_index(index).join_key("service"), reason));
        }
    }
    errors
}

fn claims_errors(claims: &ClaimsSpec) -> Vec<FieldError> {
    let path = FieldPath::from_keys(&["claims"]);
    let mut errors = Vec::new();
    if claims.group_commit_ms >= claims.dispatch_window_ms {
        let reason = format!(
            "the group commit time of {} is not shorter than the dispatch window of {}",
            claims.group_commit_ms, claims.dispatch_window_ms
        );
        errors.push((path.join_key("group_commit_ms"), reason));
    }
    if claims.dispatch_window_ms >= claims.retention_ms {
        let reason = format!(
            "the dispatch window of {} is not shorter than the retention of {}",
            claims.dispatch_window_ms, claims.retention_ms
        );
        errors.push((path.join_key("dispatch_window_ms"), reason));
    }
    errors
}

/// Returns an error for each field that the overlay of a site changes although it must be the same
/// at every site, and an error if the base does not list the site.
///
/// Any instance may receive a client retry. If sites disagreed about where a claim is stored, how
/// long it is kept or whether one is needed, the request could be executed twice.
pub(crate) fn site_errors(site: &str, base: &Deployment, merged: &Deployment) -> Vec<FieldError> {
    let mut errors = Vec::new();
    let mut reject = |path: FieldPath| {
        let reason = "this field has to be the same at every site, so an overlay cannot change it";
        errors.push((path, reason.to_owned()));
    };
    if base.sites != merged.sites {
        reject(FieldPath::from_keys(&["sites"]));
    }
    let claims = FieldPath::from_keys(&["claims"]);
    if base.claims.shards != merged.claims.shards {
        reject(claims.join_key("shards"));
    }
    if base.claims.dispatch_window_ms != merged.claims.dispatch_window_ms {
        reject(claims.join_key("dispatch_window_ms"));
    }
    if base.claims.retention_ms != merged.claims.retention_ms {
        reject(claims.join_key("retention_ms"));
    }
    for (name, base_service, merged_service) in entries_in_both(&base.services, &merged.services) {
        let path = FieldPath::from_keys(&["services", name]);
        if base_service.kind != merged_service.kind {
            reject(path.join_key("kind"));
        }
        if base_service.deduplicates != merged_service.deduplicates {
            reject(path.join_key("deduplicates"));
        }
        if base_service.checks_fencing != merged_service.checks_fencing {
            reject(path.join_key("checks_fencing"));
        }
    }
    for (name, base_pipeline, merged_pipeline) in
        entries_in_both(&base.pipelines, &merged.pipelines)
    {
        let path = FieldPath::from_keys(&["pipelines", name]);
        if base_pipeline.idempotent != merged_pipeline.idempotent {
            reject(path.join_key("idempotent"));
        }
        if !base_pipeline.idempotent && base_pipeline.stages != merged_pipeline.stages {
            reject(path.join_key("stages"));
        }
    }
    if !base.sites.is_empty() && !base.sites.iter().any(|known| known == site) {
        let reason = format!("`{site}` is not in the base's list of sites");
        errors.push((FieldPath::new(), reason));
    }
    errors
}

fn entries_in_both<'a, T>(
    base: &'a BTreeMap<String, T>,
    merged: &'a BTreeMap<String, T>,
) -> impl Iterator<Item = (&'a str, &'a T, &'a T)> {
    base.iter()
        .filter_map(|(name, base_entry)| Some((name.as_str(), base_entry, merged.get(name)?)))
}

/// Returns each item that has already occurred earlier in the list, with its index.
pub(crate) fn find_repeated<'a>(items: impl Iterator<Item = &'a str>) -> Vec<(usize, &'a str)> {
    let mut seen = BTreeSet::new();
    items
        .enumerate()
        .filter(|&(_, item)| !seen.insert(item))
        .collect()
}
