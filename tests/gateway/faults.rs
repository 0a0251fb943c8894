//! One random fault at a time; many of them overlap, because most end by themselves later or with the next one.

use std::time::Duration;

use eel_platform::standin::{Behaviour, StoreFault};
use nix::sys::signal::Signal;
use rand::{RngExt as _, rngs::SmallRng, seq::IndexedRandom as _};
use tokio::time::sleep;

use crate::{
    proxy::{Link, Proxy},
    world::World,
};

const BEHAVIOURS: [Behaviour; 8] = [
    Behaviour::Responds,
    Behaviour::Responds,
    Behaviour::Full,
    Behaviour::Fails,
    Behaviour::Silent,
    Behaviour::RespondsWithOtherId,
    Behaviour::Unsigned,
    Behaviour::DisconnectsAfter(2),
];

/// Injects one fault, then pauses.
pub async fn inject(world: &mut World, rng: &mut SmallRng) {
    match rng.random_range(0..11) {
        0 => kill_node(world, rng),
        1 => signal_node(world, rng, Signal::SIGTERM),
        2 => signal_node(world, rng, Signal::SIGHUP),
        3 => freeze_node(world, rng).await,
        4 => fail_store(world, rng),
        5 => world.store.compact(),
        6 => cut(&world.store_links, rng),
        7 => cut(&world.target_links, rng),
        8 => misbehave(world, rng),
        9 => relist(world, rng),
        _ => world.change_routes(),
    }
    sleep(Duration::from_millis(rng.random_range(20..400))).await;
    for node in &mut world.nodes {
        if node.has_ended() {
            node.restart();
        }
    }
}

fn kill_node(world: &mut World, rng: &mut SmallRng) {
    let node = rng.random_range(0..world.nodes.len());
    world.nodes[node].restart();
}

fn signal_node(world: &mut World, rng: &mut SmallRng, signal: Signal) {
    let index = rng.random_range(0..world.nodes.len());
    let node = &mut world.nodes[index];
    // No process can handle a signal before it runs.
    if signal != Signal::SIGHUP || node.has_logged() {
        node.signal(signal);
    }
}

/// Stops a node for longer than its lease lives, or for a moment.
async fn freeze_node(world: &mut World, rng: &mut SmallRng) {
    signal_node(world, &mut rng.clone(), Signal::SIGSTOP);
    let frozen_ms = if rng.clone().random_bool(0.5) {
        200
    } else {
        1_500
    };
    sleep(Duration::from_millis(frozen_ms)).await;
    signal_node(world, rng, Signal::SIGCONT);
}

fn fail_store(world: &World, rng: &mut SmallRng) {
    let faults = [
        StoreFault::None,
        StoreFault::None,
        StoreFault::Refuses,
        StoreFault::Silent,
        StoreFault::DropsResponses,
        StoreFault::DelaysWrites { delay_ms: 700 },
    ];
    world.store.set_fault(*faults.choose(rng).expect("a fault"));
}

fn cut(links: &[Proxy], rng: &mut SmallRng) {
    let states = [
        Link::Passes,
        Link::Passes,
        Link::Delays(Duration::from_millis(80)),
        Link::Resets,
        Link::HoldsAnswers,
        Link::Silent,
    ];
    let link = links.choose(rng).expect("a link");
    link.set(*states.choose(rng).expect("a state"));
}

fn misbehave(world: &World, rng: &mut SmallRng) {
    let target = world.targets.choose(rng).expect("a target");
    target.set_default_behaviour(*BEHAVIOURS.choose(rng).expect("a behaviour"));
}

/// A target says that it leaves, vanishes from the list, or comes back.
fn relist(world: &World, rng: &mut SmallRng) {
    let index = rng.random_range(0..world.targets.len());
    let (target, address) = (&world.targets[index], world.target_links[index].address);
    match rng.random_range(0..3) {
        0 => target.announce_at(&world.store, "draining", address),
        1 => world.store.remove(&format!("servers/i-{index}")),
        _ => target.announce_at(&world.store, "ready", address),
    }
}
