//! The fair order of tenants' waiting requests: start-time fair queueing with equal weights.
//!
//! Each request has a start tag, counted in requests: that of a tenant's next request is the tenant's number of requests
//! started since it was last idle, but at least the virtual time, and each further request of the tenant has the next
//! number. The request with the lowest tag starts first, and its tag becomes the virtual time. A tenant that has waited for
//! nothing thus starts at the virtual time, before the excess of others. Tags are assigned when they are needed and only
//! started requests are counted, so a rejected or cancelled request does not cost its tenant anything.
//!
//! Requests of different priorities do not compete by fairness; each priority has a virtual time of its own.

use std::collections::HashMap;

use eel_types::Name;

/// The priorities of a tenant and of a route; requests compete by fairness only within one.
pub type PriorityRank = (u8, u8);

/// The requests of one tenant within one priority rank. Requests without a tenant share one flow.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    /// The priorities of the tenant and of the route.
    pub priority: PriorityRank,
    /// The tenant; `None` for requests without one.
    pub tenant: Option<Name>,
}

/// The start tags of the flows of one queue.
#[derive(Debug, Default)]
pub struct FairOrder {
    ranks: HashMap<PriorityRank, RankTags>,
}

/// The tags of one priority rank, in requests.
#[derive(Debug, Default)]
struct RankTags {
    /// The start tag of the request that started last.
    virtual_time: u64,
    /// The tag after that of the last started request, by tenant. A tenant that is not listed is idle or at the virtual
    /// time.
    of_tenants: HashMap<Name, u64>,
    /// The same for the requests without a tenant; `None` while they are idle or at the virtual time.
    of_others: Option<u64>,
}

impl FairOrder {
    /// Returns the start tag of a flow's next request.
    #[must_use]
    pub fn next_tag(&self, flow: &Flow) -> u64 {
        self.ranks
            .get(&flow.priority)
            .map_or(0, |it| it.next_tag(flow.tenant.as_ref()))
    }

    /// Returns whether a request of `priority` with the start tag `tag` is in the present round, at the virtual time.
    #[must_use]
    pub fn is_due(&self, priority: PriorityRank, tag: u64) -> bool {
        let tags = self.ranks.get(&priority);
        tag <= tags.map_or(0, |it| it.virtual_time)
    }

    /// Counts a request of the flow that has started.
    pub fn on_start(&mut self, flow: Flow) {
        let tags = self.ranks.entry(flow.priority).or_default();
        let tag = tags.next_tag(flow.tenant.as_ref());
        // A request can start before one with a lower tag that cannot use the slot, so that the tag is not the lowest.
        if tag > tags.virtual_time {
            tags.virtual_time = tag;
            tags.of_tenants.retain(|_, next| *next > tag);
            tags.of_others = tags.of_others.filter(|next| *next > tag);
        }
        match flow.tenant {
            Some(tenant) => {
                tags.of_tenants.insert(tenant, tag + 1);
            }
            None => tags.of_others = Some(tag + 1),
        }
    }

    /// Forgets all flows, which are idle once no request waits.
    pub fn clear(&mut self) {
        self.ranks.clear();
    }

    /// Returns the number of flows that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranks.values().map(RankTags::len).sum()
    }

    /// Returns whether no flow is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl RankTags {
    fn next_tag(&self, tenant: Option<&Name>) -> u64 {
        let next = match tenant {
            Some(tenant) => self.of_tenants.get(tenant).copied(),
            None => self.of_others,
        };
        let next = next.unwrap_or_default();
        next.max(self.virtual_time)
    }

    fn len(&self) -> usize {
        self.of_tenants.len() + usize::from(self.of_others.is_some())
    }
}
