//! Reports that a node is empty which the operator wants emptied.
//!
//! Nothing that must last stands on any node. A live node hands its runs back first; for a dead one, one of the others
//! reports.

use std::sync::atomic::Ordering;

use eel_platform::retirement_report;
use eel_store::{KeyValue as _, Txn};
use eel_types::Name;

use crate::context::Context;

/// Reports the nodes that this one answers for.
pub(super) async fn report(context: &Context, is_idle: bool) {
    let now_ms = context.clock.now_ms();
    let wanted: Vec<Name> = context.retirements().iter().cloned().collect();
    for node in wanted {
        let is_empty = if node == context.name {
            is_idle
        } else {
            !context.peers().is_live(now_ms, &node)
        };
        if !is_empty || !answers_for(context, &node) {
            continue;
        }
        let txn = Txn {
            success: vec![retirement_report(&node)],
            ..Txn::default()
        };
        match context.store.commit(&txn).await {
            Ok(_) => {
                log::info!(target: "node", node = node.as_str(); "A node was reported empty.");
                context.retirements().remove(&node);
            }
            Err(error) => context.on_store_failure("report an empty node", error.current_context()),
        }
    }
}

fn answers_for(context: &Context, node: &Name) -> bool {
    if *node == context.name {
        context.is_retiring.load(Ordering::Relaxed)
    } else {
        context.owns(node)
    }
}
