//! The shape of the configuration: every field with its type and range.
//!
//! The typed structures of [`crate::deployment`] stop at the first error. This table finds all
//! of them, and names the path of each. A test keeps both in agreement.

use serde_norway::Mapping;
use serde_norway::Value;

use crate::overlay::type_name;
use crate::path::FieldPath;

/// The largest length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

const MAX_U32: u64 = u32::MAX as u64;
const MAX_U8: u64 = u8::MAX as u64;

/// What a value has to be.
#[derive(Debug)]
pub enum ValueSchema {
    /// A mapping with exactly these fields.
    Struct(&'static [FieldSchema]),
    /// A mapping from names to values of one shape.
    Map(&'static ValueSchema),
    /// A list of values of one shape.
    List(&'static ValueSchema),
    /// A name: letters, digits, `-`, `_` and `.`.
    Name,
    /// A name or the wildcard `*`.
    NameOrWildcard,
    /// A whole number from `min` to `max`.
    Integer {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// True or false.
    Bool,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// No value, or a value of this shape.
    Optional(&'static ValueSchema),
}

/// A field of a mapping.
#[derive(Debug)]
pub struct FieldSchema {
    /// The field's name.
    pub name: &'static str,
    /// What its value has to be.
    pub schema: &'static ValueSchema,
    /// Whether the field may be left out.
    pub has_default: bool,
}

const fn required(name: &'static str, schema: &'static ValueSchema) -> FieldSchema {
    FieldSchema {
        name,
        schema,
        has_default: false,
    }
}

const fn defaulted(name: &'static str, schema: &'static ValueSchema) -> FieldSchema {
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
/// Claims are spread over a bounded number of objects, so that listing them stays cheap.
static SHARDS: ValueSchema = ValueSchema::Integer { min: 1, max: 1_024 };

/// The whole configuration.
pub static DEPLOYMENT: ValueSchema = ValueSchema::Struct(&[
    defaulted("sites", &NAMES),
    required("services", &ValueSchema::Map(&SERVICE)),
    required("pipelines", &ValueSchema::Map(&PIPELINE)),
    required("classes", &ValueSchema::Map(&CLASS)),
    required("organisations", &ValueSchema::Map(&ORGANISATION)),
    defaulted("limits", &LIMITS),
    defaulted("policy", &POLICY),
    defaulted("claims", &CLAIMS),
]);

static SERVICE: ValueSchema = ValueSchema::Struct(&[
    required(
        "kind",
        &ValueSchema::OneOf(&["engine", "encoder", "retriever", "reranker", "plain"]),
    ),
    defaulted("deduplicates", &FLAG),
    defaulted("checks_fencing", &FLAG),
    defaulted("model", &ValueSchema::Optional(&MODEL)),
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
    defaulted("max_tokens", &POSITIVE_U32),
]);

static CLASS: ValueSchema = ValueSchema::Struct(&[
    required("priority", &ANY_U8),
    defaulted("stall_ms", &POSITIVE_U64),
    defaulted("hedge", &FLAG),
]);

static ORGANISATION: ValueSchema = ValueSchema::Struct(&[defaulted("weight", &POSITIVE_U32)]);

static LIMITS: ValueSchema = ValueSchema::Struct(&[
    defaulted("max_in_flight", &ValueSchema::Optional(&POSITIVE_U32)),
    defaulted("organisations", &LIMIT_ENTRIES),
]);

static LIMIT_ENTRIES: ValueSchema = ValueSchema::List(&LIMIT_ENTRY);

static LIMIT_ENTRY: ValueSchema = ValueSchema::Struct(&[
    required("names", &NAMES_OR_WILDCARD),
    required("max_in_flight", &ANY_U32),
    defaulted("within", &LIMIT_ENTRIES),
]);

static POLICY: ValueSchema = ValueSchema::Struct(&[
    defaulted(
        "choice",
        &ValueSchema::OneOf(&["least_loaded", "round_robin"]),
    ),
    defaulted("admission", &FLAG),
    defaulted("slow_start", &FLAG),
    defaulted("stage_budgets", &FLAG),
    defaulted("prefix_affinity", &FLAG),
    defaulted("retry_budget_percent", &PERCENT),
    defaulted("max_attempts", &POSITIVE_U32),
    defaulted("subset_size", &POSITIVE_U32),
]);

static CLAIMS: ValueSchema = ValueSchema::Struct(&[
    defaulted("shards", &SHARDS),
    defaulted("group_commit_ms", &ANY_U64),
    defaulted("dispatch_window_ms", &POSITIVE_U64),
    defaulted("retention_ms", &POSITIVE_U64),
]);

/// A value that does not have its shape.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchemaError {
    /// The path of the value, or of the mapping that lacks a field.
    pub path: FieldPath,
    /// What is wrong, and what is expected.
    pub reason: String,
}

/// Returns all values of a document that do not have their shape.
#[must_use]
pub fn schema_errors(value: &Value) -> Vec<SchemaError> {
    let mut found = Vec::new();
    check(value, &DEPLOYMENT, &FieldPath::new(), &mut found);
    found
}

fn check(value: &Value, schema: &ValueSchema, path: &FieldPath, found: &mut Vec<SchemaError>) {
    match (schema, value) {
        (ValueSchema::Struct(fields), Value::Mapping(mapping)) => {
            check_fields(mapping, fields, path, found);
        }
        (ValueSchema::Map(inner), Value::Mapping(mapping)) => {
            check_names(mapping, inner, path, found);
        }
        (ValueSchema::List(inner), Value::Sequence(items)) => {
            for (index, item) in items.iter().enumerate() {
                check(item, inner, &path.join_index(index), found);
            }
        }
        (ValueSchema::Optional(_), Value::Null) => {}
        (ValueSchema::Optional(inner), _) => check(value, inner, path, found),
        _ => {
            if let Some(reason) = scalar_error(value, schema) {
                add(found, path, reason);
            }
        }
    }
}

fn check_fields(
    mapping: &Mapping,
    fields: &[FieldSchema],
    path: &FieldPath,
    found: &mut Vec<SchemaError>,
) {
    for (key, value) in mapping {
        let Some(name) = key.as_str() else {
            add(found, path, "a key is not a string".to_owned());
            continue;
        };
        match fields.iter().find(|field| field.name == name) {
            Some(field) => check(value, field.schema, &path.join_key(name), found),
            None => add(found, &path.join_key(name), unknown_field(fields)),
        }
    }
    for field in fields {
        if !field.has_default && !mapping.contains_key(field.name) {
            add(
                found,
                path,
                format!("the field `{}` is missing", field.name),
            );
        }
    }
}

fn check_names(
    mapping: &Mapping,
    inner: &ValueSchema,
    path: &FieldPath,
    found: &mut Vec<SchemaError>,
) {
    for (key, value) in mapping {
        let Some(name) = key.as_str() else {
            add(found, path, "a key is not a string".to_owned());
            continue;
        };
        let path = path.join_key(name);
        if !is_valid_name(name) {
            add(found, &path, name_rule());
        }
        check(value, inner, &path, found);
    }
}

fn scalar_error(value: &Value, schema: &ValueSchema) -> Option<String> {
    let expected = match (schema, value) {
        (ValueSchema::Bool, Value::Bool(_)) => return None,
        (ValueSchema::NameOrWildcard, Value::String(text)) if text == WILDCARD => return None,
        (ValueSchema::Name | ValueSchema::NameOrWildcard, Value::String(text)) => {
            return (!is_valid_name(text)).then(name_rule);
        }
        (ValueSchema::OneOf(words), Value::String(text)) => {
            let known = words.contains(&text.as_str());
            return (!known).then(|| format!("`{text}` is none of {}", words.join(", ")));
        }
        (&ValueSchema::Integer { min, max }, Value::Number(number)) => {
            let inside = number.as_u64().is_some_and(|n| (min..=max).contains(&n));
            return (!inside).then(|| format!("{number} is not {}", whole_rule(min, max)));
        }
        (ValueSchema::Struct(_) | ValueSchema::Map(_), _) => "a mapping".to_owned(),
        (ValueSchema::List(_), _) => "a list".to_owned(),
        (ValueSchema::Name | ValueSchema::NameOrWildcard, _) => "a name".to_owned(),
        (&ValueSchema::Integer { min, max }, _) => whole_rule(min, max),
        (ValueSchema::Bool, _) => "true or false".to_owned(),
        (ValueSchema::OneOf(words), _) => format!("one of {}", words.join(", ")),
        (ValueSchema::Optional(inner), _) => return scalar_error(value, inner),
    };
    Some(format!("expected {expected}, found {}", type_name(value)))
}

/// The name in a limit that stands for all names that no earlier entry has.
pub const WILDCARD: &str = "*";

/// Returns whether a text can be the name of a site, a service, a pipeline and so on.
///
/// Names are parts of URLs and file names, so a name such as `..` is none.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_alphanumeric())
        && text.chars().all(allowed)
}

pub(crate) fn name_rule() -> String {
    format!(
        "a name has 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`, and begins with a \
         letter or a digit"
    )
}

fn whole_rule(min: u64, max: u64) -> String {
    if max == u64::MAX {
        return format!("a whole number of at least {min}");
    }
    format!("a whole number from {min} to {max}")
}

fn unknown_field(fields: &[FieldSchema]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    format!("unknown field; the fields here are {}", names.join(", "))
}

fn add(found: &mut Vec<SchemaError>, path: &FieldPath, reason: String) {
    found.push(SchemaError {
        path: path.clone(),
        reason,
    });
}

/// Returns the paths of all fields, with `*` for a name and `[]` for a list item.
///
/// Nested limit entries are named once.
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
