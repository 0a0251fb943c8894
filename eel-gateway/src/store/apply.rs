//! Applies changes of the store to the node's state.

use std::sync::{Arc, atomic::Ordering};

use eel_fleet::{NodeEntry, Removal};
use eel_platform::{KeyKind, classify_key, decode_route_table, decode_target_entry};
use eel_store::KeyValuePair;
use eel_types::Name;

use crate::{context::Context, origins, quarantine};

const NODES: &str = "nodes/";

/// Returns the key of a node's entry.
pub(crate) fn node_key(prefix: &str, name: &str) -> String {
    format!("{prefix}{NODES}{name}")
}

/// Returns the name of the node whose entry is stored under `key`; `None` for other keys.
pub(crate) fn node_of<'a>(prefix: &str, key: &'a str) -> Option<&'a str> {
    key.strip_prefix(prefix)?.strip_prefix(NODES)
}

/// Applies a written key.
pub(crate) fn on_put(context: &Context, pair: &KeyValuePair) {
    context.on_change(pair.mod_revision);
    match classify_key(&pair.key) {
        KeyKind::RouteTable => put_routes(context, pair),
        KeyKind::Target(id) => put_target(context, id, &pair.value),
        KeyKind::Retirement(node) => on_retirement(context, node),
        KeyKind::Other => put_node_or_job(context, pair),
    }
}

/// Applies the deletion of a key.
pub(crate) fn on_delete(context: &Context, key: &str) {
    let now_ms = context.clock.now_ms();
    match classify_key(key) {
        KeyKind::Target(id) => remove_target(context, id),
        KeyKind::RouteTable | KeyKind::Retirement(_) => {}
        KeyKind::Other if let Some((scope, id)) = quarantine::id_of(&context.prefix, key) => {
            quarantine::on_record_removed(context, scope, id);
        }
        KeyKind::Other if context.origins.has_key(key) => {}
        KeyKind::Other => match node_of(&context.prefix, key) {
            Some(node) if *node == *context.name => context.entry_lost.notify_one(),
            Some(node) => context.peers().on_removed(now_ms, node),
            None if context.ledger().keys().partial_writer(key).is_some() => {
                context.partials().on_removed(key);
            }
            None => {
                context.ledger().on_removed(key);
                context.on_ledger_change();
            }
        },
    }
}

/// Removes the targets, nodes and blocked parts that are missing from `pairs`, which hold all of their entries in the
/// store. Notifies `entry_lost` if the entry of this node is missing.
pub(crate) fn retain_listed(context: &Context, pairs: &[KeyValuePair]) {
    let now_ms = context.clock.now_ms();
    let targets: Vec<Name> = pairs
        .iter()
        .filter_map(|pair| match classify_key(&pair.key) {
            KeyKind::Target(id) => Some(id.into()),
            _ => None,
        })
        .collect();
    let removals = context.registry().retain_listed(now_ms, &targets);
    for (id, removal) in removals {
        on_target_removal(context, &id, removal);
    }
    let nodes = pairs
        .iter()
        .filter_map(|pair| node_of(&context.prefix, &pair.key));
    let nodes: Vec<Name> = nodes.map(Name::from).collect();
    context.peers().retain_listed(now_ms, &nodes);
    if !nodes.contains(&context.name) {
        context.entry_lost.notify_one();
    }
    let blocked = pairs
        .iter()
        .filter_map(|pair| quarantine::id_of(&context.prefix, &pair.key));
    let blocked: Vec<_> = blocked.collect();
    quarantine::retain_listed(context, &blocked);
}

/// Removes the targets whose entries did not reappear after an outage of the store.
pub(crate) fn expire_targets(context: &Context) {
    let gone = context.registry().expire(context.clock.now_ms());
    for id in gone {
        drop_target(context, &id);
    }
}

fn put_routes(context: &Context, pair: &KeyValuePair) {
    let table = match decode_route_table(&pair.value) {
        Ok(table) => table,
        Err(error) => {
            log::error!(target: "routes", error:% = error; "Cannot decode a new route table; the previous one stays in force.");
            context.has_unread_routes.store(true, Ordering::Relaxed);
            return;
        }
    };
    context.has_unread_routes.store(false, Ordering::Relaxed);
    let in_force = context.routes_version();
    if in_force.is_some_and(|in_force| table.version <= in_force) {
        return;
    }
    log::info!(
        target: "routes", version = table.version, previous = in_force.unwrap_or(0), revision = pair.mod_revision.0;
        "A new route table is in force."
    );
    context
        .metrics
        .route_table_version
        .set(i64::try_from(table.version).unwrap_or(i64::MAX));
    context.quotas.set(context.clock.now_ms(), &table);
    context.table.store(Some(Arc::new(table)));
    context.routes_changes.send_replace(());
    context.on_ledger_change();
}

fn put_target(context: &Context, id: &str, value: &[u8]) {
    match decode_target_entry(id, value) {
        Ok(entry) => {
            if context.registry().on_entry(entry.clone()) {
                log::info!(
                    target: "targets", target_id = id, service = entry.service.as_str(),
                    version = entry.version_text(), draining = entry.is_draining, address:% = entry.address;
                    "A target's entry was added or changed."
                );
                let now_ms = context.clock.now_ms();
                context
                    .slots
                    .update(|dispatcher| dispatcher.selector_mut().list_target(now_ms, entry));
                context.on_ledger_change();
            }
        }
        Err(error) => {
            log::warn!(target: "targets", target_id = id, error:% = error; "Cannot decode a target's entry; it is treated as removed.");
            remove_target(context, id);
        }
    }
}

fn remove_target(context: &Context, id: &str) {
    let removal = context.registry().on_removed(context.clock.now_ms(), id);
    on_target_removal(context, id, removal);
}

fn on_target_removal(context: &Context, id: &str, removal: Removal) {
    match removal {
        Removal::Gone => drop_target(context, id),
        Removal::MayReappear => {
            log::info!(target: "targets", target_id = id; "A target's entry is missing after an outage of the store; the target stays in use until the entry is overdue.");
        }
        Removal::Unchanged => {}
    }
}

fn drop_target(context: &Context, id: &str) {
    log::info!(target: "targets", target_id = id; "A target was removed.");
    context
        .slots
        .update(|dispatcher| dispatcher.selector_mut().remove_target(id));
}

fn on_retirement(context: &Context, node: &str) {
    if *node == *context.name && !context.is_retiring.swap(true, Ordering::Relaxed) {
        log::info!(target: "node", "The operator has requested the retirement of this node.");
    }
    context.retirements().insert(node.into());
    context.on_ledger_change();
}

fn put_node_or_job(context: &Context, pair: &KeyValuePair) {
    if let Some((scope, _id)) = quarantine::id_of(&context.prefix, &pair.key) {
        quarantine::on_record(context, scope, pair);
        return;
    }
    if origins::on_put(context, pair) {
        return;
    }
    if let Some(node) = node_of(&context.prefix, &pair.key) {
        match NodeEntry::decode(&pair.value) {
            Some(entry) if entry.incarnation != context.incarnation => {
                context.peers().on_entry(&node.into(), entry);
            }
            Some(_) => {}
            None => log::warn!(target: "peers", node; "Cannot decode a node's entry."),
        }
        return;
    }
    if context.ledger().keys().partial_writer(&pair.key).is_some() {
        if context.runs_batch && !context.partials().on_put(&pair.key, &pair.value) {
            log::warn!(target: "jobs", key = pair.key.as_str(); "Cannot decode the saved progress of items.");
        }
        return;
    }
    let job = context.ledger().on_put(&pair.key, &pair.value);
    if job.is_some() {
        context.on_ledger_change();
    }
}
