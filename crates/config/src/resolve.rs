//! From the texts of a configuration to the deployment of each site.
//!
//! All texts are read before anything is returned: either every site has a valid deployment, or
//! the caller gets all faults and no deployment.

use std::collections::BTreeMap;

use serde_norway::Mapping;
use serde_norway::Value;

use crate::deployment::Deployment;
use crate::fault::Fault;
use crate::fault::Faults;
use crate::overlay::merge_valid_fields;
use crate::path::FieldPath;
use crate::path::Step;
use crate::schema;
use crate::source::Source;
use crate::validate;
use crate::validate::Names;

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
    pub fn validate(&self) -> Result<(), Faults> {
        let base = match self.base.parse() {
            Ok(base) => base,
            Err(fault) => return Err(self.syntax_faults(fault)),
        };
        let plain = Resolved::of(&base, &Layers::base(&self.base));
        let mut faults = plain.faults.clone();
        for (site, overlay) in &self.overlays {
            if !schema::is_name(site) {
                faults.add(overlay.fault(&FieldPath::new(), schema::name_rule()));
            }
            faults.extend(self.resolve_site(site, overlay, &base, &plain).faults);
        }
        faults.into_result(())
    }

    fn syntax_faults(&self, base_fault: Fault) -> Faults {
        let mut faults = Faults::from(base_fault);
        for overlay in self.overlays.values() {
            if let Err(fault) = overlay.parse() {
                faults.add(fault);
            }
        }
        faults
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
            Err(fault) => return Resolved::refused(fault),
        };
        let (merged, merge_faults) = merge_valid_fields(base, &parsed, overlay);
        let layers = Layers {
            base: &self.base,
            overlay: Some(overlay),
        };
        let mut resolved = Resolved::of(&merged, &layers);
        resolved.faults.name_site(&self.base, site, &plain.faults);
        if merge_faults.is_empty() && merged == *base {
            let reason = format!("the overlay of the site {site} changes nothing; remove it");
            resolved
                .faults
                .add(overlay.fault(&FieldPath::new(), reason));
        }
        resolved.faults.extend(merge_faults);
        if let (Some(base), Some(merged)) = (&plain.deployment, &resolved.deployment) {
            for (path, reason) in validate::site_faults(site, base, merged) {
                resolved.faults.add(layers.fault(&path, reason));
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
    fn fault(&self, path: &FieldPath, reason: String) -> Fault {
        match self.overlay {
            Some(overlay) if overlay.line(path).is_some() => overlay.fault(path, reason),
            _ => self.base.fault(path, reason),
        }
    }
}

/// A document after all checks. The deployment is complete only when there are no faults.
struct Resolved {
    deployment: Option<Deployment>,
    faults: Faults,
}

impl Resolved {
    fn of(document: &Value, layers: &Layers<'_>) -> Self {
        let misfits = schema::misfits(document);
        let names = Names::of(document);
        let mut faults = Faults::new();
        let mut sound = document.clone();
        for misfit in misfits {
            remove_unsound(&mut sound, &misfit.path);
            faults.add(layers.fault(&misfit.path, misfit.reason));
        }
        let deployment: Deployment = match serde_norway::from_value(sound) {
            Ok(deployment) => deployment,
            Err(error) => {
                if faults.is_empty() {
                    faults.add(layers.fault(&FieldPath::new(), error.to_string()));
                }
                return Self {
                    deployment: None,
                    faults,
                };
            }
        };
        for (path, reason) in validate::deployment_faults(&deployment, &names) {
            faults.add(layers.fault(&path, reason));
        }
        Self {
            deployment: Some(deployment),
            faults,
        }
    }

    fn refused(fault: Fault) -> Self {
        Self {
            deployment: None,
            faults: Faults::from(fault),
        }
    }

    fn into_result(self) -> Result<Deployment, Faults> {
        match self.deployment {
            Some(deployment) => self.faults.into_result(deployment),
            None => Err(self.faults),
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
    match path.steps() {
        [Step::Key(section), Step::Key(name), ..] if is_named_section(section) => {
            if let Some(Value::Mapping(entries)) = root.get_mut(section.as_str()) {
                entries.remove(name.as_str());
            }
        }
        [Step::Key(section), ..] => {
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
