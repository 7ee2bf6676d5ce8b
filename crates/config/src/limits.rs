//! Validates the limits on requests in progress.
//!
//! Limits form a hierarchy of organisations, classes and pipelines. On each level the first entry
//! that matches a name applies. A later entry with the same name, or any entry after a wildcard,
//! would never apply and is an error.

use std::collections::BTreeSet;

use crate::deployment::Deployment;
use crate::deployment::LimitEntry;
use crate::path::FieldPath;
use crate::schema::WILDCARD;
use crate::validate::DefinedNames;
use crate::validate::FieldError;

/// The levels of the hierarchy below the limit of the whole deployment.
#[derive(Clone, Copy, Debug)]
enum Level {
    Organisation,
    Class,
    Pipeline,
}

impl Level {
    fn next_lower(self) -> Option<Self> {
        match self {
            Self::Organisation => Some(Self::Class),
            Self::Class => Some(Self::Pipeline),
            Self::Pipeline => None,
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Class => "class",
            Self::Pipeline => "pipeline",
        }
    }

    fn defined_names(self, names: &DefinedNames) -> &BTreeSet<String> {
        match self {
            Self::Organisation => &names.organisations,
            Self::Class => &names.classes,
            Self::Pipeline => &names.pipelines,
        }
    }
}

/// The limit that contains a list of entries.
///
/// For the list of organisations, this is the limit of the whole deployment. It has no names, and
/// `max_in_flight` is `None` if the deployment has no limit.
#[derive(Clone, Copy)]
struct ParentLimit<'a> {
    max_in_flight: Option<u32>,
    names: &'a [String],
}

struct LimitChecker<'a> {
    deployment: &'a Deployment,
    names: &'a DefinedNames,
    errors: Vec<FieldError>,
}

/// Returns an error for each limit that is inconsistent or can never apply.
pub(crate) fn limit_errors(deployment: &Deployment, names: &DefinedNames) -> Vec<FieldError> {
    let mut checker = LimitChecker {
        deployment,
        names,
        errors: Vec::new(),
    };
    let limits = &deployment.limits;
    let parent = ParentLimit {
        max_in_flight: limits.max_in_flight,
        names: &[],
    };
    let path = FieldPath::from_keys(&["limits", "organisations"]);
    checker.check_entries(&limits.organisations, Level::Organisation, parent, &path);
    checker.errors
}

impl LimitChecker<'_> {
    fn check_entries(
        &mut self,
        entries: &[LimitEntry],
        level: Level,
        parent: ParentLimit<'_>,
        path: &FieldPath,
    ) {
        let mut seen = BTreeSet::new();
        for (index, entry) in entries.iter().enumerate() {
            let path = path.join_index(index);
            self.check_wildcard(entry, index + 1 == entries.len(), &path);
            self.check_names(entry, level, parent, &mut seen, &path);
            self.check_parent_limit(entry, parent, &path);
            self.check_children(entry, level, &path);
        }
    }

    fn check_wildcard(&mut self, entry: &LimitEntry, is_last: bool, path: &FieldPath) {
        if !entry.names.iter().any(|name| name == WILDCARD) {
            return;
        }
        if entry.names.len() > 1 {
            self.add_error(
                path.join_key("names"),
                "`*` cannot be combined with other names",
            );
        }
        if !is_last {
            self.add_error(
                path.join_key("names"),
                "`*` is only allowed in the last entry; entries after it would never apply",
            );
        }
    }

    fn check_names<'e>(
        &mut self,
        entry: &'e LimitEntry,
        level: Level,
        parent: ParentLimit<'_>,
        seen: &mut BTreeSet<&'e str>,
        path: &FieldPath,
    ) {
        if entry.names.is_empty() {
            self.add_error(path.join_key("names"), "a limit needs at least one name");
        }
        for (index, name) in entry.names.iter().enumerate() {
            if name == WILDCARD {
                continue;
            }
            let path = path.join_key("names").join_index(index);
            if !level.defined_names(self.names).contains(name) {
                self.add_error(path, &format!("unknown {} `{name}`", level.label()));
                continue;
            }
            if !seen.insert(name) {
                let reason = format!("`{name}` already has a limit; only the first one applies");
                self.add_error(path, &reason);
                continue;
            }
            self.check_pipeline_class(name, level, parent, path);
        }
    }

    /// Checks that the limit of a pipeline is nested in a limit of the pipeline's class.
    fn check_pipeline_class(
        &mut self,
        name: &str,
        level: Level,
        parent: ParentLimit<'_>,
        path: FieldPath,
    ) {
        let (Level::Pipeline, Some(pipeline)) = (level, self.deployment.pipelines.get(name)) else {
            return;
        };
        let covers_pipeline = |class: &String| class == WILDCARD || *class == pipeline.class;
        if !parent.names.iter().any(covers_pipeline) {
            let reason = format!(
                "pipeline `{name}` belongs to class `{}`, but the parent limit is for other classes",
                pipeline.class
            );
            self.add_error(path, &reason);
        }
    }

    fn check_parent_limit(
        &mut self,
        entry: &LimitEntry,
        parent: ParentLimit<'_>,
        path: &FieldPath,
    ) {
        let Some(limit) = parent.max_in_flight else {
            return;
        };
        if entry.max_in_flight > limit {
            let reason = format!(
                "{} exceeds the parent limit of {limit}",
                entry.max_in_flight
            );
            self.add_error(path.join_key("max_in_flight"), &reason);
        }
    }

    fn check_children(&mut self, entry: &LimitEntry, level: Level, path: &FieldPath) {
        let path = path.join_key("within");
        let parent = ParentLimit {
            max_in_flight: Some(entry.max_in_flight),
            names: &entry.names,
        };
        match level.next_lower() {
            Some(lower_level) => self.check_entries(&entry.within, lower_level, parent, &path),
            None if entry.within.is_empty() => {}
            None => self.add_error(path, "the limit of a pipeline cannot contain other limits"),
        }
    }

    fn add_error(&mut self, path: FieldPath, reason: &str) {
        self.errors.push((path, reason.to_owned()));
    }
}
