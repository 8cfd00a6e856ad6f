//! The daemon of lilaccrank: takes requests, dispatches them to targets, answers callers.

use std::process::ExitCode;

mod admin;
mod answer_shape;
mod answers;
mod args;
mod attach;
mod auth;
mod caller_request;
mod callers;
mod choices;
mod configuration;
mod cutting;
mod daemon;
mod drain_teller;
mod duties;
mod end_to_end;
mod engine_run;
mod engine_stream;
mod entry;
mod in_force;
mod interruption;
mod json_logger;
mod key_state;
mod metrics;
mod order_jobs;
mod order_keeper;
mod order_message;
mod order_relay;
mod order_times;
mod peer_message;
mod peer_network;
mod pool_client;
mod pool_orders;
mod pool_server;
mod proxied;
mod proxy_run;
mod refusal;
mod request_run;
mod request_send;
mod run;
mod serve;
mod settings;
mod shutdown;
mod signals;
mod spill;
mod target_call;
mod target_orders;
mod target_poller;
mod traffic;
mod udp_gossip;
mod vm_list;

fn main() -> ExitCode {
    args::run()
}
