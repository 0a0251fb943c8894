//! The other nodes: who is listed in the store, and who was heard lately.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
};

use eel_types::Name;
use serde::{Deserialize, Serialize};

use crate::PeerReport;

/// How long a node counts as alive after its last report, in ms: eight of the usual intervals.
const PEER_TTL_MS: u64 = 2_000;

/// What a node publishes of itself, under its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The node's incarnation.
    pub incarnation: u64,
    /// What its peers have to put into their reports.
    pub token: u64,
    /// Where it takes reports.
    pub ip: IpAddr,
    /// The port of `ip`.
    pub port: u16,
    /// Whether it runs items of batch jobs.
    pub runs_batch: bool,
}

impl NodeEntry {
    /// Returns where the node takes reports.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port)
    }

    /// Encodes the entry as a value of the store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // A structure of integers always encodes.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a value of the store.
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
    takes_batch: bool,
    reaches_store: bool,
}

/// The other nodes, by name.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<Name, Peer>,
}

impl Peers {
    /// Takes in a node's entry.
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
            takes_batch,
            reaches_store: false,
        };
        self.peers.insert(name.clone(), peer);
    }

    /// Takes in that a node's entry is gone; it is kept while its reports still come.
    pub fn on_removed(&mut self, now_ms: u64, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.is_listed = false;
        }
        self.peers
            .retain(|_, peer| peer.is_listed || peer.has_recent_report(now_ms));
    }

    /// Marks every node whose name is not among `listed` as gone from the store.
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

    /// Takes in a report.
    pub fn on_report(&mut self, now_ms: u64, report: &PeerReport) {
        let mut peers = self.peers.values_mut();
        if let Some(peer) = peers.find(|peer| peer.entry.incarnation == report.sender) {
            peer.last_report_ms = Some(now_ms);
            peer.takes_batch = report.takes_batch;
            peer.reaches_store = report.reaches_store;
        }
    }

    /// Returns whom to send reports to, with the token that each expects.
    pub fn receivers(&self) -> impl Iterator<Item = (SocketAddr, u64)> {
        self.peers
            .values()
            .map(|peer| (peer.entry.address(), peer.entry.token))
    }

    /// Returns the live nodes that take items of batch jobs.
    pub fn batch_nodes(&self, now_ms: u64) -> impl Iterator<Item = &Name> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| peer.is_live(now_ms));
        live.filter(|(_, peer)| peer.entry.runs_batch && peer.takes_batch)
            .map(|(name, _)| name)
    }

    /// Returns whether a live node reaches the store.
    #[must_use]
    pub fn is_store_reachable(&self, now_ms: u64) -> bool {
        let mut live = self.peers.values().filter(|peer| peer.is_live(now_ms));
        live.any(|peer| peer.reaches_store)
    }

    /// Returns whether a node is alive.
    #[must_use]
    pub fn is_live(&self, now_ms: u64, name: &str) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.is_live(now_ms))
    }
}

impl Peer {
    fn has_recent_report(&self, now_ms: u64) -> bool {
        self.last_report_ms
            .is_some_and(|last_report_ms| now_ms < last_report_ms + PEER_TTL_MS)
    }

    /// Two nodes that are cut off from one another still reach the store, so a listed one is alive though it is not
    /// heard. One that is heard is alive though its entry was taken away.
    fn is_live(&self, now_ms: u64) -> bool {
        self.is_listed || self.has_recent_report(now_ms)
    }
}
