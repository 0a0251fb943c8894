//! Finds the lines of values in JSON text.
//!
//! `serde_json` borrows a raw value from the text that it parses, so the offset of the borrowed slice is the position.

use std::collections::BTreeMap;

use serde_json::value::RawValue;

/// A JSON value and its byte offset in the text.
#[derive(Clone, Copy)]
pub struct JsonLocation<'a> {
    text: &'a str,
    start: usize,
    raw: &'a str,
}

impl<'a> JsonLocation<'a> {
    /// Returns the top-level value of `text`; `None` if the text is not valid JSON.
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

    /// Returns the JSON text of the value.
    pub fn raw(self) -> &'a str {
        self.raw
    }

    /// Returns the line that the value starts on, counted from 1.
    pub fn line(self) -> usize {
        self.text[..self.start].matches('\n').count() + 1
    }

    /// Returns the elements of an array; `None` for any other value.
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

    /// Returns the value at `path`, such as `spec.versions[0].name`, or its nearest parent that exists.
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
