//! The `hemlockmoor` program.
fn main() {}
