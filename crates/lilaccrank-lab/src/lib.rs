//! Stand-ins and experiments for lilaccrank. Not shipped: small, and made to fail on request.

pub mod answer_text;
pub mod bench;
pub mod caller;
pub mod cluster;
pub mod demo;
pub mod engine;
pub mod launch;
pub mod layout;
pub mod notify;
pub mod overhead;
pub mod platform;
pub mod ports;
pub mod process;
pub mod reply;
pub mod scale;
pub mod service;
pub mod soak;
pub mod stand_in;
pub mod up;
mod usage;
pub mod wire;
