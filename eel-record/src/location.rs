//! The lines of fields in JSON text.
//!
//! The JSON library borrows a raw value from the text that it parses; where the borrowed part starts is the place.

use std::collections::BTreeMap;

use serde_json::value::RawValue;

/// A value in a text, by the byte it starts at.
#[derive(Clone, Copy)]
pub struct JsonLocation<'a> {
    text: &'a str,
    start: usize,
    raw: &'a str,
}

impl<'a> JsonLocation<'a> {
    /// Starts at the only value of `text`.
    pub fn root(text: &'a str) -> Option<Self> {
        let raw: &RawValue = serde_json::from_str(text).ok()?;
        Some(Self::at(text, raw))
    }

    fn at(text: &'a str, raw: &'a RawValue) -> Self {
        let raw = raw.get();
        Self {
            text,
            start: raw.as_ptr().addr() - text.as_ptr().addr(),
            raw,
        }
    }

    /// Returns the raw JSON of the value.
    pub fn raw(self) -> &'a str {
        self.raw
    }

    /// Returns the line that the value starts on, counted from 1.
    pub fn line(self) -> usize {
        self.text[..self.start].matches('\n').count() + 1
    }

    /// Returns the elements if the value is an array.
    pub fn elements(self) -> Option<Vec<Self>> {
        let elements: Vec<&RawValue> = serde_json::from_str(self.raw).ok()?;
        Some(
            elements
                .iter()
                .map(|raw| Self::at(self.text, raw))
                .collect(),
        )
    }

    fn field(self, name: &str) -> Option<Self> {
        let fields: BTreeMap<String, &RawValue> = serde_json::from_str(self.raw).ok()?;
        fields.get(name).map(|raw| Self::at(self.text, raw))
    }

    /// Returns the place of the field at `path`, such as `spec.versions[0].name`, or of the nearest parent present.
    pub fn nearest_present(self, path: &str) -> Self {
        let mut location = self;
        for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
            let next = match step.strip_suffix(']') {
                Some(index) => location.element(index),
                None => location.field(step),
            };
            match next {
                Some(next) => location = next,
                None => break,
            }
        }
        location
    }

    fn element(self, index: &str) -> Option<Self> {
        let index: usize = index.parse().ok()?;
        self.elements()?.get(index).copied()
    }
}
