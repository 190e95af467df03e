//! The binary `lacewingstiled`.

fn main() {}
