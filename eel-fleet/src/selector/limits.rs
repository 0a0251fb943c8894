//! Passes on the rates of requests that targets name.

use eel_types::Name;

use super::TargetSelector;
use crate::{
    TargetKey,
    limit::{LimitChange, LimitNotice, LimitPeer, NamedLimit, TargetUsage},
};

impl TargetSelector {
    /// Returns whether a target limits the rate of requests.
    #[must_use]
    pub fn is_limited(&self, key: TargetKey) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|it| self.limits.limit(it.incarnation).is_some())
    }

    /// Returns the number of targets whose limits are in force.
    #[must_use]
    pub fn limited_targets(&self) -> usize {
        self.limits.len()
    }

    /// Sets the nodes among which limits are shared: this one, `own`, and `peers`.
    pub fn set_nodes(&mut self, own: &Name, peers: Vec<LimitPeer>) {
        self.limits.set_nodes(own, peers);
    }

    /// Records the limit that a response of the target named to a request sent at `asked_ms`. Returns the change if there
    /// is one.
    pub fn on_limit(
        &mut self,
        now_ms: u64,
        key: TargetKey,
        asked_ms: u64,
        named: NamedLimit,
    ) -> Option<LimitChange> {
        let incarnation = self.targets.get(key)?.incarnation;
        self.limits
            .on_response(now_ms, incarnation, asked_ms, named)
    }

    /// Applies a peer's notice of limits. Returns the changes.
    pub fn on_limit_notice(&mut self, now_ms: u64, notice: &LimitNotice) -> Vec<LimitChange> {
        let listed = &self.by_incarnation;
        let is_listed = |incarnation: u64| listed.contains_key(&incarnation);
        self.limits.on_notice(now_ms, notice, is_listed)
    }

    /// Returns what to tell peers of limits: what is new, or if `is_full`, all that they may have missed.
    pub fn limit_news(&mut self, now_ms: u64, is_full: bool) -> Vec<TargetUsage> {
        let listed = &self.by_incarnation;
        let is_listed = |incarnation: u64| listed.contains_key(&incarnation);
        self.limits.drop_old(now_ms, is_listed);
        self.limits.news(now_ms, is_full)
    }
}
