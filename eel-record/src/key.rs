//! The kind and name that identify a record.

use std::{fmt, str::FromStr};

use eel_types::Name;
use serde::{Deserialize, Serialize};

/// The kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model and its versions.
    Model,
    /// A pool of targets and the handling of its requests.
    Service,
    /// A client that may send requests.
    Caller,
    /// A batch job that an operator declares.
    Job,
}

impl Kind {
    /// All kinds, in dependency order: a kind comes after those that it refers to.
    pub const ALL: [Self; 4] = [Self::Model, Self::Service, Self::Caller, Self::Job];

    /// Returns the name of the kind in records and store keys.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Service => "service",
            Self::Caller => "caller",
            Self::Job => "job",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let kind = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        kind.ok_or_else(|| format!("'{text}' is not one of model, service, caller, job"))
    }
}

/// The kind and name of a record, written `kind/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RecordKey {
    /// The kind, which determines the schema of `spec`.
    pub kind: Kind,
    /// The record's name, unique within its kind.
    pub name: Name,
}

impl RecordKey {
    /// Creates a key from a kind and a name; the name is not validated.
    pub fn new(kind: Kind, name: impl Into<Name>) -> Self {
        let name = name.into();
        Self { kind, name }
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl From<RecordKey> for String {
    fn from(key: RecordKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for RecordKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl FromStr for RecordKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (kind, name) = text
            .split_once('/')
            .ok_or_else(|| format!("'{text}' is not written kind/name"))?;
        let name = Name::from(name);
        if !name.is_identifier() {
            return Err(format!("'{name}' is not a valid record name"));
        }
        Ok(Self::new(kind.parse()?, name))
    }
}
