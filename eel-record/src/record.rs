//! A record with a parsed envelope, as in files and in the store.

use eel_types::Name;
use error_stack::Report;
use serde_json::{Map, Value};
use thiserror::Error as ThisError;

use crate::{Fault, Kind, RecordKey};

/// The newest schema version, which is the same for every kind.
pub const NEWEST_SCHEMA: u32 = 2;

const META: &str = "meta";
const TOKEN: &str = "token";

/// A record whose envelope is invalid.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
#[error("{field}: {fault}")]
pub struct EnvelopeError {
    /// The name of the envelope field; empty for the envelope as a whole.
    pub field: &'static str,
    /// The kind of problem and its details.
    pub fault: Fault,
}

/// A record with a parsed envelope and the `spec` as unparsed JSON, independent of the schema version.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    key: RecordKey,
    schema: u32,
    envelope: Map<String, Value>,
}

impl Record {
    /// Parses the envelope of a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the envelope is invalid; the content of `spec` is not validated.
    pub fn from_value(value: Value) -> Result<Self, Report<EnvelopeError>> {
        let Value::Object(envelope) = value else {
            return Err(syntax_error("", "expected a JSON object"));
        };
        let schema = read_schema(&envelope)?;
        let kind: Kind = read_text(&envelope, "kind")?
            .parse()
            .map_err(|message: String| syntax_error("kind", &message))?;
        let name = Name::from(read_text(&envelope, "name")?);
        if !name.is_identifier() {
            return Err(Report::new(EnvelopeError {
                field: "name",
                fault: invalid_identifier(&name),
            }));
        }
        if !envelope.get("spec").is_some_and(Value::is_object) {
            return Err(syntax_error("", "missing object `spec`"));
        }
        let key = RecordKey::new(kind, name);
        Ok(Self {
            key,
            schema,
            envelope,
        })
    }

    /// Parses a record from JSON text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid JSON or the envelope is invalid.
    pub fn from_slice(text: &[u8]) -> Result<Self, Report<EnvelopeError>> {
        let value =
            serde_json::from_slice(text).map_err(|err| syntax_error("", &err.to_string()))?;
        Self::from_value(value)
    }

    /// Returns the kind and name of the record.
    #[must_use]
    pub fn key(&self) -> &RecordKey {
        &self.key
    }

    /// Returns the schema version of `spec`.
    #[must_use]
    pub fn schema(&self) -> u32 {
        self.schema
    }

    /// Returns the `spec` object, including unknown fields.
    #[must_use]
    pub fn spec(&self) -> &Value {
        &self.envelope["spec"]
    }

    /// Returns the record without metadata, as its author wrote it, including unknown fields.
    #[must_use]
    pub fn content(&self) -> Value {
        let mut content = self.envelope.clone();
        content.remove(META);
        Value::Object(content)
    }

    /// Returns the write token in the metadata, if any; it identifies the write that stored the record.
    #[must_use]
    pub fn token(&self) -> Option<&str> {
        self.envelope.get(META)?.get(TOKEN)?.as_str()
    }

    /// Sets the write token in the metadata.
    #[must_use]
    pub fn with_token(mut self, token: &str) -> Self {
        let meta = self.envelope.entry(META).or_insert_with(empty_object);
        if !meta.is_object() {
            *meta = empty_object();
        }
        meta[TOKEN] = Value::from(token);
        self
    }

    /// Sets one field of the `spec` and keeps all others, including unknown ones.
    #[must_use]
    pub fn with_field(mut self, field: &str, value: Value) -> Self {
        self.envelope["spec"][field] = value;
        self
    }

    /// Serialises the record to JSON text for the store.
    #[must_use]
    pub fn to_json(&self) -> String {
        Value::Object(self.envelope.clone()).to_string()
    }
}

fn empty_object() -> Value {
    Value::Object(Map::new())
}

fn read_schema(envelope: &Map<String, Value>) -> Result<u32, Report<EnvelopeError>> {
    let schema = envelope
        .get("schema")
        .ok_or_else(|| syntax_error("", "missing field `schema`"))?;
    let number = schema.as_u64().and_then(|n| u32::try_from(n).ok());
    number
        .filter(|&n| n > 0)
        .ok_or_else(|| syntax_error("schema", &format!("{schema} is not 1 or 2")))
}

fn read_text<'a>(
    envelope: &'a Map<String, Value>,
    field: &'static str,
) -> Result<&'a str, Report<EnvelopeError>> {
    let value = envelope
        .get(field)
        .ok_or_else(|| syntax_error("", &format!("missing field `{field}`")))?;
    value
        .as_str()
        .ok_or_else(|| syntax_error(field, &format!("{value} is not a string")))
}

fn syntax_error(field: &'static str, message: &str) -> Report<EnvelopeError> {
    Report::new(EnvelopeError {
        field,
        fault: Fault::Syntax(message.to_owned()),
    })
}

/// Returns the fault for a name that is not a valid identifier.
pub fn invalid_identifier(name: &Name) -> Fault {
    Fault::NotAllowed {
        found: format!("'{name}'"),
        allowed: "1 to 63 letters, digits, '-', '_' or '.' that start with a letter or digit"
            .to_owned(),
    }
}
