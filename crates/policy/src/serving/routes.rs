//! Selection of a route and check of the API key of a request.
//!
//! A table belongs to one version of the configuration and never changes; a new version replaces
//! the whole table.

use std::collections::BTreeMap;

use crate::serving::model::Configuration;
use crate::serving::model::OrganisationSpec;
use crate::serving::model::Route;

/// Routes and API keys of one version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Configuration,
    /// Indices of routes by host, the longest path prefix first.
    by_host: BTreeMap<String, Vec<usize>>,
}

/// Whether a request may be served.
#[derive(Debug, PartialEq)]
pub enum Access<'a> {
    /// The request may be served.
    Allowed {
        /// Route of the request.
        route: &'a Route,
        /// Organisation of the key. `None` if an anonymous route was called without a known key, or
        /// if the configuration has no organisations.
        organisation: Option<&'a OrganisationSpec>,
    },
    /// No route matches the host and path.
    UnknownRoute,
    /// The key is missing or belongs to no organisation.
    UnknownKey,
}

impl RouteTable {
    /// Creates the table for a configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&index| {
                std::cmp::Reverse(configuration.routes[index].path_prefix.len())
            });
        }
        Self {
            configuration,
            by_host,
        }
    }

    /// Returns the configuration that the table was created from.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route of the host with the longest prefix of the path; a port in `host` is
    /// ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        routes
            .iter()
            .map(|&index| &self.configuration.routes[index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether a request may be served, with its route and organisation.
    #[must_use]
    pub fn check_access(&self, host: &str, path: &str, key: Option<&str>) -> Access<'_> {
        let Some(route) = self.route(host, path) else {
            return Access::UnknownRoute;
        };
        let Some(organisations) = &self.configuration.organisations_by_key else {
            return Access::Allowed {
                route,
                organisation: None,
            };
        };
        let organisation = key.and_then(|key| organisations.get(key));
        if organisation.is_none() && !route.anonymous {
            return Access::UnknownKey;
        }
        Access::Allowed {
            route,
            organisation,
        }
    }
}

/// Selects a service of a route by weight.
///
/// `fraction` is a random number from 0 to below 1. Returns `None` if the route has no
/// destinations.
#[must_use]
pub fn select_service(route: &Route, fraction: f64) -> Option<&str> {
    let total: f64 = route.destinations.iter().map(|entry| entry.weight).sum();
    let mut remaining = fraction * total;
    for entry in &route.destinations {
        remaining -= entry.weight;
        if remaining < 0.0 {
            return Some(&entry.service);
        }
    }
    route
        .destinations
        .last()
        .map(|entry| entry.service.as_str())
}

/// Returns a host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
