//! A module for each case.

pub mod long_record;
