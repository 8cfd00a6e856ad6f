//! Prefixes whose prefill is in progress.
//!
//! An engine looks up its cache when it admits a request and stores a prompt when the prefill has
//! finished. Of two prompts with the same prefix, the second is prefilled again if it is sent
//! before the first token of the first one, even on the same engine.

use indexmap::IndexMap;

/// Digests of prompts in prefill, with the number of requests for each.
#[derive(Debug, Default)]
pub(super) struct InflightPrefixes {
    requests: IndexMap<u64, u32>,
}

impl InflightPrefixes {
    /// Adds a prompt that was sent.
    pub(super) fn add(&mut self, prefix: &[u64]) {
        for digest in prefix {
            *self.requests.entry(*digest).or_default() += 1;
        }
    }

    /// Removes a prompt whose prefill has finished or whose request has ended.
    pub(super) fn remove(&mut self, prefix: &[u64]) {
        for digest in prefix {
            let Some(requests) = self.requests.get_mut(digest) else {
                continue;
            };
            *requests -= 1;
            if *requests == 0 {
                self.requests.swap_remove(digest);
            }
        }
    }

    /// Number of leading blocks of the prefix that are in prefill on some target.
    pub(super) fn blocks(&self, prefix: &[u64]) -> usize {
        prefix.partition_point(|digest| self.requests.contains_key(digest))
    }
}
