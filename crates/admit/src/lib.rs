//! Admission: priorities, bounded queues, limits and the retry budget.
