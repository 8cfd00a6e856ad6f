//! Publication of configurations through the store, and their adoption by each daemon.
//!
//! A small [`manifest`] at one key names the [`sections`] of the document by digest. [`publish`]
//! writes new sections first and then replaces the manifest by conditional update, so that the
//! manifest alone decides which publication takes effect. Each daemon holds what it
//! [adopted](adoption) and never goes back; [`watcher`] follows the store and heals one that
//! came back older; [`exchange`] carries changes between daemons.
//!
//! Assumed of the store: the version of an object is never used twice, also after the store was
//! restored from a backup.

pub mod adoption;
pub mod archive;
pub mod exchange;
pub mod manifest;
pub mod publish;
pub mod sections;
pub mod watcher;

mod commit;
mod garbage;
mod retry;
