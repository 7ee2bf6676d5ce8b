//! Cross checks of a deployment, and checks of a site's deployment against the base.
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

/// A field with the reason why it is refused.
pub(crate) type FieldError = (FieldPath, String);

/// All names that a document defines, including those of entries with other faults.
#[derive(Debug, Default)]
pub(crate) struct Names {
    pub(crate) services: BTreeSet<String>,
    pub(crate) pipelines: BTreeSet<String>,
    pub(crate) classes: BTreeSet<String>,
    pub(crate) organisations: BTreeSet<String>,
}

impl Names {
    pub(crate) fn of(document: &Value) -> Self {
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

/// Returns all fields of a deployment that contradict each other.
pub(crate) fn deployment_errors(deployment: &Deployment, names: &Names) -> Vec<FieldError> {
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
    repeated(sites.iter().map(String::as_str))
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
    names: &Names,
) -> Vec<FieldError> {
    let path = FieldPath::from_keys(&["pipelines", name]);
    let mut errors = Vec::new();
    if !names.classes.contains(&pipeline.class) {
        let reason = format!("unknown class `{}`", pipeline.class);
        errors.push((path.join_key("class"), reason));
    }
    let stages = path.join_key("stages");
    if pipeline.stages.is_empty() {
        errors.push((stages, "a pipeline has at least one stage".to_owned()));
        return errors;
    }
    for (index, stage) in pipeline.stages.iter().enumerate() {
        if !names.services.contains(&stage.service) {
            let reason = format!("unknown service `{}`", stage.service);
            errors.push((stages.join_index(index).join_key("service"), reason));
        }
    }
    let stage_names = pipeline.stages.iter().map(|stage| stage.name.as_str());
    for (index, stage) in repeated(stage_names) {
        let reason = format!("the stage name `{stage}` occurs twice in this pipeline");
        errors.push((stages.join_index(index).join_key("name"), reason));
    }
    if !pipeline.idempotent {
        errors.extend(side_effect_errors(&stages, pipeline, deployment));
    }
    errors
}

/// Checks that the side effect is in the last stage and nowhere else.
///
/// Everything before the claim is dispatched may run again, so only the last stage may have a
/// side effect, and plain services are the only targets that have one.
fn side_effect_errors(
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
                "`{}` is a plain service before the last stage; a pipeline that is not \
                 idempotent calls exactly one plain service, and calls it last",
                stage.service
            );
            errors.push((stages.join_index(index).join_key("service"), reason));
        }
        if !plain && index == last {
            let reason = format!(
                "`{}` is not a plain service; a pipeline that is not idempotent ends in the \
                 plain service that has the side effect",
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
            "commands are collected for {}, which is not shorter than the dispatch window of {}",
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

/// Returns the fields that a site's overlay must not change.
///
/// Any instance may receive the resend of a request. When sites disagree about where a claim is
/// stored, how long it is kept or whether one is needed, the request can run twice.
pub(crate) fn site_errors(site: &str, base: &Deployment, merged: &Deployment) -> Vec<FieldError> {
    let mut errors = Vec::new();
    let mut refuse = |path: FieldPath| {
        let reason = "has to be the same at every site, so an overlay cannot change it";
        errors.push((path, reason.to_owned()));
    };
    if base.sites != merged.sites {
        refuse(FieldPath::from_keys(&["sites"]));
    }
    let claims = FieldPath::from_keys(&["claims"]);
    if base.claims.shards != merged.claims.shards {
        refuse(claims.join_key("shards"));
    }
    if base.claims.dispatch_window_ms != merged.claims.dispatch_window_ms {
        refuse(claims.join_key("dispatch_window_ms"));
    }
    if base.claims.retention_ms != merged.claims.retention_ms {
        refuse(claims.join_key("retention_ms"));
    }
    for (name, before, after) in shared(&base.services, &merged.services) {
        let path = FieldPath::from_keys(&["services", name]);
        if before.kind != after.kind {
            refuse(path.join_key("kind"));
        }
        if before.deduplicates != after.deduplicates {
            refuse(path.join_key("deduplicates"));
        }
        if before.checks_fencing != after.checks_fencing {
            refuse(path.join_key("checks_fencing"));
        }
    }
    for (name, before, after) in shared(&base.pipelines, &merged.pipelines) {
        let path = FieldPath::from_keys(&["pipelines", name]);
        if before.idempotent != after.idempotent {
            refuse(path.join_key("idempotent"));
        }
        if !before.idempotent && before.stages != after.stages {
            refuse(path.join_key("stages"));
        }
    }
    if !base.sites.is_empty() && !base.sites.iter().any(|known| known == site) {
        let reason = format!("`{site}` is not in the base's list of sites");
        errors.push((FieldPath::new(), reason));
    }
    errors
}

fn shared<'a, T>(
    base: &'a BTreeMap<String, T>,
    merged: &'a BTreeMap<String, T>,
) -> impl Iterator<Item = (&'a str, &'a T, &'a T)> {
    base.iter()
        .filter_map(|(name, before)| Some((name.as_str(), before, merged.get(name)?)))
}

/// Returns the items that occur earlier in the list, with their indices.
pub(crate) fn repeated<'a>(items: impl Iterator<Item = &'a str>) -> Vec<(usize, &'a str)> {
    let mut seen = BTreeSet::new();
    items
        .enumerate()
        .filter(|&(_, item)| !seen.insert(item))
        .collect()
}
