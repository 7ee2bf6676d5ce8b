//! From the texts of a configuration to the deployment of each site.
//!
//! All texts are read before anything is returned: either every site has a valid deployment, or
//! the caller gets all faults and no deployment.

use std::collections::BTreeMap;

use serde_norway::Mapping;
use serde_norway::Value;

use crate::deployment::Deployment;
use crate::overlay::merge_valid_fields;
use crate::path::FieldPath;
use crate::path::PathSegment;
use crate::schema;
use crate::source::Source;
use crate::validate;
use crate::validate::Names;
use crate::validation_error::ValidationError;
use crate::validation_error::ValidationErrors;

/// The texts of a configuration: the base, and the overlay of each site that has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSources {
    /// The base.
    pub base: Source,
    /// The overlays by site.
    pub overlays: BTreeMap<String, Source>,
}

impl ConfigSources {
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
    pub fn deployment(&self, site: &str) -> Result<Deployment, ValidationErrors> {
        let base = self.base.parse()?;
        let plain = Resolved::of(&base, &Layers::base(&self.base));
        let Some(overlay) = self.overlays.get(site) else {
            return plain.into_result();
        };
        self.resolve_site(site, overlay, &base, &plain)
            .into_result()
    }

    /// Checks the base and the merged result of every site.
    ///
    /// # Errors
    ///
    /// Returns all faults of all files.
    pub fn validate(&self) -> Result<(), ValidationErrors> {
        let base = match self.base.parse() {
            Ok(base) => base,
            Err(error) => return Err(self.syntax_errors(error)),
        };
        let plain = Resolved::of(&base, &Layers::base(&self.base));
        let mut errors = plain.errors.clone();
        for (site, overlay) in &self.overlays {
            if !schema::is_valid_name(site) {
                errors.add(overlay.error_at(&FieldPath::new(), schema::name_rule()));
            }
            errors.extend(self.resolve_site(site, overlay, &base, &plain).errors);
        }
        errors.into_result(())
    }

    fn syntax_errors(&self, base_error: ValidationError) -> ValidationErrors {
        let mut errors = ValidationErrors::from(base_error);
        for overlay in self.overlays.values() {
            if let Err(error) = overlay.parse() {
                errors.add(error);
            }
        }
        errors
    }

    fn resolve_site(
        &self,
        site: &str,
        overlay: &Source,
        base: &Value,
        plain: &Resolved,
    ) -> Resolved {
        let parsed = match overlay.parse() {
            Ok(parsed) => parsed,
            Err(error) => return Resolved::refused(error),
        };
        let (merged, merge_errors) = merge_valid_fields(base, &parsed, overlay);
        let layers = Layers {
            base: &self.base,
            overlay: Some(overlay),
        };
        let mut resolved = Resolved::of(&merged, &layers);
        resolved
            .errors
            .append_site_to_new_errors(&self.base, site, &plain.errors);
        if merge_errors.is_empty() && merged == *base {
            let reason = format!("the overlay of the site {site} changes nothing; remove it");
            resolved
                .errors
                .add(overlay.error_at(&FieldPath::new(), reason));
        }
        resolved.errors.extend(merge_errors);
        if let (Some(base), Some(merged)) = (&plain.deployment, &resolved.deployment) {
            for (path, reason) in validate::site_errors(site, base, merged) {
                resolved.errors.add(layers.error_at(&path, reason));
            }
        }
        resolved
    }
}

/// The texts that a merged document came from.
struct Layers<'a> {
    base: &'a Source,
    overlay: Option<&'a Source>,
}

impl<'a> Layers<'a> {
    fn base(base: &'a Source) -> Self {
        Self {
            base,
            overlay: None,
        }
    }

    /// Creates a fault in the text that the field's value came from.
    fn error_at(&self, path: &FieldPath, reason: String) -> ValidationError {
        match self.overlay {
            Some(overlay) if overlay.line(path).is_some() => overlay.error_at(path, reason),
            _ => self.base.error_at(path, reason),
        }
    }
}

/// A document after all checks. The deployment is complete only when there are no faults.
struct Resolved {
    deployment: Option<Deployment>,
    errors: ValidationErrors,
}

impl Resolved {
    fn of(document: &Value, layers: &Layers<'_>) -> Self {
        let schema_errors = schema::schema_errors(document);
        let names = Names::of(document);
        let mut errors = ValidationErrors::new();
        let mut sound = document.clone();
        for schema_error in schema_errors {
            remove_unsound(&mut sound, &schema_error.path);
            errors.add(layers.error_at(&schema_error.path, schema_error.reason));
        }
        let deployment: Deployment = match serde_norway::from_value(sound) {
            Ok(deployment) => deployment,
            Err(error) => {
                if errors.is_empty() {
                    errors.add(layers.error_at(&FieldPath::new(), error.to_string()));
                }
                return Self {
                    deployment: None,
                    errors,
                };
            }
        };
        for (path, reason) in validate::deployment_errors(&deployment, &names) {
            errors.add(layers.error_at(&path, reason));
        }
        Self {
            deployment: Some(deployment),
            errors,
        }
    }

    fn refused(error: ValidationError) -> Self {
        Self {
            deployment: None,
            errors: ValidationErrors::from(error),
        }
    }

    fn into_result(self) -> Result<Deployment, ValidationErrors> {
        match self.deployment {
            Some(deployment) => self.errors.into_result(deployment),
            None => Err(self.errors),
        }
    }
}

/// Sections that map names to entries; an unsound entry is left out of the cross checks.
const NAMED_SECTIONS: [&str; 4] = ["services", "pipelines", "classes", "organisations"];

/// Removes the part of a document that a misfit makes unusable, so that the cross checks of
/// everything else still run and all faults are reported at once.
fn remove_unsound(document: &mut Value, path: &FieldPath) {
    let Value::Mapping(root) = document else {
        return;
    };
    match path.segments() {
        [PathSegment::Key(section), PathSegment::Key(name), ..] if is_named_section(section) => {
            if let Some(Value::Mapping(entries)) = root.get_mut(section.as_str()) {
                entries.remove(name.as_str());
            }
        }
        [PathSegment::Key(section), ..] => {
            root.remove(section.as_str());
        }
        _ => root.retain(|key, _| key.is_string()),
    }
    for section in NAMED_SECTIONS {
        if !root.contains_key(section) {
            root.insert(Value::from(section), Value::Mapping(Mapping::new()));
        }
    }
}

fn is_named_section(section: &str) -> bool {
    NAMED_SECTIONS.contains(&section)
}
