//! Progressive delivery: an operator orders that the requests of a pool move to another software
//! version, whose targets run beside the old ones.
//!
//! - Every daemon limits by itself how many of its requests the new version gets ([`exposure`]). A
//!   limit that each daemon keeps as a share of its own requests holds for all of them together.
//! - Every daemon counts what both versions answer ([`evidence`]) and reports it to the judges, two
//!   daemons by rendezvous hashing ([`message`]).
//! - A judge compares the versions ([`verdict`]) and decides how the roll-out goes on
//!   ([`controller`]). Its replies are a lease: a daemon that hears from no judge sends nothing new
//!   to the new version ([`participant`]), so a verdict takes effect without the platform's store.
//! - The requests move late and all at once ([`schedule`]): a version that turns bad halfway has then
//!   had no more than its share.

pub mod controller;
pub mod evidence;
pub mod exposure;
pub mod message;
pub mod order;
pub mod participant;
pub mod schedule;
pub mod verdict;
