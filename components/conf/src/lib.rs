//! Settings of a process and the operators' object set.
//!
//! Each process reads its settings once, at startup. Objects are shared by the
//! whole installation, checked together and published as one revision. Both are
//! TOML; every error names file, line, field and remedy. See `docs/SETTINGS.md`
//! and `docs/CONFIGURATION.md`.

pub mod diff;
pub mod locate;
pub mod objects;
pub mod problem;
pub mod publish;
pub mod render;
pub mod settings;
mod syntax;

pub use diff::{Diff, diff};
pub use objects::{SourceFile, check, parse, read_dir};
pub use problem::{Problem, Problems};
pub use syntax::from_toml;
