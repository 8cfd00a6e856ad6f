//! Submissions, digests and expected results that the tests of the dispatcher share.

use std::time::Duration;

use lilaccrank::dispatch::message::{Entry, ReportKind, Submission};
use lilaccrank::dispatch::sharing::{Digest, TargetLoad};
use lilaccrank::document::Limit;
use lilaccrank::error_kind::ErrorKind;
use lilaccrank::target_instance::{InstanceDigest, TargetInstance};

use crate::dispatch_harness::{self, Harness};

/// Limit of one concurrent request over all customers.
pub const CONCURRENCY_LIMIT: Limit = Limit {
    concurrency: Some(1),
    per_customer: false,
    rate_per_s: None,
};
/// Shortest silence after which a target counts as unresponsive.
pub const MIN_HANG_TIMEOUT: Duration = Duration::from_secs(2);
/// Report of a first token after 250 ms.
pub const FIRST_TOKEN: ReportKind = ReportKind::FirstToken {
    after: Duration::from_millis(250),
};
/// Queue limit that no test with [`harness`] reaches.
pub const WAITING_LIMIT: usize = 1000;

/// Returns a harness with one target for each slot count.
pub fn harness(slots: &[u32]) -> Harness {
    Harness::new(slots, WAITING_LIMIT, MIN_HANG_TIMEOUT)
}

/// Returns a submission with a short prompt.
pub fn submission(request: &str, tier: u8) -> Submission {
    dispatch_harness::submission(request, tier)
}

/// Returns a submission with a prompt of 10 000 tokens.
pub fn submission_with_long_prompt(request: &str, tier: u8) -> Submission {
    let prompt_tokens = 10_000;
    Submission {
        prompt_tokens,
        ..submission(request, tier)
    }
}

/// Sets the deadline of a submission, in seconds from now.
pub fn with_deadline(secs: u64, submission: Submission) -> Submission {
    let deadline = Some(Duration::from_secs(secs));
    Submission {
        deadline,
        ..submission
    }
}

/// Returns a submission of the most urgent tier that counts against a limit.
pub fn submission_with_limit(request: &str, limit: Limit) -> Submission {
    let limit = Some(limit);
    Submission {
        limit,
        ..submission(request, 0)
    }
}

/// Returns the first incarnation of the entry daemon on a VM.
pub fn entry(vm: &str) -> Entry {
    Entry {
        incarnation: 1,
        vm: vm.to_owned(),
    }
}

/// Returns the number of queued requests over all tiers.
pub fn waiting(harness: &Harness) -> usize {
    let status = harness.dispatcher.status();
    status.waiting.iter().map(|tier| tier.waiting).sum()
}

/// Expected [`Harness::refusals`] with one refusal.
pub fn refused(request: &str, kind: ErrorKind) -> Vec<(String, ErrorKind)> {
    vec![(request.to_owned(), kind)]
}

/// Expected [`Harness::grants`] with one grant.
pub fn granted(request: &str, target: &str) -> Vec<(String, String)> {
    vec![(request.to_owned(), target.to_owned())]
}

/// Returns the key of a target in digests.
pub fn target_digest(target: &str) -> InstanceDigest {
    TargetInstance::from(target).digest()
}

/// Returns a digest of a peer that runs `running` requests on a target, with `prefill` prompt tokens
/// left to process.
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

/// Returns a full digest of a peer that runs no request.
pub fn empty_digest() -> Digest {
    Digest {
        whole: true,
        ..Digest::default()
    }
}

/// Passes a peer's digest to the dispatcher.
pub fn deliver_digest(harness: &Harness, from: &str, digest: Digest) {
    harness.dispatcher.apply_digest(&from.to_owned(), digest);
}

/// Returns a submission with a first-token objective of 1 s and a deadline of 10 s.
pub fn submission_with_objective(request: &str, tier: u8) -> Submission {
    Submission {
        deadline: Some(Duration::from_secs(10)),
        objective: Some(Duration::from_millis(1_000)),
        ..submission(request, tier)
    }
}
