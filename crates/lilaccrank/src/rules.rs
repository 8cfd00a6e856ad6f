//! Ordered rules: the first one that matches a request decides it.

pub mod condition;
pub mod matching;

mod candidates;
