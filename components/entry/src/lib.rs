//! The process on each entry VM.

pub mod accounts;
