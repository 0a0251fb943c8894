//! Finds the services that have had no target for so long that their share of a split route goes to the other services.

use std::collections::BTreeMap;

use eel_types::Name;

/// How long a service has to be without a target, in ms: a target that starts again is away for less.
const MIN_ABSENCE_MS: u64 = 2_000;

/// The services without a target.
#[derive(Debug, Default)]
pub struct AbsentServices {
    /// When each service was first seen without a target after it last had one.
    since_ms: BTreeMap<Name, u64>,
    /// Those of them that have had none for [`MIN_ABSENCE_MS`].
    absent: Vec<Name>,
}

impl AbsentServices {
    /// Records which of `services`, all those of interest, have a target now. Returns whether [`Self::contains`] changes
    /// for one of them.
    pub fn observe<'a>(
        &mut self,
        now_ms: u64,
        services: impl IntoIterator<Item = &'a Name>,
        has_target: impl Fn(&Name) -> bool,
    ) -> bool {
        let without = services.into_iter().filter(|it| !has_target(it));
        let since_ms = without.map(|it| {
            let since_ms = self.since_ms.get(it).copied().unwrap_or(now_ms);
            (it.clone(), since_ms)
        });
        self.since_ms = since_ms.collect();
        let is_absent = |since_ms: u64| now_ms >= since_ms + MIN_ABSENCE_MS;
        let absent = self.since_ms.iter().filter(|(_, it)| is_absent(**it));
        let absent: Vec<Name> = absent.map(|(name, _)| name.clone()).collect();
        let is_changed = absent != self.absent;
        self.absent = absent;
        is_changed
    }

    /// Returns whether the service has had no target for 2 s.
    #[must_use]
    pub fn contains(&self, service: &Name) -> bool {
        self.absent.contains(service)
    }

    /// Returns the services that [`Self::contains`].
    #[must_use]
    pub fn names(&self) -> &[Name] {
        &self.absent
    }
}
