//! Model placement and commands to engines.
