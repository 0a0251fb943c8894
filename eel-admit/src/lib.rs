//! Decisions of a target node: slots, priority, fairness, preemption and batch credits.
