//! Tests of the library, in one crate; a folder beside this file holds them by subject.

#[path = "suite/error_kind.rs"]
mod error_kind;
#[path = "suite/request_key.rs"]
mod request_key;
#[path = "suite/timeline.rs"]
mod timeline;
