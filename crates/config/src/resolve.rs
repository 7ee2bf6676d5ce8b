//! From the texts of a configuration to the deployment of each site.
//!
//! All texts are read before anything is returned: either every site has a valid deployment, or
//! the caller gets all faults and no deployment.

use std::collections::BTreeMap;

use serde_norway::Value;

use crate::deployment::Deployment;
use crate::fault::Fault;
use crate::fault::Faults;
use crate::overlay::merge;
use crate::path::FieldPath;
use crate::source::Source;

/// The texts of a configuration: the base, and the overlay of each site that has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Texts {
    /// The base.
    pub base: Source,
    /// The overlays by site.
    pub overlays: BTreeMap<String, Source>,
}

impl Texts {
    /// Creates the texts of a configuration without overlays.
    #[must_use]
    pub fn new(base: Source) -> Self {
        Self {
            base,
            overlays: BTreeMap::new(),
        }
    }

    /// Adds the overlay of a site.
    #[must_use]
    pub fn with_overlay(mut self, site: &str, overlay: Source) -> Self {
        self.overlays.insert(site.to_owned(), overlay);
        self
    }

    /// Returns the deployment of a site; a site without an overlay gets the base.
    ///
    /// # Errors
    ///
    /// Returns all faults in the base and in the site's overlay.
    pub fn deployment(&self, site: &str) -> Result<Deployment, Faults> {
        let base = self.base.parse()?;
        let Some(overlay) = self.overlays.get(site) else {
            return typed(base, &self.base);
        };
        let merged = merge(&base, &overlay.parse()?, overlay)?;
        typed(merged, overlay)
    }
}

/// Converts a merged document to a deployment.
pub(crate) fn typed(value: Value, source: &Source) -> Result<Deployment, Faults> {
    serde_norway::from_value(value).map_err(|error| {
        let fault: Fault = source.fault(&FieldPath::new(), error);
        Faults::from(fault)
    })
}
