//! What the named cases of the dispatcher share.

use std::time::Duration;

use lilaccrank::dispatch::message::{Ask, Entry, ReportKind};
use lilaccrank::dispatch::sharing::{Digest, TargetLoad};
use lilaccrank::document::Limit;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::target_instance::{InstanceDigest, TargetInstance};

use crate::dispatch_harness::{self, Harness};

pub const CONCURRENCY_LIMIT: Limit = Limit {
    concurrency: Some(1),
    per_customer: false,
    rate_per_s: None,
};
pub const SILENCE_FLOOR: Duration = Duration::from_secs(2);
pub const FIRST_TOKEN: ReportKind = ReportKind::FirstToken {
    after: Duration::from_millis(250),
};
pub const WAITING_LIMIT: usize = 1000;

pub fn harness(slots: &[u32]) -> Harness {
    Harness::new(slots, WAITING_LIMIT, SILENCE_FLOOR)
}

pub fn ask(request: &str, tier: u8) -> Ask {
    dispatch_harness::ask(request, tier)
}

pub fn ask_with_long_prompt(request: &str, tier: u8) -> Ask {
    let prompt_tokens = 10_000;
    Ask {
        prompt_tokens,
        ..ask(request, tier)
    }
}

pub fn with_deadline(secs: u64, ask: Ask) -> Ask {
    let deadline = Some(Duration::from_secs(secs));
    Ask { deadline, ..ask }
}

pub fn ask_with_limit(request: &str, limit: Limit) -> Ask {
    let limit = Some(limit);
    Ask {
        limit,
        ..ask(request, 0)
    }
}

pub fn entry(vm: &str) -> Entry {
    Entry {
        incarnation: 1,
        vm: vm.to_owned(),
    }
}

pub fn waiting(harness: &Harness) -> usize {
    let status = harness.dispatcher.status();
    status.waiting.iter().map(|tier| tier.waiting).sum()
}

pub fn refused(request: &str, kind: ErrorKind) -> Vec<(String, ErrorKind)> {
    vec![(request.to_owned(), kind)]
}

pub fn granted(request: &str, target: &str) -> Vec<(String, String)> {
    vec![(request.to_owned(), target.to_owned())]
}

/// What stands for a target in a digest.
pub fn target_digest(target: &str) -> InstanceDigest {
    TargetInstance::from(target).digest()
}

/// A digest of a peer that has `running` short requests on a target.
pub fn digest(target: &str, running: u32, prefill: u64) -> Digest {
    Digest {
        loads: vec![TargetLoad {
            prefill,
            running,
            target: target_digest(target),
        }],
        whole: true,
        ..Digest::default()
    }
}

/// A digest of a peer that has nothing on any target.
pub fn empty_digest() -> Digest {
    Digest {
        whole: true,
        ..Digest::default()
    }
}

pub fn deliver_digest(harness: &Harness, from: &str, digest: Digest) {
    harness.dispatcher.apply_digest(&from.to_owned(), digest);
}

/// An ask whose caller expects a first token.
pub fn ask_with_objective(request: &str, tier: u8) -> Ask {
    Ask {
        deadline: Some(Duration::from_secs(10)),
        objective: Some(Duration::from_millis(1_000)),
        ..ask(request, tier)
    }
}
