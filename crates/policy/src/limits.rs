//! Hierarchical limits on requests in progress: deployment, organisation, class, pipeline.
//!
//! A check proceeds from the leaf to the root and counts the request only when every level allows
//! it, so a denial changes nothing. Only an increase can be denied; the end of a request always
//! succeeds. Requests are counted at every level whether it has a limit or not, so a limit that
//! is set, changed or cleared in operation is right for the requests in progress at once. A change
//! is validated whole by [`LimitTree::new`] and replaces the old limits in one step.
//!
//! Two of these ideas come from the design note "User Based Quota Enforcement" of Apache `YuniKorn`:
//! the check from the leaf to the root before anything is counted, and the treatment of a limit
//! that is cleared like one that is set. The test
//! `requests_in_progress_are_counted_exactly_while_limits_change` supports them: it fails when a
//! level is counted before the next one is checked, and when only levels with a limit are counted.
//!
//! Limits hold for the deployment. Each instance enforces its share; see
//! [`limit_share`](crate::limit_share).

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

const WILDCARD: &str = "*";
/// Organisation, class, pipeline.
const MAX_DEPTH: usize = 3;

/// The limits of a deployment, as configured.
#[derive(Clone, Debug, Default)]
pub struct LimitsSettings {
    /// The limit for the whole deployment.
    pub max_in_flight: Option<u32>,
    /// Limits for organisations; the first entry that names an organisation applies to it.
    pub organisations: Vec<LimitRule>,
}

/// A limit for each of the named organisations, classes or pipelines.
#[derive(Clone, Debug)]
pub struct LimitRule {
    /// The names; `*` stands alone, and only in the last rule.
    pub names: Vec<String>,
    /// The limit of each name by itself.
    pub max_in_flight: u32,
    /// Within an organisation: limits for classes. Within a class: limits for pipelines.
    pub within: Vec<LimitRule>,
}

/// A level of the hierarchy: nothing, or the names of organisation, class and pipeline.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LimitPath(Vec<String>);

impl LimitPath {
    /// Returns the path of a pipeline in a class of an organisation.
    #[must_use]
    pub fn new(organisation: &str, class: &str, pipeline: &str) -> Self {
        Self([organisation, class, pipeline].map(str::to_owned).to_vec())
    }

    /// Returns the level above, or nothing for the deployment.
    #[must_use]
    pub fn parent(&self) -> Option<Self> {
        let (_, above) = self.0.split_last()?;
        Some(Self(above.to_vec()))
    }

    fn child(&self, name: &str) -> Self {
        let mut names = self.0.clone();
        names.push(name.to_owned());
        Self(names)
    }

    fn levels(&self) -> Vec<Self> {
        (0..=self.0.len())
            .rev()
            .map(|depth| Self(self.0[..depth].to_vec()))
            .collect()
    }
}

impl fmt::Display for LimitPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds = ["organisation", "class", "pipeline"];
        if self.0.is_empty() {
            return f.write_str("deployment");
        }
        for (index, (kind, name)) in kinds.iter().zip(&self.0).enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{kind} {name}")?;
        }
        Ok(())
    }
}

/// Why limits are not valid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LimitError {
    /// the limit {limit} of {child} is above the limit {bound} of {parent}
    AboveParent {
        /// The lower level.
        child: LimitPath,
        /// Its limit.
        limit: u32,
        /// The level above.
        parent: LimitPath,
        /// Its limit.
        bound: u32,
    },
    /// in {0}, an entry lists `*` beside other names
    WildcardBesideNames(LimitPath),
    /// in {0}, the entry `*` is not the last one
    WildcardNotLast(LimitPath),
    /// in {0}, an entry has no names
    NoNames(LimitPath),
    /// {0} has two limits
    Duplicate(LimitPath),
    /// {0} is a pipeline, within which there are no further limits
    TooDeep(LimitPath),
}

impl Error for LimitError {}

/// Limits that have been validated.
#[derive(Clone, Debug, Default)]
pub struct LimitTree {
    settings: LimitsSettings,
}

impl LimitTree {
    /// Validates limits.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong with them.
    pub fn new(settings: LimitsSettings) -> Result<Self, Vec<LimitError>> {
        let mut errors = Vec::new();
        let root = LimitPath::default();
        let limit = settings.max_in_flight;
        validate(&root, limit, &settings.organisations, &mut errors);
        if errors.is_empty() {
            Ok(Self { settings })
        } else {
            Err(errors)
        }
    }

    /// Returns the limit of a level, if it has one.
    #[must_use]
    pub fn limit(&self, path: &LimitPath) -> Option<u32> {
        let mut limit = self.settings.max_in_flight;
        let mut rules = &self.settings.organisations;
        for name in &path.0 {
            let applies = |rule: &&LimitRule| rule.names.iter().any(|n| n == name || n == WILDCARD);
            let rule = rules.iter().find(applies)?;
            limit = Some(rule.max_in_flight);
            rules = &rule.within;
        }
        limit
    }
}

fn validate(
    parent: &LimitPath,
    parent_limit: Option<u32>,
    rules: &[LimitRule],
    errors: &mut Vec<LimitError>,
) {
    if parent.0.len() >= MAX_DEPTH && !rules.is_empty() {
        errors.push(LimitError::TooDeep(parent.clone()));
        return;
    }
    let mut seen = Vec::new();
    for (index, rule) in rules.iter().enumerate() {
        let wildcard = rule.names.iter().any(|name| name == WILDCARD);
        if rule.names.is_empty() {
            errors.push(LimitError::NoNames(parent.clone()));
        }
        if wildcard && rule.names.len() > 1 {
            errors.push(LimitError::WildcardBesideNames(parent.clone()));
        }
        if wildcard && index + 1 < rules.len() {
            errors.push(LimitError::WildcardNotLast(parent.clone()));
        }
        for name in &rule.names {
            let child = parent.child(name);
            if seen.contains(&name) {
                errors.push(LimitError::Duplicate(child.clone()));
            }
            seen.push(name);
            if let Some(bound) = parent_limit
                && rule.max_in_flight > bound
            {
                errors.push(LimitError::AboveParent {
                    child: child.clone(),
                    limit: rule.max_in_flight,
                    parent: parent.clone(),
                    bound,
                });
            }
            validate(&child, Some(rule.max_in_flight), &rule.within, errors);
        }
    }
}

/// the {share} requests that {path} may have in progress at this instance are in progress
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct LimitDenied {
    /// The level that denies.
    pub path: LimitPath,
    /// The requests in progress.
    pub in_flight: u32,
    /// This instance's share of the limit.
    pub share: u32,
    /// The limit for the deployment.
    pub limit: u32,
}

impl Error for LimitDenied {}

/// A request that is counted; it is given back with [`InFlightLimiter::leave`].
#[derive(Debug)]
#[must_use]
pub struct LimitPermit {
    path: LimitPath,
}

/// Use and limit of one level at this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitStatus {
    /// The level.
    pub path: LimitPath,
    /// The requests in progress.
    pub in_flight: u32,
    /// This instance's share of the limit.
    pub share: Option<u32>,
    /// The limit for the deployment.
    pub limit: Option<u32>,
}

/// What an instance needs of one limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// The level.
    pub path: LimitPath,
    /// The requests in progress.
    pub in_flight: u32,
    /// The highest number of requests in progress or denied since the last report.
    pub wanted: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    in_flight: u32,
    peak: u32,
    denied: u32,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    slots: u32,
    valid_until: Millis,
}

/// The requests in progress at one instance, and its shares of the limits.
#[derive(Debug)]
pub struct InFlightLimiter {
    tree: LimitTree,
    live_instances: u32,
    usage: BTreeMap<LimitPath, Usage>,
    shares: BTreeMap<LimitPath, Share>,
}

impl InFlightLimiter {
    /// Creates limits without requests in progress.
    #[must_use]
    pub fn new(tree: LimitTree, live_instances: u32) -> Self {
        Self {
            tree,
            live_instances,
            usage: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Replaces the limits while requests are in progress.
    pub fn replace(&mut self, tree: LimitTree) {
        let changed = |path: &LimitPath| self.tree.limit(path) != tree.limit(path);
        self.shares.retain(|path, _| !changed(path));
        self.tree = tree;
    }

    /// Returns the limits in effect.
    #[must_use]
    pub fn tree(&self) -> &LimitTree {
        &self.tree
    }

    /// Sets the number of live instances, among which limits are divided evenly at first.
    pub fn set_live_instances(&mut self, live_instances: u32) {
        self.live_instances = live_instances;
    }

    /// Counts a request if every level allows one more.
    ///
    /// # Errors
    ///
    /// Returns the lowest level that denies it; nothing is counted then.
    pub fn try_acquire(
        &mut self,
        now: Millis,
        path: &LimitPath,
    ) -> Result<LimitPermit, LimitDenied> {
        let levels = path.levels();
        let denial = levels.iter().find_map(|level| self.denial(now, level));
        if let Some(denial) = denial {
            let usage = self.usage.entry(denial.path.clone()).or_default();
            usage.denied = usage.denied.saturating_add(1);
            return Err(denial);
        }
        for level in levels {
            let usage = self.usage.entry(level).or_default();
            usage.in_flight += 1;
            usage.peak = usage.peak.max(usage.in_flight);
        }
        Ok(LimitPermit { path: path.clone() })
    }

    /// Ends a request; this never fails, whatever the limits are by now.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "an entry can be given back only once"
    )]
    pub fn release(&mut self, entry: LimitPermit) {
        for level in entry.path.levels() {
            if let Some(usage) = self.usage.get_mut(&level) {
                usage.in_flight = usage.in_flight.saturating_sub(1);
            }
        }
    }

    /// Takes over a share that the limit's divider assigned in answer to a demand that was
    /// reported at `reported_at`.
    pub fn set_share(
        &mut self,
        path: LimitPath,
        slots: u32,
        reported_at: Millis,
        valid_ms: Millis,
    ) {
        let valid_until = reported_at + valid_ms;
        self.shares.insert(path, Share { slots, valid_until });
    }

    /// Returns the demand for each limit that has been in use since the last call.
    pub fn take_demand(&mut self, now: Millis) -> Vec<LimitDemand> {
        let mut demands = Vec::new();
        for (path, usage) in &mut self.usage {
            let wanted = usage.peak.saturating_add(usage.denied);
            usage.peak = usage.in_flight;
            usage.denied = 0;
            if wanted > 0 && self.tree.limit(path).is_some() {
                demands.push(LimitDemand {
                    path: path.clone(),
                    in_flight: usage.in_flight,
                    wanted,
                });
            }
        }
        self.usage
            .retain(|_, usage| usage.in_flight > 0 || usage.peak > 0);
        self.shares.retain(|_, share| now < share.valid_until);
        demands
    }

    /// Returns use and limit of every level that is in use.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<LimitStatus> {
        let status = |(path, usage): (&LimitPath, &Usage)| LimitStatus {
            path: path.clone(),
            in_flight: usage.in_flight,
            share: self.share(now, path),
            limit: self.tree.limit(path),
        };
        self.usage.iter().map(status).collect()
    }

    /// Returns this instance's share of a limit, or nothing without a limit.
    #[must_use]
    pub fn share(&self, now: Millis, path: &LimitPath) -> Option<u32> {
        let limit = self.tree.limit(path)?;
        let assigned = self
            .shares
            .get(path)
            .filter(|share| now < share.valid_until)
            .map(|share| share.slots);
        let even = limit / self.live_instances.max(1);
        // At least one request, or a limit below the number of instances would refuse requests at
        // most instances while others do not use their shares.
        Some(assigned.unwrap_or(even).max(1).min(limit))
    }

    fn denial(&self, now: Millis, path: &LimitPath) -> Option<LimitDenied> {
        let share = self.share(now, path)?;
        let in_flight = self.usage.get(path).map_or(0, |usage| usage.in_flight);
        (in_flight >= share).then(|| LimitDenied {
            path: path.clone(),
            in_flight,
            share,
            limit: self.tree.limit(path).unwrap_or(share),
        })
    }
}
