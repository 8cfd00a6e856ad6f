//! Ordered routing rules, of which the first one that matches a request applies.

pub mod check;
pub mod condition;
pub mod coverage;
pub mod difference;
pub mod explain;
pub mod matching;
pub mod problem;
pub mod reading;

mod candidates;
mod check_rule;
