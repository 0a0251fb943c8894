//! Tracks the other nodes: which are listed in the store, and which sent a report recently.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
};

use eel_types::Name;
use serde::{Deserialize, Serialize};

use crate::{LimitPeer, PeerReport, report::REPORT_TTL_MS};

/// How long a node counts as alive after its last report: eight of the usual report intervals.
const PEER_TTL_MS: u64 = 2_000;

/// What a node publishes about itself in the store, under its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node's incarnation.
    pub incarnation: u64,
    /// The secret that peers must include in their reports to this node.
    pub token: u64,
    /// The IP address that receives reports.
    pub ip: IpAddr,
    /// The port at `ip` that receives reports.
    pub port: u16,
    /// Whether the node runs items of batch jobs.
    pub runs_batch: bool,
}

impl NodeEntry {
    /// Returns the address that receives reports.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port)
    }

    /// Encodes the entry as a store value.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Integers, flags and addresses always encode.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a store value; `None` if it is not a valid entry.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        postcard::from_bytes(value).ok()
    }
}

#[derive(Debug)]
struct Peer {
    entry: NodeEntry,
    is_listed: bool,
    last_report_ms: Option<u64>,
    /// The sequence number of the last report; 0 before the first one.
    last_sequence: u64,
    takes_batch: bool,
    reaches_store: bool,
}

/// All known other nodes, by name.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<Name, Peer>,
}

impl Peers {
    /// Adds or updates a node's entry. A new incarnation replaces the earlier one and has not sent a report yet.
    pub fn on_entry(&mut self, name: &Name, entry: NodeEntry) {
        let is_known = self
            .peers
            .get(name)
            .is_some_and(|peer| peer.entry.incarnation == entry.incarnation);
        if is_known && let Some(peer) = self.peers.get_mut(name) {
            peer.entry = entry;
            peer.is_listed = true;
            return;
        }
        let takes_batch = entry.runs_batch;
        let peer = Peer {
            entry,
            is_listed: true,
            last_report_ms: None,
            last_sequence: 0,
            takes_batch,
            reaches_store: false,
        };
        self.peers.insert(name.clone(), peer);
    }

    /// Records the removal of a node's entry. The node is kept while its reports still arrive.
    pub fn on_removed(&mut self, now_ms: u64, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_listed = false;
        }
        self.peers
            .retain(|_, peer| peer.is_listed || peer.has_recent_report(now_ms));
    }

    /// Records the removal of every node that `listed`, a complete list of the store's entries, lacks.
    pub fn retain_listed(&mut self, now_ms: u64, listed: &[Name]) {
        let gone: Vec<Name> = self
            .peers
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        for name in gone {
            self.on_removed(now_ms, &name);
        }
    }

    /// Records a report, or another part of the last one. Returns `false` if it is ignored: it is from an unknown incarnation,
    /// or a later report of its sender has overtaken it.
    pub fn on_report(&mut self, now_ms: u64, report: &PeerReport) -> bool {
        let mut peers = self.peers.values_mut();
        let peer = peers.find(|peer| peer.entry.incarnation == report.sender);
        let Some(peer) = peer.filter(|peer| report.sequence >= peer.last_sequence) else {
            return false;
        };
        peer.last_report_ms = Some(now_ms);
        peer.last_sequence = report.sequence;
        peer.takes_batch = report.takes_batch;
        peer.reaches_store = report.reaches_store;
        true
    }

    /// Returns the addresses to send reports to, each with the token that its node expects.
    pub fn receivers(&self) -> impl Iterator<Item = (SocketAddr, u64)> {
        self.peers
            .values()
            .map(|peer| (peer.entry.address(), peer.entry.token))
    }

    /// Returns the same addresses and tokens by the incarnation of the node.
    pub fn receivers_by_incarnation(&self) -> impl Iterator<Item = (u64, (SocketAddr, u64))> {
        let entries = self.peers.values().map(|peer| &peer.entry);
        entries.map(|entry| (entry.incarnation, (entry.address(), entry.token)))
    }

    /// Returns all other nodes, sorted by name, with whether their load reports arrive.
    #[must_use]
    pub fn limit_peers(&self, now_ms: u64) -> Vec<LimitPeer> {
        let peers = self.peers.iter().map(|(name, peer)| LimitPeer {
            name: name.clone(),
            incarnation: peer.entry.incarnation,
            is_reachable: peer.has_reported_within(now_ms, REPORT_TTL_MS),
        });
        let mut peers: Vec<LimitPeer> = peers.collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        peers
    }

    /// Returns the live nodes that currently accept items of batch jobs.
    pub fn batch_nodes(&self, now_ms: u64) -> impl Iterator<Item = &Name> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_live(now_ms));
        live.filter(|(_, peer)| peer.entry.runs_batch && peer.takes_batch)
            .map(|(name, _)| name)
    }

    /// Returns whether at least one other node reaches the store, as its recent reports say.
    ///
    /// A listed node without reports does not count: while the store is down, the entry of a node that has died stays.
    #[must_use]
    pub fn is_store_reachable(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.reaches_store && peer.has_recent_report(now_ms))
    }

    /// Returns whether the node is known and alive.
    #[must_use]
    pub fn is_live(&self, now_ms: u64, name: &str) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.is_live(now_ms))
    }
}

impl Peer {
    fn has_recent_report(&self, now_ms: u64) -> bool {
        self.has_reported_within(now_ms, PEER_TTL_MS)
    }

    fn has_reported_within(&self, now_ms: u64, ttl_ms: u64) -> bool {
        self.last_report_ms
            .is_some_and(|last_report_ms| now_ms < last_report_ms + ttl_ms)
    }

    /// Returns whether the node is listed or sent a report recently.
    ///
    /// Two nodes that cannot reach each other may both reach the store, so a listed node is alive even if its reports
    /// do not arrive. A node whose reports arrive is alive even if its entry was removed.
    fn is_live(&self, now_ms: u64) -> bool {
        self.is_listed || self.has_recent_report(now_ms)
    }
}
