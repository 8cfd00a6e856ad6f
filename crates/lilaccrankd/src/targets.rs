//! What is spoken with targets: model engines and plain services.

pub mod call;
pub mod engine_run;
pub mod engine_stream;
pub mod proxied;
pub mod proxy_run;
pub mod vm_list;
