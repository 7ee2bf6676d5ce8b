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
use crate::limits::limit_faults;
use crate::path::FieldPath;

/// A field with the reason why it is refused.
pub(crate) type Refusal = (FieldPath, String);

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
pub(crate) fn deployment_faults(deployment: &Deployment, names: &Names) -> Vec<Refusal> {
    let mut faults = site_list_faults(&deployment.sites);
    for (name, service) in &deployment.services {
        faults.extend(service_faults(name, service));
    }
    for (name, pipeline) in &deployment.pipelines {
        faults.extend(pipeline_faults(name, pipeline, deployment, names));
    }
    faults.extend(limit_faults(deployment, names));
    faults.extend(claims_faults(&deployment.claims));
    faults
}

fn site_list_faults(sites: &[String]) -> Vec<Refusal> {
    let path = FieldPath::of_keys(&["sites"]);
    repeated(sites.iter().map(String::as_str))
        .into_iter()
        .map(|(index, site)| {
            (
                path.item(index),
                format!("the site `{site}` is listed twice"),
            )
        })
        .collect()
}

fn service_faults(name: &str, service: &ServiceSpec) -> Vec<Refusal> {
    let path = FieldPath::of_keys(&["services", name]);
    let mut faults = Vec::new();
    if service.deduplicates && service.kind != ServiceKind::Plain {
        let reason = "only a plain service receives idempotency keys and can deduplicate by them";
        faults.push((path.key("deduplicates"), reason.to_owned()));
    }
    if service.model.is_some() && service.kind == ServiceKind::Plain {
        faults.push((
            path.key("model"),
            "a plain service loads no model".to_owned(),
        ));
    }
    faults
}

fn pipeline_faults(
    name: &str,
    pipeline: &PipelineSpec,
    deployment: &Deployment,
    names: &Names,
) -> Vec<Refusal> {
    let path = FieldPath::of_keys(&["pipelines", name]);
    let mut faults = Vec::new();
    if !names.classes.contains(&pipeline.class) {
        let reason = format!("unknown class `{}`", pipeline.class);
        faults.push((path.key("class"), reason));
    }
    let stages = path.key("stages");
    if pipeline.stages.is_empty() {
        faults.push((stages, "a pipeline has at least one stage".to_owned()));
        return faults;
    }
    for (index, stage) in pipeline.stages.iter().enumerate() {
        if !names.services.contains(&stage.service) {
            let reason = format!("unknown service `{}`", stage.service);
            faults.push((stages.item(index).key("service"), reason));
        }
    }
    let stage_names = pipeline.stages.iter().map(|stage| stage.name.as_str());
    for (index, stage) in repeated(stage_names) {
        let reason = format!("the stage name `{stage}` occurs twice in this pipeline");
        faults.push((stages.item(index).key("name"), reason));
    }
    if !pipeline.idempotent {
        faults.extend(side_effect_faults(&stages, pipeline, deployment));
    }
    faults
}

/// Checks that the side effect is in the last stage and nowhere else.
///
/// Everything before the claim is dispatched may run again, so only the last stage may have a
/// side effect, and plain services are the only targets that have one.
fn side_effect_faults(
    stages: &FieldPath,
    pipeline: &PipelineSpec,
    deployment: &Deployment,
) -> Vec<Refusal> {
    let mut faults = Vec::new();
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
            faults.push((stages.item(index).key("service"), reason));
        }
        if !plain && index == last {
            let reason = format!(
                "`{}` is not a plain service; a pipeline that is not idempotent ends in the \
                 plain service that has the side effect",
                stage.service
            );
            faults.push((stages.item(index).key("service"), reason));
        }
    }
    faults
}

fn claims_faults(claims: &ClaimsSpec) -> Vec<Refusal> {
    let path = FieldPath::of_keys(&["claims"]);
    let mut faults = Vec::new();
    if claims.group_commit_ms >= claims.dispatch_window_ms {
        let reason = format!(
            "commands are collected for {}, which is not shorter than the dispatch window of {}",
            claims.group_commit_ms, claims.dispatch_window_ms
        );
        faults.push((path.key("group_commit_ms"), reason));
    }
    if claims.dispatch_window_ms >= claims.retention_ms {
        let reason = format!(
            "the dispatch window of {} is not shorter than the retention of {}",
            claims.dispatch_window_ms, claims.retention_ms
        );
        faults.push((path.key("dispatch_window_ms"), reason));
    }
    faults
}

/// Returns the fields that a site's overlay must not change.
///
/// Any instance may receive the resend of a request. When sites disagree about where a claim is
/// stored, how long it is kept or whether one is needed, the request can run twice.
pub(crate) fn site_faults(site: &str, base: &Deployment, merged: &Deployment) -> Vec<Refusal> {
    let mut faults = Vec::new();
    let mut refuse = |path: FieldPath| {
        let reason = "has to be the same at every site, so an overlay cannot change it";
        faults.push((path, reason.to_owned()));
    };
    if base.sites != merged.sites {
        refuse(FieldPath::of_keys(&["sites"]));
    }
    let claims = FieldPath::of_keys(&["claims"]);
    if base.claims.shards != merged.claims.shards {
        refuse(claims.key("shards"));
    }
    if base.claims.dispatch_window_ms != merged.claims.dispatch_window_ms {
        refuse(claims.key("dispatch_window_ms"));
    }
    if base.claims.retention_ms != merged.claims.retention_ms {
        refuse(claims.key("retention_ms"));
    }
    for (name, before, after) in shared(&base.services, &merged.services) {
        let path = FieldPath::of_keys(&["services", name]);
        if before.kind != after.kind {
            refuse(path.key("kind"));
        }
        if before.deduplicates != after.deduplicates {
            refuse(path.key("deduplicates"));
        }
        if before.checks_fencing != after.checks_fencing {
            refuse(path.key("checks_fencing"));
        }
    }
    for (name, before, after) in shared(&base.pipelines, &merged.pipelines) {
        let path = FieldPath::of_keys(&["pipelines", name]);
        if before.idempotent != after.idempotent {
            refuse(path.key("idempotent"));
        }
        if !before.idempotent && before.stages != after.stages {
            refuse(path.key("stages"));
        }
    }
    if !base.sites.is_empty() && !base.sites.iter().any(|known| known == site) {
        let reason = format!("`{site}` is not in the base's list of sites");
        faults.push((FieldPath::new(), reason));
    }
    faults
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
