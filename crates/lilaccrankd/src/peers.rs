//! Other daemons: membership duties, messages between daemons, and the traffic that they cost.

pub mod advisories;
pub mod change_signal;
pub mod duties;
pub mod fresh_reads;
pub mod load_exchange;
pub mod load_message;
pub mod message;
pub mod network;
pub mod path_relay;
pub mod quarantine_record;
pub mod stored_origins;
pub mod stream_origins;
pub mod traffic;
pub mod udp_gossip;
pub mod version_record;
