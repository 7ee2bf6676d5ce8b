//! Hierarchical limits on requests in progress: deployment, organisation, class and pipeline.
//!
//! All levels are checked, from the pipeline up to the deployment, before the request is counted at
//! any of them. A denied request is therefore counted as in progress at no level. Only the start of
//! a request can be denied; its end always succeeds. Requests are counted at every level, with or
//! without a limit, so a limit that is set, changed or cleared immediately applies to the requests
//! that are already in progress. [`LimitTree::new`] validates a whole set of limits, which then
//! replaces the old set in one step.
//!
//! Two of these rules come from the design note "User Based Quota Enforcement" of Apache
//! `YuniKorn`: all levels are checked before any is counted, and clearing a limit is treated like
//! setting one. The test `requests_in_progress_are_counted_exactly_while_limits_change` covers
//! both: it fails when a level is counted before the next one is checked, and when only levels with
//! a limit are counted.
//!
//! A limit applies to the whole deployment. Each instance enforces its share of it; see
//! [`limit_share`](crate::limit_share).

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use arbutus_coord::Millis;

const WILDCARD: &str = "*";
/// The number of levels below the deployment: organisation, class and pipeline.
const MAX_DEPTH: usize = 3;

/// The limits of a deployment, as configured.
#[derive(Clone, Debug, Default)]
pub struct LimitsSettings {
    /// The limit for the whole deployment, or `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// Limits for organisations; the first rule that names an organisation, or has `*`, applies
    /// to it.
    pub organisations: Vec<LimitRule>,
}

/// A limit for each of the named organisations, classes or pipelines.
#[derive(Clone, Debug)]
pub struct LimitRule {
    /// The names. The wildcard `*` must be the only name of its rule, and the rule the last one.
    pub names: Vec<String>,
    /// The limit for each name; the names do not share it.
    pub max_in_flight: u32,
    /// The limits of the next lower level: for the classes of an organisation, or for the pipelines
    /// of a class.
    pub child_rules: Vec<LimitRule>,
}

/// Identifies a level of the hierarchy: an organisation, a class of it or a pipeline of that class,
/// by up to three names in this order. The path without names is the deployment.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LimitPath(Vec<String>);

impl LimitPath {
    /// Returns the path of a pipeline in a class of an organisation.
    #[must_use]
    pub fn new(organisation: &str, class: &str, pipeline: &str) -> Self {
        Self([organisation, class, pipeline].map(str::to_owned).to_vec())
    }

    /// Returns the level above, or `None` for the deployment.
    #[must_use]
    pub fn parent(&self) -> Option<Self> {
        let (_, parent) = self.0.split_last()?;
        Some(Self(parent.to_vec()))
    }

    fn child(&self, name: &str) -> Self {
        let mut names = self.0.clone();
        names.push(name.to_owned());
        Self(names)
    }

    /// Returns this level and all levels above it, up to the deployment.
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

/// Why a set of limits is not valid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LimitError {
    /// {child}: the limit {limit} exceeds the limit {bound} of the parent level, {parent}
    AboveParent {
        /// The level whose limit is too high.
        child: LimitPath,
        /// The limit of the child level.
        limit: u32,
        /// The level above the child level.
        parent: LimitPath,
        /// The limit of the parent level.
        bound: u32,
    },
    /// {0}: a rule has `*` together with other names
    WildcardWithOtherNames(LimitPath),
    /// {0}: the rule with `*` is not the last one
    WildcardNotLast(LimitPath),
    /// {0}: a rule has no names
    NoNames(LimitPath),
    /// {0}: more than one limit is set
    Duplicate(LimitPath),
    /// {0}: limits below a pipeline are not supported
    BelowPipeline(LimitPath),
}

impl Error for LimitError {}

/// A validated set of limits.
#[derive(Clone, Debug, Default)]
pub struct LimitTree {
    settings: LimitsSettings,
}

impl LimitTree {
    /// Validates a set of limits.
    ///
    /// # Errors
    ///
    /// Returns all violations.
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

    /// Returns the limit of a level, or `None` if no rule applies to it.
    #[must_use]
    pub fn limit(&self, path: &LimitPath) -> Option<u32> {
        let mut limit = self.settings.max_in_flight;
        let mut rules = &self.settings.organisations;
        for name in &path.0 {
            let applies = |rule: &&LimitRule| rule.names.iter().any(|n| n == name || n == WILDCARD);
            let rule = rules.iter().find(applies)?;
            limit = Some(rule.max_in_flight);
            rules = &rule.child_rules;
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
        errors.push(LimitError::BelowPipeline(parent.clone()));
        return;
    }
    let mut seen = Vec::new();
    for (index, rule) in rules.iter().enumerate() {
        let has_wildcard = rule.names.iter().any(|name| name == WILDCARD);
        if rule.names.is_empty() {
            errors.push(LimitError::NoNames(parent.clone()));
        }
        if has_wildcard && rule.names.len() > 1 {
            errors.push(LimitError::WildcardWithOtherNames(parent.clone()));
        }
        if has_wildcard && index + 1 < rules.len() {
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
            validate(&child, Some(rule.max_in_flight), &rule.child_rules, errors);
        }
    }
}

/// {path} has reached its share of {share} requests in progress at this instance
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct LimitDenied {
    /// The level that denied the request.
    pub path: LimitPath,
    /// The number of requests of the level that are in progress at this instance.
    pub in_flight: u32,
    /// This instance's share of the limit.
    pub share: u32,
    /// The limit of the level for the whole deployment.
    pub limit: u32,
}

impl Error for LimitDenied {}

/// A request that is counted at all levels until [`InFlightLimiter::release`].
#[derive(Debug)]
#[must_use]
pub struct LimitPermit {
    path: LimitPath,
}

/// The usage and the limit of one level at this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitStatus {
    /// The level.
    pub path: LimitPath,
    /// The number of requests of the level that are in progress at this instance.
    pub in_flight: u32,
    /// This instance's share of the limit, or `None` without a limit.
    pub share: Option<u32>,
    /// The limit of the level for the whole deployment, or `None` without a limit.
    pub limit: Option<u32>,
}

/// The demand of an instance for a share of one limit, as reported to the allocator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// The level.
    pub path: LimitPath,
    /// The number of requests of the level that are in progress at the reporting instance.
    pub in_flight: u32,
    /// The highest number of requests in progress since the last report, plus the number of
    /// requests that were denied since then.
    pub wanted: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    in_flight: u32,
    /// The highest value of `in_flight` since the last [`InFlightLimiter::take_demand`].
    peak: u32,
    /// The number of requests denied since the last [`InFlightLimiter::take_demand`].
    denied: u32,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    max_in_flight: u32,
    valid_until: Millis,
}

/// Counts the requests in progress at one instance and enforces its shares of the limits.
#[derive(Debug)]
pub struct InFlightLimiter {
    tree: LimitTree,
    live_instances: u32,
    usage: BTreeMap<LimitPath, Usage>,
    shares: BTreeMap<LimitPath, Share>,
}

impl InFlightLimiter {
    /// Creates a limiter without requests in progress and without allocated shares.
    #[must_use]
    pub fn new(tree: LimitTree, live_instances: u32) -> Self {
        Self {
            tree,
            live_instances,
            usage: BTreeMap::new(),
            shares: BTreeMap::new(),
        }
    }

    /// Replaces the limits. Requests in progress stay counted; shares of changed limits are
    /// dropped.
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

    /// Sets the number of live instances. Without a valid allocated share, the share of this
    /// instance is the limit divided by this number.
    pub fn set_live_instances(&mut self, live_instances: u32) {
        self.live_instances = live_instances;
    }

    /// Counts a request if all levels allow one more.
    ///
    /// # Errors
    ///
    /// Returns the denial of the lowest level that has no room for another request. The request is
    /// then counted as denied at that level, and as in progress at no level.
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

    /// Removes a request from the counts when it ends. This never fails, even if the limits have
    /// changed since its start.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit must not be released twice"
    )]
    pub fn release(&mut self, permit: LimitPermit) {
        for level in permit.path.levels() {
            if let Some(usage) = self.usage.get_mut(&level) {
                usage.in_flight = usage.in_flight.saturating_sub(1);
            }
        }
    }

    /// Sets the share of a limit, as returned by its allocator for the demand that was reported at
    /// `reported_at`. The share is valid for `valid_ms` from then on.
    pub fn set_share(
        &mut self,
        path: LimitPath,
        max_in_flight: u32,
        reported_at: Millis,
        valid_ms: Millis,
    ) {
        let valid_until = reported_at + valid_ms;
        self.shares.insert(
            path,
            Share {
                max_in_flight,
                valid_until,
            },
        );
    }

    /// Returns the demand for each limit that has been in use since the last call of this function,
    /// and starts the next reporting period.
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

    /// Returns the usage and the limit of every level that has been in use since the last call of
    /// [`InFlightLimiter::take_demand`].
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

    /// Returns this instance's share of a limit, or `None` if the level has no limit.
    #[must_use]
    pub fn share(&self, now: Millis, path: &LimitPath) -> Option<u32> {
        let limit = self.tree.limit(path)?;
        let allocated = self
            .shares
            .get(path)
            .filter(|share| now < share.valid_until)
            .map(|share| share.max_in_flight);
        let equal_share = limit / self.live_instances.max(1);
        // At least one request is allowed, unless the limit is 0. Otherwise a limit below the
        // number of instances would deny all requests at most instances, although the others do
        // not use their shares.
        Some(allocated.unwrap_or(equal_share).max(1).min(limit))
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
