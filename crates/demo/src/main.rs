//! The binary `lacewingstile-demo`.

fn main() {}
