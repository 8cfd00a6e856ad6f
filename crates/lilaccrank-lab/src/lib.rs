//! Stand-ins and experiments for lilaccrank. Not shipped: small, and made to fail on request.

pub mod answer_text;
pub mod engine;
pub mod notify;
pub mod platform;
pub mod reply;
pub mod service;
pub mod stand_in;
pub mod wire;
