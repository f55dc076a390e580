//! A module for each case.

pub mod frozen_owner;
pub mod late_start;
pub mod late_write;
pub mod long_record;
pub mod removed_route;
pub mod same_rack;
