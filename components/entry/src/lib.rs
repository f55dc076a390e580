//! The process on each entry VM.
