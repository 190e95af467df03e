//! Tests of a gateway host between callers and scripted targets, on loopback.

mod answers;
mod broken_streams;
mod crashing_parts;
mod crashing_requests;
mod cut_heads;
mod directory;
mod endless_answers;
mod endless_bytes;
mod engine_fleet;
mod failing_target;
mod forwarded_decisions;
mod header_timeout;
mod limited_targets;
mod limiting_fleet;
mod memory;
mod notices;
mod plan_changes;
mod planned_stops;
mod repeated_refusals;
mod run_delay;
mod support;
mod suspension;
mod troubled_answers;
mod warming_target;
mod warmth;
