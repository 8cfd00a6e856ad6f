//! One request from its route to its end.

pub mod cutting;
pub mod interruption;
pub mod key_state;
pub mod life;
pub mod migration;
pub mod quarantine;
pub mod quotas;
pub mod run;
pub mod second_sends;
pub mod send;
pub mod sends;
pub mod spill;
