//! The subcommands for records.

use std::time::{SystemTime, UNIX_EPOCH};

use eel_core::{Exit, apply, check, get, plan, status};
use eel_store::{EtcdJson, EtcdOptions};
use error_stack::{Report, ResultExt as _};
use rand::RngExt as _;

use crate::{
    error::Error,
    options::{
        ApplyOptions, CheckOptions, Format, GetOptions, PlanOptions, StatusOptions, parse_selector,
    },
    print::print,
};

/// The store to connect to and the output format.
pub struct Connection<'a> {
    pub store: &'a str,
    pub prefix: &'a str,
    pub timeout_ms: u64,
    pub format: Format,
}

impl Connection<'_> {
    fn open(&self) -> Result<EtcdJson, Report<Error>> {
        let endpoints = self.store.split(',').map(|url| url.trim().to_owned());
        let options = EtcdOptions {
            endpoints: endpoints.collect(),
            call_timeout_ms: self.timeout_ms,
            ..EtcdOptions::new("")
        };
        EtcdJson::new(&options).change_context(Error::Command)
    }
}

pub fn check(options: &CheckOptions, format: Format) -> Result<Exit, Report<Error>> {
    let options = check::Options {
        directory: options.directory.clone(),
    };
    let outcome = check::check(&options).change_context(Error::Command)?;
    print(&outcome, format)?;
    Ok(outcome.exit())
}

pub async fn plan(
    options: &PlanOptions,
    connection: &Connection<'_>,
) -> Result<Exit, Report<Error>> {
    let options = plan::Options {
        directory: options.directory.clone(),
        overwrite: options.overwrite.clone(),
        prune: options.prune,
    };
    let context = plan::Context {
        store: &connection.open()?,
        prefix: connection.prefix,
    };
    let outcome = plan::plan(&options, &context)
        .await
        .change_context(Error::Command)?;
    print(&outcome, connection.format)?;
    Ok(outcome.exit())
}

pub async fn apply(
    options: &ApplyOptions,
    connection: &Connection<'_>,
) -> Result<Exit, Report<Error>> {
    let options = apply::Options {
        directory: options.directory.clone(),
        overwrite: options.overwrite.clone(),
        prune: options.prune,
    };
    let token: u128 = rand::rng().random();
    let context = apply::Context {
        store: &connection.open()?,
        prefix: connection.prefix,
        token: &format!("{token:032x}"),
        now_unix_ms: unix_ms(),
    };
    let outcome = apply::apply(&options, &context)
        .await
        .change_context(Error::Command)?;
    print(&outcome, connection.format)?;
    Ok(outcome.exit())
}

pub async fn get(options: &GetOptions, connection: &Connection<'_>) -> Result<Exit, Report<Error>> {
    let options = parse_selector(options.what.as_deref())
        .map_err(|message| Report::new(Error::Arguments(message)))?;
    let context = get::Context {
        store: &connection.open()?,
        prefix: connection.prefix,
    };
    let outcome = get::get(&options, &context)
        .await
        .change_context(Error::Command)?;
    print(&outcome, connection.format)?;
    Ok(outcome.exit())
}

pub async fn status(
    options: &StatusOptions,
    connection: &Connection<'_>,
) -> Result<Exit, Report<Error>> {
    let options = status::Options {
        nodes: options.node.clone(),
        timeout_ms: connection.timeout_ms,
    };
    let context = status::Context {
        store: &connection.open()?,
        prefix: connection.prefix,
    };
    let outcome = status::status(&options, &context)
        .await
        .change_context(Error::Command)?;
    print(&outcome, connection.format)?;
    Ok(outcome.exit())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
