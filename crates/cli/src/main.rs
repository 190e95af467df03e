//! The binary `lacewingstile`.

fn main() {}
