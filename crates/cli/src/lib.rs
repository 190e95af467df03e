//! The command-line tool of operators.
