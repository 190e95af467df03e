//! The binary `lacewingstile-bench`.

fn main() {}
