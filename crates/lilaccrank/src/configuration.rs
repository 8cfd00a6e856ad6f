//! Publishes configurations through the store and distributes them to the daemons.
//!
//! A small [`manifest`] under one key refers to the [`sections`] of the document by digest.
//! [`publish`] writes new sections first and then replaces the manifest with a conditional
//! update, so that the manifest alone decides which publication takes effect. Each daemon keeps
//! the configuration that it [adopted](adoption) and never goes back to an earlier one.
//! [`watcher`] follows the store and repairs a store that was restored to an earlier state;
//! [`exchange`] carries changes between daemons.
//!
//! The store must never reuse the version of an object within an era, and name another era after it was
//! restored from a copy.

pub mod adoption;
pub mod archive;
pub mod deflated;
pub mod exchange;
pub mod manifest;
pub mod publish;
pub mod sections;
pub mod watcher;

mod building;
mod commit;
mod garbage;
mod retry;
