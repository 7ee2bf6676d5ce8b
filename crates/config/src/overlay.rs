//! Merging of a site's overlay into the base.
//!
//! An overlay has the shape of the base and holds only what differs at its site. It may change
//! the value of a field that the base has. It can add no field and no name, and it cannot change
//! the type of a field. Lists are replaced whole.

use serde_norway::Mapping;
use serde_norway::Value;

use crate::path::FieldPath;
use crate::source::Source;
use crate::validation_error::ValidationErrors;

/// Merges an overlay into the base and returns the result; the inputs stay as they are.
///
/// # Errors
///
/// Returns all faults: unknown fields and names, and values of another type than in the base.
pub fn merge(base: &Value, overlay: &Value, source: &Source) -> Result<Value, ValidationErrors> {
    let (merged, errors) = merge_valid_fields(base, overlay, source);
    errors.into_result(merged)
}

/// Merges the valid fields of an overlay into the base, and returns the faults of the others.
pub(crate) fn merge_valid_fields(
    base: &Value,
    overlay: &Value,
    source: &Source,
) -> (Value, ValidationErrors) {
    let mut merge = Merge {
        source,
        errors: ValidationErrors::new(),
    };
    // An empty text is a document without a value, and changes nothing.
    if overlay.is_null() {
        return (base.clone(), merge.errors);
    }
    let merged = merge.node(base, overlay, &FieldPath::new());
    (merged, merge.errors)
}

struct Merge<'a> {
    source: &'a Source,
    errors: ValidationErrors,
}

impl Merge<'_> {
    fn node(&mut self, base: &Value, overlay: &Value, path: &FieldPath) -> Value {
        match (base, overlay) {
            (Value::Mapping(base), Value::Mapping(overlay)) => {
                Value::Mapping(self.mapping(base, overlay, path))
            }
            _ if type_name(base) == type_name(overlay) => overlay.clone(),
            _ => {
                let (found, expected) = (type_name(overlay), type_name(base));
                self.add(
                    path,
                    &format!("the base has {expected} here, found {found}"),
                );
                base.clone()
            }
        }
    }

    fn mapping(&mut self, base: &Mapping, overlay: &Mapping, path: &FieldPath) -> Mapping {
        let mut merged = base.clone();
        for (key, value) in overlay {
            let Some(name) = key.as_str() else {
                self.add(path, "a key is not a string");
                continue;
            };
            let path = path.join_key(name);
            let Some(inherited) = base.get(key) else {
                self.add(&path, UNKNOWN);
                continue;
            };
            let value = self.node(inherited, value, &path);
            merged.insert(key.clone(), value);
        }
        merged
    }

    fn add(&mut self, path: &FieldPath, reason: &str) {
        self.errors.add(self.source.error_at(path, reason));
    }
}

const UNKNOWN: &str = "the base has no such field; an overlay only changes fields of the base";

/// Returns the name of a value's type for messages.
pub(crate) fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "no value",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Sequence(_) => "a list",
        Value::Mapping(_) => "a mapping",
        Value::Tagged(_) => "a tagged value",
    }
}
