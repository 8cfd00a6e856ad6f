//! Integration tests of the library, one module per subject, linked as a single test binary.

#[path = "suite/advisories.rs"]
mod advisories;
#[path = "suite/advisory_traffic.rs"]
mod advisory_traffic;
#[path = "suite/attempts.rs"]
mod attempts;
#[path = "suite/blame.rs"]
mod blame;
#[path = "suite/brittle.rs"]
mod brittle;
#[path = "suite/cells.rs"]
mod cells;
#[path = "suite/circuit_breaker.rs"]
mod circuit_breaker;
#[path = "suite/clock.rs"]
mod clock;
#[path = "suite/cluster.rs"]
mod cluster;
#[path = "suite/configuration_adoption.rs"]
mod configuration_adoption;
#[path = "suite/configuration_bench.rs"]
mod configuration_bench;
#[path = "suite/configuration_deflated.rs"]
mod configuration_deflated;
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
#[path = "suite/configuration_steps.rs"]
mod configuration_steps;
#[path = "suite/configuration_store.rs"]
mod configuration_store;
#[path = "suite/dispatch_affinity.rs"]
mod dispatch_affinity;
#[path = "suite/dispatch_faults.rs"]
mod dispatch_faults;
#[path = "suite/dispatch_fixtures.rs"]
mod dispatch_fixtures;
#[path = "suite/dispatch_harness.rs"]
mod dispatch_harness;
#[path = "suite/dispatch_inputs.rs"]
mod dispatch_inputs;
#[path = "suite/dispatch_lengths.rs"]
mod dispatch_lengths;
#[path = "suite/dispatch_locality.rs"]
mod dispatch_locality;
#[path = "suite/dispatch_order.rs"]
mod dispatch_order;
#[path = "suite/dispatch_overload.rs"]
mod dispatch_overload;
#[path = "suite/dispatch_pushback.rs"]
mod dispatch_pushback;
#[path = "suite/dispatch_reservation.rs"]
mod dispatch_reservation;
#[path = "suite/dispatch_restarts.rs"]
mod dispatch_restarts;
#[path = "suite/dispatch_resumed.rs"]
mod dispatch_resumed;
#[path = "suite/dispatch_sharing.rs"]
mod dispatch_sharing;
#[path = "suite/dispatch_spread.rs"]
mod dispatch_spread;
#[path = "suite/dispatch_unanswered.rs"]
mod dispatch_unanswered;
#[path = "suite/dispatch_versions.rs"]
mod dispatch_versions;
#[path = "suite/dispatch_waits.rs"]
mod dispatch_waits;
#[path = "suite/error_kind.rs"]
mod error_kind;
#[path = "suite/fake_network.rs"]
mod fake_network;
#[path = "suite/fake_store.rs"]
mod fake_store;
#[path = "suite/guarded_store.rs"]
mod guarded_store;
#[path = "suite/lease.rs"]
mod lease;
#[path = "suite/membership.rs"]
mod membership;
#[path = "suite/membership_cost.rs"]
mod membership_cost;
#[path = "suite/orders.rs"]
mod orders;
#[path = "suite/paths.rs"]
mod paths;
#[path = "suite/pool_lengths.rs"]
mod pool_lengths;
#[path = "suite/pool_load.rs"]
mod pool_load;
#[path = "suite/pool_model.rs"]
mod pool_model;
#[path = "suite/process.rs"]
mod process;
#[path = "suite/quota.rs"]
mod quota;
#[path = "suite/quota_cells.rs"]
mod quota_cells;
#[path = "suite/quota_figures.rs"]
mod quota_figures;
#[path = "suite/quota_fleet.rs"]
mod quota_fleet;
#[path = "suite/quota_harness.rs"]
mod quota_harness;
#[path = "suite/rate_limit.rs"]
mod rate_limit;
#[path = "suite/rendezvous.rs"]
mod rendezvous;
#[path = "suite/request_key.rs"]
mod request_key;
#[path = "suite/retry_budget.rs"]
mod retry_budget;
#[path = "suite/rollout_exposure.rs"]
mod rollout_exposure;
#[path = "suite/rollout_fleet.rs"]
mod rollout_fleet;
#[path = "suite/rollout_verdict.rs"]
mod rollout_verdict;
#[path = "suite/rules_check.rs"]
mod rules_check;
#[path = "suite/rules_difference.rs"]
mod rules_difference;
#[path = "suite/rules_matching.rs"]
mod rules_matching;
#[path = "suite/rules_terms.rs"]
mod rules_terms;
#[path = "suite/seeded.rs"]
mod seeded;
#[path = "suite/stored_origins.rs"]
mod stored_origins;
#[path = "suite/stream_origins.rs"]
mod stream_origins;
#[path = "suite/timeline.rs"]
mod timeline;
#[path = "suite/versions_in_use.rs"]
mod versions_in_use;
