//! Reports to the operator that a node to be retired is empty.
//!
//! Nodes hold no durable state. A live node stops its runs before it reports itself; a node that is no longer live is
//! reported by the batch node that owns its name. The last node that runs items does not leave: accepted jobs would be
//! stranded. It reports itself once another one has started.

use eel_platform::retirement_report;
use eel_store::{KeyValue as _, Txn};
use eel_types::Name;

use crate::context::Context;

/// Reports the empty nodes that this node is responsible for.
pub(super) async fn report(context: &Context, is_idle: bool) {
    let now_ms = context.clock.now_ms();
    let wanted: Vec<Name> = context.retirements().iter().cloned().collect();
    for node in wanted {
        let is_empty = if node == context.name {
            is_idle
        } else {
            !context.peers().is_live(now_ms, &node)
        };
        if !is_empty || !is_responsible_for(context, &node) {
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

fn is_responsible_for(context: &Context, node: &Name) -> bool {
    if *node == context.name {
        context.leaves_batch_to_others()
    } else {
        context.is_owner_of(node)
    }
}
