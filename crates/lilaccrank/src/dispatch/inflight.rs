//! Prefixes that targets are reading just now.
//!
//! An engine looks up its cache when it admits a request, and stores a prompt once all of it is
//! read. A prompt sent behind another one with the same prefix is read a second time, also by the
//! same engine; sent after the first token of the other one it is not.

use indexmap::IndexMap;

/// Digests of prompts that are being read, with the number of requests that have each.
#[derive(Debug, Default)]
pub(super) struct InflightPrefixes {
    requests: IndexMap<u64, u32>,
}

impl InflightPrefixes {
    /// A prompt is sent.
    pub(super) fn add(&mut self, prefix: &[u64]) {
        for digest in prefix {
            *self.requests.entry(*digest).or_default() += 1;
        }
    }

    /// A prompt is read, or its request has ended.
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

    /// Blocks from the start of the prefix that are being read somewhere.
    pub(super) fn blocks(&self, prefix: &[u64]) -> usize {
        prefix.partition_point(|digest| self.requests.contains_key(digest))
    }
}
