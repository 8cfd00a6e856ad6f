//! Tests of the library, in one crate; a folder beside this file holds them by subject.

#[path = "suite/configuration_model.rs"]
mod configuration_model;
#[path = "suite/configuration_publish.rs"]
mod configuration_publish;
#[path = "suite/configuration_replay.rs"]
mod configuration_replay;
#[path = "suite/configuration_sections.rs"]
mod configuration_sections;
#[path = "suite/configuration_spec.rs"]
mod configuration_spec;
#[path = "suite/configuration_store.rs"]
mod configuration_store;
#[path = "suite/error_kind.rs"]
mod error_kind;
#[path = "suite/rules_check.rs"]
mod rules_check;
#[path = "suite/rules_difference.rs"]
mod rules_difference;
#[path = "suite/rules_matching.rs"]
mod rules_matching;
#[path = "suite/seeded.rs"]
mod seeded;
