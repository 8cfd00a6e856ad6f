//! Replays paths of the specification against the code and compares the states after each step.

use std::time::Duration;

use lilaccrank::clock::Clock;
use lilaccrank::request_key::{
    Access, ClaimNumber, Error, KeyId, Limits, Outcome, Record, Result, Stage,
};

use crate::request_key::cluster::{Cluster, Loss, TestAccess, TestClaim, TestMarked, request};
use crate::request_key::search;
use crate::request_key::spec::{Action, KeySpec, Lost, Mutation};
use crate::request_key::spec_state::{self, Number, Phase, Rec, SIZE, State};

/// Every n-th path is replayed.
const SAMPLE: usize = 61;
const PAUSE: Duration = Duration::from_secs(2);

enum Entry {
    Claimed(TestClaim),
    Idle,
    Marked(TestMarked),
    Refused,
    Running(TestMarked),
}

struct Replay {
    cluster: Cluster,
    entries: [Entry; SIZE],
}

impl Replay {
    fn new() -> Self {
        Self {
            cluster: Cluster::with(SIZE, Limits::default(), Duration::ZERO),
            entries: [const { Entry::Idle }; SIZE],
        }
    }

    fn step(&mut self, action: Action, next: &State) {
        match action {
            Action::Claim(index, lost) => {
                let access = self.with_loss(lost, |cluster| cluster.claim(index, &request(true)));
                self.entries[index] = claimed(access);
            }
            Action::Mark(index, lost) => {
                let Entry::Claimed(claim) = self.take(index) else {
                    panic!("nothing to mark");
                };
                let marked = self.with_loss(lost, |cluster| cluster.run(claim.mark_dispatching()));
                self.entries[index] = match marked {
                    Ok(claim) => Entry::Marked(claim),
                    Err(Error::AlreadyRun { .. }) => Entry::Idle,
                    Err(_) if self.cluster.daemons[index].claims.unsent() == 0 => Entry::Idle,
                    Err(_) => Entry::Refused,
                };
            }
            Action::Dispatch(index, _) => {
                let Entry::Marked(claim) = self.take(index) else {
                    panic!("nothing to dispatch");
                };
                self.entries[index] = Entry::Running(claim);
            }
            Action::End(index, lost) => {
                let Entry::Running(claim) = self.take(index) else {
                    panic!("nothing to end");
                };
                let held = Outcome::Held { until_ms: u64::MAX };
                self.with_loss(lost, |cluster| cluster.run(claim.end(held)));
            }
            Action::Release(index) => {
                let claims = &self.cluster.daemons[index].claims;
                self.cluster.run(claims.sweep());
                self.take(index);
            }
            Action::Crash(index) | Action::Freeze(index) => self.cluster.stop(index),
            Action::Thaw(index) => {
                self.cluster.run(self.cluster.clock.sleep(PAUSE));
                self.cluster.thaw(index);
            }
            Action::Rejoin(_) => {}
            Action::Settle(index) => {
                let owner = &self.cluster.daemons[index].owner;
                self.cluster.run(owner.handle_membership_change());
            }
        }
        for index in 0..SIZE {
            let view = next.view(index);
            self.cluster
                .set_view(index, (0..SIZE).filter(|member| view[*member]));
        }
    }

    fn take(&mut self, index: usize) -> Entry {
        std::mem::replace(&mut self.entries[index], Entry::Idle)
    }

    fn with_loss<T>(&self, lost: Lost, call: impl FnOnce(&Cluster) -> T) -> T {
        self.cluster.lose(match lost {
            Lost::Copy => Loss::Copies,
            Lost::Nothing => Loss::Nothing,
            Lost::Reply => Loss::Replies,
        });
        let output = call(&self.cluster);
        self.cluster.lose(Loss::Nothing);
        output
    }

    fn compare(&self, expected: &State, path: &[(Action, &State)]) {
        let actions: Vec<Action> = path.iter().map(|(action, _)| *action).collect();
        let id = KeyId::new("acme", "k");
        for (index, daemon) in expected.daemons.iter().enumerate() {
            if daemon.phase == Phase::Dead {
                continue;
            }
            let same = matches!(
                (&self.entries[index], daemon.entry),
                (Entry::Claimed(_), spec_state::Entry::Claimed(_))
                    | (Entry::Idle, spec_state::Entry::Idle)
                    | (Entry::Marked(_), spec_state::Entry::Marked(_))
                    | (Entry::Refused, spec_state::Entry::Refused)
                    | (Entry::Running(_), spec_state::Entry::Running(_))
            );
            assert!(same, "entry {index} after {actions:?}");
            let record = self.cluster.daemons[index].owner.record(&id);
            assert_eq!(
                record.map(to_spec_record),
                daemon.rec,
                "record at {index} after {actions:?}"
            );
        }
    }
}

fn claimed(access: Result<TestAccess>) -> Entry {
    match access {
        Ok(Access::Granted(claim)) => Entry::Claimed(claim),
        Ok(_) | Err(Error::AlreadyRun { .. }) => Entry::Idle,
        Err(_) => Entry::Refused,
    }
}

/// Converts a record to its form in the specification.
fn to_spec_record(record: Record) -> Rec {
    let number = |claim: ClaimNumber| Number(claim.number, claim.grant);
    let holder = record.holder;
    Rec {
        attempt: holder.attempt,
        entry: holder.entry.vm[1..].parse().unwrap(),
        number: number(holder.claim),
        released: record.released.map(number),
        stage: match record.stage {
            Stage::Claimed => spec_state::Stage::Claimed,
            Stage::Dispatching => spec_state::Stage::Marked,
            Stage::Ended(_) => spec_state::Stage::Ended,
            Stage::Free => spec_state::Stage::Free,
        },
    }
}

#[test]
fn code_follows_the_paths_of_the_specification() {
    let keys = KeySpec {
        attempts: [1, 1, 2],
        mutation: Mutation::Nothing,
        faults: 1,
        idempotent: true,
    };
    let search = search::search(&keys);
    let mut steps = 0;
    for index in (0..search.states.len()).rev().step_by(SAMPLE) {
        let path = search.path(index);
        let mut replay = Replay::new();
        for (done, (action, next)) in path.iter().enumerate() {
            replay.step(*action, next);
            replay.compare(next, &path[..=done]);
        }
        steps += path.len();
    }
    println!("{} states, {steps} steps replayed", search.states.len());
}
