//! Merges and validates the files of a configuration.
//!
//! Validation does not stop at the first error: the caller gets either a valid deployment
//! configuration or all errors.

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
use crate::validate::DefinedNames;
use crate::validation_error::ValidationError;
use crate::validation_error::ValidationErrors;

/// The YAML files of a configuration: the base, and the overlay of each site that has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigSources {
    /// The base file, which applies to all sites.
    pub base: Source,
    /// The overlay files by site.
    pub overlays: BTreeMap<String, Source>,
}

impl ConfigSources {
    /// Creates the sources of a configuration without overlays.
    #[must_use]
    pub fn new(base: Source) -> Self {
        Self {
            base,
            overlays: BTreeMap::new(),
        }
    }

    /// Adds the overlay of a site, or replaces it.
    #[must_use]
    pub fn with_overlay(mut self, site: &str, overlay: Source) -> Self {
        self.overlays.insert(site.to_owned(), overlay);
        self
    }

    /// Returns the deployment configuration of a site. A site without an overlay gets the base, and
    /// so does an empty `site`, which is not a valid name of a site.
    ///
    /// # Errors
    ///
    /// Returns all errors in the base and in the overlay of the site.
    pub fn deployment(&self, site: &str) -> Result<Deployment, ValidationErrors> {
        let base = self.base.parse()?;
        let base_result = ResolvedDocument::from_document(&base, &Layers::base_only(&self.base));
        let Some(overlay) = self.overlays.get(site) else {
            return base_result.into_result();
        };
        self.resolve_site(site, overlay, &base, &base_result)
            .into_result()
    }

    /// Validates the base and the merged configuration of every site with an overlay.
    ///
    /// # Errors
    ///
    /// Returns the errors in all files.
    pub fn validate(&self) -> Result<(), ValidationErrors> {
        let base = match self.base.parse() {
            Ok(base) => base,
            Err(error) => return Err(self.syntax_errors(error)),
        };
        let base_result = ResolvedDocument::from_document(&base, &Layers::base_only(&self.base));
        let mut errors = base_result.errors.clone();
        for (site, overlay) in &self.overlays {
            if !schema::is_valid_name(site) {
                errors.add(overlay.error_at(&FieldPath::new(), schema::name_requirement()));
            }
            errors.extend(self.resolve_site(site, overlay, &base, &base_result).errors);
        }
        errors.into_result(())
    }

    /// Returns the syntax error of the base together with those of the overlays.
    fn syntax_errors(&self, base_error: ValidationError) -> ValidationErrors {
        let mut errors = ValidationErrors::from(base_error);
        for overlay in self.overlays.values() {
            if let Err(error) = overlay.parse() {
                errors.add(error);
            }
        }
        errors
    }

    /// Merges the overlay of a site into the base and validates the result.
    fn resolve_site(
        &self,
        site: &str,
        overlay: &Source,
        base: &Value,
        base_result: &ResolvedDocument,
    ) -> ResolvedDocument {
        let parsed = match overlay.parse() {
            Ok(parsed) => parsed,
            Err(error) => return ResolvedDocument::from_error(error),
        };
        let (merged, merge_errors) = merge_valid_fields(base, &parsed, overlay);
        let layers = Layers {
            base: &self.base,
            overlay: Some(overlay),
        };
        let mut resolved = ResolvedDocument::from_document(&merged, &layers);
        resolved
            .errors
            .append_site_to_new_errors(&self.base, site, &base_result.errors);
        if merge_errors.is_empty() && merged == *base {
            let reason = format!("the overlay of site {site} changes nothing; remove the file");
            resolved
                .errors
                .add(overlay.error_at(&FieldPath::new(), reason));
        }
        resolved.errors.extend(merge_errors);
        if let (Some(base), Some(merged)) = (&base_result.deployment, &resolved.deployment) {
            for (path, reason) in validate::site_errors(site, base, merged) {
                resolved.errors.add(layers.error_at(&path, reason));
            }
        }
        resolved
    }
}

/// The files from which a document was merged.
struct Layers<'a> {
    base: &'a Source,
    overlay: Option<&'a Source>,
}

impl<'a> Layers<'a> {
    fn base_only(base: &'a Source) -> Self {
        Self {
            base,
            overlay: None,
        }
    }

    /// Creates an error in the file that contains the value of the field.
    fn error_at(&self, path: &FieldPath, reason: String) -> ValidationError {
        match self.overlay {
            Some(overlay) if overlay.line(path).is_some() => overlay.error_at(path, reason),
            _ => self.base.error_at(path, reason),
        }
    }
}

/// The result of validating a document.
struct ResolvedDocument {
    /// The document without the entries that have schema errors; `None` if it cannot be
    /// deserialized.
    deployment: Option<Deployment>,
    errors: ValidationErrors,
}

impl ResolvedDocument {
    fn from_document(document: &Value, layers: &Layers<'_>) -> Self {
        let schema_errors = schema::schema_errors(document);
        let names = DefinedNames::from_document(document);
        let mut errors = ValidationErrors::new();
        let mut usable = document.clone();
        for schema_error in schema_errors {
            remove_invalid(&mut usable, &schema_error.path);
            errors.add(layers.error_at(&schema_error.path, schema_error.reason));
        }
        let deployment: Deployment = match serde_norway::from_value(usable) {
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

    fn from_error(error: ValidationError) -> Self {
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

/// Top-level fields that map names to entries. An invalid entry is removed before the consistency
/// checks; the other entries are kept.
const NAMED_SECTIONS: [&str; 4] = ["services", "pipelines", "classes", "organisations"];

/// Removes the part of a document that a schema error makes unusable, so that the rest can be
/// deserialized. The consistency checks of the rest still run, so that all errors are reported at
/// once.
///
/// An error at the root is a key that is not a string or a missing section: such keys are removed,
/// and missing named sections are added as empty ones.
fn remove_invalid(document: &mut Value, path: &FieldPath) {
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
