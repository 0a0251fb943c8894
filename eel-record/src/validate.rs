//! Validates the current form of a single record, without the records that it refers to.

use std::{collections::BTreeSet, fmt::Display, ops::RangeInclusive};

use eel_types::{Class, Name};

use crate::{
    CallerSpec, Fault, JobItems, JobSpec, ModelSpec, Protocol, Route, ServiceSpec,
    record::invalid_identifier,
};

const TIMEOUT_MS: RangeInclusive<u64> = 1..=3_600_000;
const SLOTS: RangeInclusive<u32> = 1..=4_096;
const QUEUE: RangeInclusive<u32> = 0..=100_000;
const MAX_BODY_BYTES: RangeInclusive<u64> = 1..=64 * 1024 * 1024;
const LATENCY_MS: RangeInclusive<u64> = 1..=600_000;
const RATE_PER_S: RangeInclusive<u32> = 1..=1_000_000;
const CONCURRENCY: RangeInclusive<u32> = 1..=1_000_000;
const DEADLINE_UNIX_MS: RangeInclusive<u64> = 1..=u64::MAX / 1_000;
const RETENTION_MS: RangeInclusive<u64> = 0..=365 * 24 * 60 * 60 * 1_000;
const INLINE_ITEMS: RangeInclusive<usize> = 1..=100;
const SHA256_HEX_DIGITS: usize = 64;
const FULL_SHARE_PERCENT: u32 = 100;

/// A field of the current form with an invalid value.
pub struct InvalidField {
    /// The path of the field in the current form.
    pub field: String,
    /// The value found and the values allowed.
    pub fault: Fault,
}

/// Validates a service; returns one entry per invalid field.
pub fn service(spec: &ServiceSpec) -> Vec<InvalidField> {
    let mut found = Vec::new();
    check_identifier(&mut found, "pool", &spec.pool);
    match (spec.protocol, &spec.model) {
        (Protocol::Openai, None) => reject(&mut found, "model", "none", "the model that it runs"),
        (Protocol::Plain, Some(name)) => {
            reject(&mut found, "model", name, "none for a plain service");
        }
        (Protocol::Openai, Some(_)) | (Protocol::Plain, None) => {}
    }
    if !spec.class.is_online() {
        let class = match spec.class {
            Class::Urgent => "urgent",
            Class::Interactive => "interactive",
            Class::Batch => "batch",
        };
        reject(&mut found, "class", class, "urgent or interactive");
    }
    check_range(&mut found, "timeout_ms", spec.timeout_ms, &TIMEOUT_MS);
    check_range(&mut found, "slots", spec.slots, &SLOTS);
    check_range(&mut found, "queue", spec.queue, &QUEUE);
    check_range(
        &mut found,
        "max_body_bytes",
        spec.max_body_bytes,
        &MAX_BODY_BYTES,
    );
    check_range(
        &mut found,
        "first_token_ms",
        spec.first_token_ms,
        &LATENCY_MS,
    );
    check_range(
        &mut found,
        "between_tokens_ms",
        spec.between_tokens_ms,
        &LATENCY_MS,
    );
    for (index, entry) in spec.routes.iter().enumerate() {
        check_route(&mut found, index, entry);
    }
    found
}

fn check_route(found: &mut Vec<InvalidField>, index: usize, route: &Route) {
    let method = route.method.as_str();
    let is_capitals = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
    if !is_capitals && method != "*" {
        let field = format!("routes[{index}].method");
        reject(found, &field, method, "a method in capitals, or *");
    }
    if !route.path_prefix.starts_with('/') {
        let field = format!("routes[{index}].path_prefix");
        reject(
            found,
            &field,
            &route.path_prefix,
            "a path that starts with /",
        );
    }
}

/// Validates a model; returns one entry per invalid field.
pub fn model(spec: &ModelSpec) -> Vec<InvalidField> {
    let mut found = Vec::new();
    for (index, version) in spec.versions.iter().enumerate() {
        check_identifier(
            &mut found,
            &format!("versions[{index}].name"),
            &version.name,
        );
        if version.weights.is_empty() {
            let field = format!("versions[{index}].weights");
            reject(&mut found, &field, "''", "a key of the weight store");
        }
    }
    let names = spec.versions.iter().map(|version| &version.name);
    check_unique(&mut found, "versions", names);
    let shares = spec.versions.iter().map(|v| u32::from(v.share_percent));
    let total: u32 = shares.sum();
    if total != FULL_SHARE_PERCENT {
        let found_total = format!("a total share of {total}%");
        reject(&mut found, "versions", &found_total, "a total of 100%");
    }
    for (index, adapter) in spec.adapters.iter().enumerate() {
        check_identifier(&mut found, &format!("adapters[{index}]"), adapter);
    }
    check_unique(&mut found, "adapters", spec.adapters.iter());
    found
}

/// Validates a caller; returns one entry per invalid field.
pub fn caller(spec: &CallerSpec) -> Vec<InvalidField> {
    let mut found = Vec::new();
    if spec.key_sha256.is_empty() {
        reject(&mut found, "key_sha256", "none", "one digest or more");
    }
    for (index, digest) in spec.key_sha256.iter().enumerate() {
        let is_hex = digest
            .bytes()
            .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if !is_hex || digest.len() != SHA256_HEX_DIGITS {
            let field = format!("key_sha256[{index}]");
            let allowed = "64 hexadecimal digits in lower case";
            reject(&mut found, &field, format!("'{digest}'"), allowed);
        }
    }
    if spec.services.is_empty() {
        reject(&mut found, "services", "none", "one service or more, or *");
    }
    for (index, name) in spec.services.iter().enumerate() {
        if name.as_str() != "*" {
            check_identifier(&mut found, &format!("services[{index}]"), name);
        }
    }
    check_range(&mut found, "rate_per_s", spec.rate_per_s, &RATE_PER_S);
    check_range(&mut found, "burst", spec.burst, &RATE_PER_S);
    check_range(&mut found, "concurrency", spec.concurrency, &CONCURRENCY);
    found
}

/// Validates a job; returns one entry per invalid field.
pub fn job(spec: &JobSpec) -> Vec<InvalidField> {
    let mut found = Vec::new();
    check_identifier(&mut found, "caller", &spec.caller);
    check_identifier(&mut found, "service", &spec.service);
    check_range(
        &mut found,
        "deadline_unix_ms",
        spec.deadline_unix_ms,
        &DEADLINE_UNIX_MS,
    );
    check_range(&mut found, "retention_ms", spec.retention_ms, &RETENTION_MS);
    match &spec.items {
        JobItems::Inline(items) if !INLINE_ITEMS.contains(&items.len()) => {
            let allowed = "1 to 100 items, or items_file for more";
            let count = format!("{} items", items.len());
            reject(&mut found, "items", count, allowed);
        }
        JobItems::File(file) if file.is_empty() => {
            reject(&mut found, "items_file", "''", "a path");
        }
        JobItems::Inline(_) | JobItems::File(_) => {}
    }
    found
}

fn reject(found: &mut Vec<InvalidField>, field: &str, value: impl Display, allowed: &str) {
    found.push(InvalidField {
        field: field.to_owned(),
        fault: Fault::NotAllowed {
            found: value.to_string(),
            allowed: allowed.to_owned(),
        },
    });
}

fn check_range<T: PartialOrd + Display>(
    found: &mut Vec<InvalidField>,
    field: &str,
    value: T,
    range: &RangeInclusive<T>,
) {
    if !range.contains(&value) {
        let allowed = format!("{} to {}", range.start(), range.end());
        reject(found, field, value, &allowed);
    }
}

fn check_identifier(found: &mut Vec<InvalidField>, field: &str, name: &Name) {
    if !name.is_identifier() {
        found.push(InvalidField {
            field: field.to_owned(),
            fault: invalid_identifier(name),
        });
    }
}

fn check_unique<'a>(
    found: &mut Vec<InvalidField>,
    field: &str,
    names: impl Iterator<Item = &'a Name>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            let value = format!("'{name}' twice");
            reject(found, field, value, "each name once");
        }
    }
}
