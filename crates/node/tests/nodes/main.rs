//! Several nodes in one process.
//!
//! One test binary, because the tests spend their time waiting and run at the same time.

mod bed;
mod convergence;
mod exchange;
mod isolation;
mod leaving;
mod placement;
mod takeover;
