//! Stand-ins of the platform and of targets.
