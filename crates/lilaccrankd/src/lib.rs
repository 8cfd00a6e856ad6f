//! The lilaccrank daemon: accepts requests, dispatches them to targets and answers callers.

pub mod admin;
pub mod args;
pub mod callers;
pub mod configuration;
pub mod daemon;
mod json_logger;
pub mod objects;
pub mod orders;
pub mod peers;
pub mod pools;
pub mod ports;
mod reload;
pub mod request;
pub mod rollouts;
pub mod serve;
pub mod settings;
mod shutdown;
pub mod signals;
pub mod startup;
pub mod targets;
