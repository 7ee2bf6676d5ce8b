//! The schema of the deployment configuration: every field with its type and range.
//!
//! Deserializing into the structs of [`crate::deployment`] stops at the first error. Checking a
//! document against this schema finds all errors with their paths. A test checks that the structs
//! and the schema have the same fields.

use serde_norway::Mapping;
use serde_norway::Value;

use crate::overlay::type_name;
use crate::path::FieldPath;

/// The maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

const MAX_U32: u64 = u32::MAX as u64;
const MAX_U8: u64 = u8::MAX as u64;

/// The type and range of a value.
#[derive(Debug)]
pub enum ValueSchema {
    /// A mapping with a fixed set of fields.
    Struct(&'static [FieldSchema]),
    /// A mapping from names to values of the same schema.
    Map(&'static ValueSchema),
    /// A list of values of the same schema.
    List(&'static ValueSchema),
    /// A name, see [`is_valid_name`].
    Name,
    /// A name or [`WILDCARD`].
    NameOrWildcard,
    /// A whole number in an inclusive range.
    Integer {
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// True or false.
    Bool,
    /// One of a fixed set of strings.
    OneOf(&'static [&'static str]),
    /// Null, or a value of the inner schema.
    Optional(&'static ValueSchema),
}

/// A field of a mapping.
#[derive(Debug)]
pub struct FieldSchema {
    /// The key of the field.
    pub name: &'static str,
    /// The schema of the value.
    pub schema: &'static ValueSchema,
    /// Whether the field may be omitted.
    pub has_default: bool,
}

const fn required(name: &'static str, schema: &'static ValueSchema) -> FieldSchema {
    FieldSchema {
        name,
        schema,
        has_default: false,
    }
}

const fn with_default(name: &'static str, schema: &'static ValueSchema) -> FieldSchema {
    FieldSchema {
        name,
        schema,
        has_default: true,
    }
}

static NAME: ValueSchema = ValueSchema::Name;
static NAMES: ValueSchema = ValueSchema::List(&NAME);
static NAMES_OR_WILDCARD: ValueSchema = ValueSchema::List(&ValueSchema::NameOrWildcard);
static FLAG: ValueSchema = ValueSchema::Bool;
static ANY_U64: ValueSchema = ValueSchema::Integer {
    min: 0,
    max: u64::MAX,
};
static ANY_U32: ValueSchema = ValueSchema::Integer {
    min: 0,
    max: MAX_U32,
};
static POSITIVE_U32: ValueSchema = ValueSchema::Integer {
    min: 1,
    max: MAX_U32,
};
static POSITIVE_U64: ValueSchema = ValueSchema::Integer {
    min: 1,
    max: u64::MAX,
};
static ANY_U8: ValueSchema = ValueSchema::Integer {
    min: 0,
    max: MAX_U8,
};
static PERCENT: ValueSchema = ValueSchema::Integer { min: 0, max: 100 };
/// Each claim shard is one platform object, and listing the claims reads all of them. The maximum
/// bounds that cost.
static SHARDS: ValueSchema = ValueSchema::Integer { min: 1, max: 1_024 };

/// The schema of the deployment configuration.
pub static DEPLOYMENT: ValueSchema = ValueSchema::Struct(&[
    with_default("sites", &NAMES),
    required("services", &ValueSchema::Map(&SERVICE)),
    required("pipelines", &ValueSchema::Map(&PIPELINE)),
    required("classes", &ValueSchema::Map(&CLASS)),
    required("organisations", &ValueSchema::Map(&ORGANISATION)),
    with_default("limits", &LIMITS),
    with_default("policy", &POLICY),
    with_default("claims", &CLAIMS),
]);

static SERVICE: ValueSchema = ValueSchema::Struct(&[
    required(
        "kind",
        &ValueSchema::OneOf(&["engine", "encoder", "retriever", "reranker", "plain"]),
    ),
    with_default("deduplicates", &FLAG),
    with_default("checks_fencing", &FLAG),
    with_default("model", &ValueSchema::Optional(&MODEL)),
]);

static MODEL: ValueSchema =
    ValueSchema::Struct(&[required("name", &NAME), required("version", &ANY_U64)]);

static PIPELINE: ValueSchema = ValueSchema::Struct(&[
    required("class", &NAME),
    required("idempotent", &FLAG),
    required("deadline_ms", &POSITIVE_U64),
    required("stages", &ValueSchema::List(&STAGE)),
]);

static STAGE: ValueSchema = ValueSchema::Struct(&[
    required("name", &NAME),
    required("service", &NAME),
    with_default("max_tokens", &POSITIVE_U32),
]);

static CLASS: ValueSchema = ValueSchema::Struct(&[
    required("priority", &ANY_U8),
    with_default("stall_ms", &POSITIVE_U64),
    with_default("hedge", &FLAG),
]);

static ORGANISATION: ValueSchema = ValueSchema::Struct(&[with_default("weight", &POSITIVE_U32)]);

static LIMITS: ValueSchema = ValueSchema::Struct(&[
    with_default("max_in_flight", &ValueSchema::Optional(&POSITIVE_U32)),
    with_default("organisations", &LIMIT_ENTRIES),
]);

static LIMIT_ENTRIES: ValueSchema = ValueSchema::List(&LIMIT_ENTRY);

static LIMIT_ENTRY: ValueSchema = ValueSchema::Struct(&[
    required("names", &NAMES_OR_WILDCARD),
    required("max_in_flight", &ANY_U32),
    with_default("within", &LIMIT_ENTRIES),
]);

static POLICY: ValueSchema = ValueSchema::Struct(&[
    with_default(
        "choice",
        &ValueSchema::OneOf(&["least_loaded", "round_robin"]),
    ),
    with_default("admission", &FLAG),
    with_default("slow_start", &FLAG),
    with_default("stage_budgets", &FLAG),
    with_default("prefix_affinity", &FLAG),
    with_default("retry_budget_percent", &PERCENT),
    with_default("max_attempts", &POSITIVE_U32),
    with_default("subset_size", &POSITIVE_U32),
]);

static CLAIMS: ValueSchema = ValueSchema::Struct(&[
    with_default("shards", &SHARDS),
    with_default("group_commit_ms", &ANY_U64),
    with_default("dispatch_window_ms", &POSITIVE_U64),
    with_default("retention_ms", &POSITIVE_U64),
]);

/// A value that does not match its schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchemaError {
    /// The path of the value, or of the mapping that lacks a required field.
    pub path: FieldPath,
    /// What is wrong, and what is expected.
    pub reason: String,
}

/// Returns all errors in a document that is checked against [`DEPLOYMENT`].
#[must_use]
pub fn schema_errors(document: &Value) -> Vec<SchemaError> {
    let mut errors = Vec::new();
    check_value(document, &DEPLOYMENT, &FieldPath::new(), &mut errors);
    errors
}

fn check_value(
    value: &Value,
    schema: &ValueSchema,
    path: &FieldPath,
    errors: &mut Vec<SchemaError>,
) {
    match (schema, value) {
        (ValueSchema::Struct(fields), Value::Mapping(mapping)) => {
            check_fields(mapping, fields, path, errors);
        }
        (ValueSchema::Map(inner), Value::Mapping(mapping)) => {
            check_named_entries(mapping, inner, path, errors);
        }
        (ValueSchema::List(inner), Value::Sequence(items)) => {
            for (index, item) in items.iter().enumerate() {
                check_value(item, inner, &path.join_index(index), errors);
            }
        }
        (ValueSchema::Optional(_), Value::Null) => {}
        (ValueSchema::Optional(inner), _) => check_value(value, inner, path, errors),
        _ => {
            if let Some(reason) = mismatch_reason(value, schema) {
                add_error(errors, path, reason);
            }
        }
    }
}

fn check_fields(
    mapping: &Mapping,
    fields: &[FieldSchema],
    path: &FieldPath,
    errors: &mut Vec<SchemaError>,
) {
    for (key, value) in mapping {
        let Some(name) = key.as_str() else {
            add_error(
                errors,
                path,
                "the mapping has a key that is not a string".to_owned(),
            );
            continue;
        };
        match fields.iter().find(|field| field.name == name) {
            Some(field) => check_value(value, field.schema, &path.join_key(name), errors),
            None => add_error(errors, &path.join_key(name), unknown_field(fields)),
        }
    }
    for field in fields {
        if !field.has_default && !mapping.contains_key(field.name) {
            add_error(
                errors,
                path,
                format!("the field `{}` is missing", field.name),
            );
        }
    }
}

fn check_named_entries(
    mapping: &Mapping,
    inner: &ValueSchema,
    path: &FieldPath,
    errors: &mut Vec<SchemaError>,
) {
    for (key, value) in mapping {
        let Some(name) = key.as_str() else {
            add_error(
                errors,
                path,
                "the mapping has a key that is not a string".to_owned(),
            );
            continue;
        };
        let path = path.join_key(name);
        if !is_valid_name(name) {
            add_error(errors, &path, name_requirement());
        }
        check_value(value, inner, &path, errors);
    }
}

fn mismatch_reason(value: &Value, schema: &ValueSchema) -> Option<String> {
    let expected = match (schema, value) {
        (ValueSchema::Bool, Value::Bool(_)) => return None,
        (ValueSchema::NameOrWildcard, Value::String(text)) if text == WILDCARD => return None,
        (ValueSchema::Name | ValueSchema::NameOrWildcard, Value::String(text)) => {
            return (!is_valid_name(text)).then(name_requirement);
        }
        (ValueSchema::OneOf(allowed_values), Value::String(text)) => {
            let is_allowed = allowed_values.contains(&text.as_str());
            return (!is_allowed)
                .then(|| format!("`{text}` is not one of {}", allowed_values.join(", ")));
        }
        (&ValueSchema::Integer { min, max }, Value::Number(number)) => {
            let in_range = number.as_u64().is_some_and(|n| (min..=max).contains(&n));
            return (!in_range).then(|| format!("{number} is not {}", integer_range(min, max)));
        }
        (ValueSchema::Struct(_) | ValueSchema::Map(_), _) => "a mapping".to_owned(),
        (ValueSchema::List(_), _) => "a list".to_owned(),
        (ValueSchema::Name | ValueSchema::NameOrWildcard, _) => "a name".to_owned(),
        (&ValueSchema::Integer { min, max }, _) => integer_range(min, max),
        (ValueSchema::Bool, _) => "true or false".to_owned(),
        (ValueSchema::OneOf(allowed_values), _) => format!("one of {}", allowed_values.join(", ")),
        (ValueSchema::Optional(inner), _) => return mismatch_reason(value, inner),
    };
    Some(format!("expected {expected}, found {}", type_name(value)))
}

/// The name in a limit that matches all names without an earlier entry.
pub const WILDCARD: &str = "*";

/// Returns whether a text is valid as the name of a site, a service, a pipeline and so on.
///
/// Names are used in URLs and file names, so a name such as `..` is not valid.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(allowed)
}

pub(crate) fn name_requirement() -> String {
    format!(
        "a name must have 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`, and begin with \
         a letter or a digit"
    )
}

fn integer_range(min: u64, max: u64) -> String {
    if max == u64::MAX {
        return format!("a whole number of at least {min}");
    }
    format!("a whole number from {min} to {max}")
}

fn unknown_field(fields: &[FieldSchema]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    format!("unknown field; expected one of {}", names.join(", "))
}

fn add_error(errors: &mut Vec<SchemaError>, path: &FieldPath, reason: String) {
    errors.push(SchemaError {
        path: path.clone(),
        reason,
    });
}

/// Returns the paths of all fields, with `*` for a name and `[]` for a list item.
///
/// Limit entries contain further limit entries in the field `within`. The fields of an entry are
/// listed once, for the outermost entries.
#[must_use]
pub fn field_paths() -> Vec<String> {
    let mut paths = Vec::new();
    collect_paths(&DEPLOYMENT, "", &mut paths);
    paths
}

fn collect_paths(schema: &ValueSchema, prefix: &str, paths: &mut Vec<String>) {
    match schema {
        ValueSchema::Struct(fields) => {
            for field in *fields {
                let path = if prefix.is_empty() {
                    field.name.to_owned()
                } else {
                    format!("{prefix}.{}", field.name)
                };
                paths.push(path.clone());
                if field.name != "within" {
                    collect_paths(field.schema, &path, paths);
                }
            }
        }
        ValueSchema::Map(inner) => collect_paths(inner, &format!("{prefix}.*"), paths),
        ValueSchema::List(inner) => collect_paths(inner, &format!("{prefix}[]"), paths),
        ValueSchema::Optional(inner) => collect_paths(inner, prefix, paths),
        _ => {}
    }
}
