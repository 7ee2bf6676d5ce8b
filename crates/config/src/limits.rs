//! Checks of the hierarchical limits.
//!
//! The first entry that names a child applies to it, so a later entry with the same name, or any
//! entry after a wildcard, would never apply and is refused.

use std::collections::BTreeSet;

use crate::deployment::Deployment;
use crate::deployment::LimitEntry;
use crate::path::FieldPath;
use crate::schema::WILDCARD;
use crate::validate::FieldError;
use crate::validate::Names;

/// The levels of the hierarchy below the deployment.
#[derive(Clone, Copy, Debug)]
enum Level {
    Organisation,
    Class,
    Pipeline,
}

impl Level {
    fn below(self) -> Option<Self> {
        match self {
            Self::Organisation => Some(Self::Class),
            Self::Class => Some(Self::Pipeline),
            Self::Pipeline => None,
        }
    }

    fn word(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Class => "class",
            Self::Pipeline => "pipeline",
        }
    }

    fn known(self, names: &Names) -> &BTreeSet<String> {
        match self {
            Self::Organisation => &names.organisations,
            Self::Class => &names.classes,
            Self::Pipeline => &names.pipelines,
        }
    }
}

/// The entry above a list of limits.
#[derive(Clone, Copy)]
struct Parent<'a> {
    max_in_flight: Option<u32>,
    names: &'a [String],
}

struct Check<'a> {
    deployment: &'a Deployment,
    names: &'a Names,
    errors: Vec<FieldError>,
}

/// Returns all limits that contradict each other or can never apply.
pub(crate) fn limit_errors(deployment: &Deployment, names: &Names) -> Vec<FieldError> {
    let mut check = Check {
        deployment,
        names,
        errors: Vec::new(),
    };
    let limits = &deployment.limits;
    let parent = Parent {
        max_in_flight: limits.max_in_flight,
        names: &[],
    };
    let path = FieldPath::from_keys(&["limits", "organisations"]);
    check.entries(&limits.organisations, Level::Organisation, parent, &path);
    check.errors
}

impl Check<'_> {
    fn entries(
        &mut self,
        entries: &[LimitEntry],
        level: Level,
        parent: Parent<'_>,
        path: &FieldPath,
    ) {
        let mut seen = BTreeSet::new();
        for (index, entry) in entries.iter().enumerate() {
            let path = path.join_index(index);
            self.wildcard(entry, index + 1 == entries.len(), &path);
            self.entry_names(entry, level, parent, &mut seen, &path);
            self.maximum(entry, parent, &path);
            self.children(entry, level, &path);
        }
    }

    fn wildcard(&mut self, entry: &LimitEntry, last: bool, path: &FieldPath) {
        if !entry.names.iter().any(|name| name == WILDCARD) {
            return;
        }
        if entry.names.len() > 1 {
            self.add(
                path.join_key("names"),
                "`*` stands alone in its list of names",
            );
        }
        if !last {
            self.add(
                path.join_key("names"),
                "`*` stands in the last entry; entries after it would never apply",
            );
        }
    }

    fn entry_names<'e>(
        &mut self,
        entry: &'e LimitEntry,
        level: Level,
        parent: Parent<'_>,
        seen: &mut BTreeSet<&'e str>,
        path: &FieldPath,
    ) {
        if entry.names.is_empty() {
            self.add(path.join_key("names"), "a limit has at least one name");
        }
        for (index, name) in entry.names.iter().enumerate() {
            if name == WILDCARD {
                continue;
            }
            let path = path.join_key("names").join_index(index);
            if !level.known(self.names).contains(name) {
                self.add(path, &format!("unknown {} `{name}`", level.word()));
                continue;
            }
            if !seen.insert(name) {
                let reason = format!("`{name}` has a limit already; only the first one applies");
                self.add(path, &reason);
                continue;
            }
            self.membership(name, level, parent, path);
        }
    }

    /// Checks that a pipeline's limit lies within the limit of the pipeline's class.
    fn membership(&mut self, name: &str, level: Level, parent: Parent<'_>, path: FieldPath) {
        let (Level::Pipeline, Some(pipeline)) = (level, self.deployment.pipelines.get(name)) else {
            return;
        };
        let covers = |class: &String| class == WILDCARD || *class == pipeline.class;
        if !parent.names.iter().any(covers) {
            let reason = format!("the pipeline `{name}` is of the class `{}`", pipeline.class);
            self.add(path, &reason);
        }
    }

    fn maximum(&mut self, entry: &LimitEntry, parent: Parent<'_>, path: &FieldPath) {
        let Some(limit) = parent.max_in_flight else {
            return;
        };
        if entry.max_in_flight > limit {
            let reason = format!(
                "{} is above the parent's limit of {limit}",
                entry.max_in_flight
            );
            self.add(path.join_key("max_in_flight"), &reason);
        }
    }

    fn children(&mut self, entry: &LimitEntry, level: Level, path: &FieldPath) {
        let path = path.join_key("within");
        let parent = Parent {
            max_in_flight: Some(entry.max_in_flight),
            names: &entry.names,
        };
        match level.below() {
            Some(below) => self.entries(&entry.within, below, parent, &path),
            None if entry.within.is_empty() => {}
            None => self.add(path, "there are no limits below a pipeline"),
        }
    }

    fn add(&mut self, path: FieldPath, reason: &str) {
        self.errors.push((path, reason.to_owned()));
    }
}
