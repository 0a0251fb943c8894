//! Typed access to the keys of a section.

use std::{net::SocketAddr, ops::RangeInclusive, path::PathBuf, str::FromStr};

use eel_types::Name;
use http::Uri;
use log::LevelFilter;

use crate::{Fault, document::Document};

const IDENTIFIER: &str =
    "a name of 1 to 63 letters, digits, '-', '_' or '.' that starts with a letter or digit";
const URL: &str = "an http:// or https:// URL with a host";
const ADDRESS: &str = "an IP address and port such as 10.0.0.1:8080";
const LEVEL: &str = "one of off, error, warn, info, debug, trace";

/// Reads the keys of a section. On an invalid value it reports a problem and returns a placeholder, so that one pass
/// finds all problems.
pub struct Section<'a> {
    document: &'a mut Document,
    name: &'static str,
    read_keys: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Creates a reader of the section `name`.
    pub fn new(document: &'a mut Document, name: &'static str) -> Self {
        Self {
            document,
            name,
            read_keys: Vec::new(),
        }
    }

    /// Reads a required identifier.
    pub fn name(&mut self, key: &'static str) -> Name {
        let parse = |text: &str| Some(Name::from(text)).filter(Name::is_identifier);
        self.required(key, IDENTIFIER, parse)
            .unwrap_or_else(|| "".into())
    }

    /// Reads a required address and port.
    pub fn address(&mut self, key: &'static str) -> SocketAddr {
        let parse = |text: &str| SocketAddr::from_str(text).ok();
        self.required(key, ADDRESS, parse)
            .unwrap_or_else(unspecified_address)
    }

    /// Reads an address and port; the default is any free port on all interfaces.
    pub fn address_or_any(&mut self, key: &'static str) -> SocketAddr {
        let parse = |text: &str| SocketAddr::from_str(text).ok();
        self.optional(key, ADDRESS, parse)
            .unwrap_or_else(unspecified_address)
    }

    /// Reads an optional address and port.
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.optional(key, ADDRESS, |text| SocketAddr::from_str(text).ok())
    }

    /// Reads a key prefix of the key-value service that ends, but does not start, with `/`.
    pub fn relative_prefix(&mut self, key: &'static str, default: &str) -> Name {
        let is_prefix = |text: &str| text.ends_with('/') && !text.starts_with('/');
        let parse = |text: &str| is_prefix(text).then(|| Name::from(text));
        self.optional(key, "a prefix that ends, but does not start, with /", parse)
            .unwrap_or_else(|| default.into())
    }

    /// Reads one of a fixed set of words.
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)], default: T) -> T {
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let expected = format!("one of {}", words.join(", "));
        let parse = |text: &str| {
            choices
                .iter()
                .find(|(word, _)| *word == text)
                .map(|(_, it)| *it)
        };
        self.optional(key, &expected, parse).unwrap_or(default)
    }

    /// Reads an integer within `range`.
    pub fn number<T>(&mut self, key: &'static str, range: RangeInclusive<T>, default: T) -> T
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        self.optional_number(key, range).unwrap_or(default)
    }

    /// Reads an optional integer within `range`.
    pub fn optional_number<T>(&mut self, key: &'static str, range: RangeInclusive<T>) -> Option<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let parse = |text: &str| text.parse().ok().filter(|n| range.contains(n));
        self.optional(key, &expected, parse)
    }

    /// Reads `true` or `false`.
    pub fn boolean(&mut self, key: &'static str, default: bool) -> bool {
        let parse = |text: &str| text.parse().ok();
        self.optional(key, "true or false", parse)
            .unwrap_or(default)
    }

    /// Reads a required URL; a trailing `/` is removed.
    pub fn url(&mut self, key: &'static str) -> Name {
        self.required(key, URL, parse_url)
            .unwrap_or_else(|| "".into())
    }

    /// Reads a required list of one or more URLs, separated by commas.
    pub fn urls(&mut self, key: &'static str) -> Vec<Name> {
        let parse = |text: &str| text.split(',').map(|url| parse_url(url.trim())).collect();
        let expected = format!("{URL}, or several separated by commas");
        self.required(key, &expected, parse).unwrap_or_default()
    }

    /// Reads a key prefix of the key-value service that starts, but does not end, with `/`.
    pub fn absolute_prefix(&mut self, key: &'static str, default: &str) -> Name {
        let is_prefix = |text: &str| text.starts_with('/') && !text.ends_with('/');
        let parse = |text: &str| is_prefix(text).then(|| Name::from(text));
        self.optional(key, "a prefix that starts, but does not end, with /", parse)
            .unwrap_or_else(|| default.into())
    }

    /// Reads a required path; a relative path is resolved against the directory of the settings file.
    pub fn path(&mut self, key: &'static str) -> PathBuf {
        let path = self.required(key, "a path", parse_path).unwrap_or_default();
        self.document.resolve(&path)
    }

    /// Reads an optional path; a relative path is resolved against the directory of the settings file.
    pub fn optional_path(&mut self, key: &'static str) -> Option<PathBuf> {
        let path = self.optional(key, "a path", parse_path)?;
        Some(self.document.resolve(&path))
    }

    /// Reads a log level.
    pub fn level(&mut self, key: &'static str, default: LevelFilter) -> LevelFilter {
        let parse = |text: &str| LevelFilter::from_str(text).ok();
        self.optional(key, LEVEL, parse).unwrap_or(default)
    }

    /// Reports every key of the section that was not read as unknown.
    pub fn finish(self) {
        for (key, _) in self.document.keys(self.name) {
            if !self.read_keys.contains(&key.as_str()) {
                let allowed = self.read_keys.join(", ");
                let fault = Fault::UnknownKey { allowed };
                self.document.report(self.name, &key, fault);
            }
        }
    }

    fn required<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.document.get(self.name, key).is_none() {
            self.document.report(self.name, key, Fault::Missing);
        }
        self.optional(key, expected, parse)
    }

    fn optional<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.read_keys.push(key);
        let value = self.document.get(self.name, key)?;
        let parsed = parse(&value);
        if parsed.is_none() {
            let expected = expected.to_owned();
            let fault = Fault::Value { value, expected };
            self.document.report(self.name, key, fault);
        }
        parsed
    }
}

fn unspecified_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn parse_path(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}

fn parse_url(text: &str) -> Option<Name> {
    let url = Uri::from_str(text).ok()?;
    let has_scheme = matches!(url.scheme_str(), Some("http" | "https"));
    let has_host = url.host().is_some_and(|host| !host.is_empty());
    (has_scheme && has_host).then(|| Name::from(text.trim_end_matches('/')))
}
