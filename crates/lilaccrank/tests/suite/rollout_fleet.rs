//! Roll-outs by a fleet of daemons and two judges, with computed time: cuts, restarts, random evidence.

use std::time::{Duration, Instant};

use lilaccrank::ids::{RuleId, VmId};
use lilaccrank::rollout::controller::{Controller, Fleet};
use lilaccrank::rollout::evidence::{Observation, Side};
use lilaccrank::rollout::message::{Report, Stage};
use lilaccrank::rollout::order::{Order, OrderId, State};
use lilaccrank::rollout::participant::{Lane, Participant};
use quickcheck::quickcheck;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::seeded;

const DURATION: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(20);
const REPORT_EVERY: usize = 15;
const LEASE: Duration = Duration::from_secs(1);
/// Time to an answer.
const WORK: Duration = Duration::from_millis(40);
/// Share that operators allow, and requests beyond it.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// Answers that fail, of a bad version.
const FAILING: f64 = 0.6;

/// One daemon.
struct Daemon {
    incarnation: u64,
    /// Time until which it hears from no judge.
    cut_until: Instant,
    open: Vec<(Instant, Side)>,
    participant: Participant,
    vm: VmId,
}

/// A fleet during a roll-out.
struct Play {
    bad_from: Option<Duration>,
    daemons: Vec<Daemon>,
    exposed: usize,
    judges: [Controller; 2],
    now: Instant,
    requests: usize,
    rng: StdRng,
    started_at: Instant,
    /// Requests to old targets that began after the roll-out had succeeded.
    late_old: usize,
}

fn order() -> Order {
    Order {
        id: OrderId {
            created: 1,
            pool: "reports".to_owned(),
            to: "v2".to_owned(),
        },
        duration: DURATION,
        recorded: None,
    }
}

fn participant(started_at: Instant, phase: f64) -> Participant {
    let mut participant = Participant::new(order(), started_at, phase);
    participant.has_old_targets = true;
    participant
}

impl Play {
    fn new(daemons: usize, seed: u64, bad_from: Option<Duration>) -> Self {
        let now = Instant::now();
        let mut rng = StdRng::seed_from_u64(seed);
        let daemons = (0..daemons).map(|number| Daemon {
            incarnation: 1,
            cut_until: now,
            open: Vec::new(),
            participant: participant(now, rng.random()),
            vm: format!("vm-{number}"),
        });
        Self {
            bad_from,
            daemons: daemons.collect(),
            exposed: 0,
            judges: [Controller::new(order(), now), Controller::new(order(), now)],
            late_old: 0,
            now,
            requests: 0,
            rng: StdRng::seed_from_u64(seed),
            started_at: now,
        }
    }

    fn fleet(&self, judge: usize) -> Fleet {
        Fleet {
            has_new_targets: true,
            has_old_targets: true,
            is_first_judge: judge == 0,
            members: self
                .daemons
                .iter()
                .map(|daemon| daemon.vm.clone())
                .collect(),
        }
    }

    fn age(&self) -> Duration {
        self.now - self.started_at
    }

    /// Sends one request through a daemon.
    fn request(&mut self, daemon: usize) {
        let rule: RuleId = "urgent".to_owned();
        let has_succeeded = self.judges[0].stage() == Stage::Succeeded;
        let now = self.now;
        let daemon = &mut self.daemons[daemon];
        let lane = daemon.participant.choose(&rule, false, now);
        daemon.participant.record_send();
        let side = match lane {
            Lane::Old => Side::Old,
            Lane::Any | Lane::Trial | Lane::New => Side::New,
        };
        if side == Side::Old {
            daemon.participant.open_old += 1;
            self.late_old += usize::from(has_succeeded && daemon.cut_until <= now);
        }
        daemon.open.push((now + WORK, side));
        if self.age() < DURATION {
            self.requests += 1;
            self.exposed += usize::from(side == Side::New);
        }
    }

    /// Ends the requests that are due.
    fn answer(&mut self) {
        let rule: RuleId = "urgent".to_owned();
        let is_bad = self.bad_from.is_some_and(|from| self.age() >= from);
        for daemon in &mut self.daemons {
            let now = self.now;
            let (due, open) = daemon.open.drain(..).partition(|(at, _)| *at <= now);
            daemon.open = open;
            for (_, side) in due as Vec<(Instant, Side)> {
                let target = self.rng.random_range(0..6);
                let seen = Observation {
                    rule: &rule,
                    side,
                    target,
                };
                let fails = side == Side::New && is_bad && self.rng.random_bool(FAILING);
                let evidence = &mut daemon.participant.evidence;
                evidence.record_answer(seen, fails);
                evidence.record_time(seen, WORK);
                if side == Side::Old {
                    evidence.record_total(&rule, WORK);
                    daemon.participant.open_old -= 1;
                }
            }
        }
    }

    /// Has all daemons that are not cut off report to both judges.
    fn report(&mut self) {
        for judge in 0..self.judges.len() {
            for number in 0..self.daemons.len() {
                let daemon = &mut self.daemons[number];
                if daemon.cut_until > self.now {
                    continue;
                }
                let participant = &daemon.participant;
                let report = Report {
                    age: self.now - participant.started_at(),
                    evidence: participant.evidence.clone(),
                    incarnation: daemon.incarnation,
                    open_old: participant.open_old,
                    order: order().id,
                    pending: Default::default(),
                    reason: participant.reason().cloned(),
                    stage: participant.stage(),
                    vm: daemon.vm.clone(),
                };
                self.judges[judge].receive(report, self.now);
                let directive = self.judges[judge].directive(self.now);
                daemon.participant.follow(&directive, self.now, LEASE);
            }
            let fleet = self.fleet(judge);
            self.judges[judge].review(&fleet, self.now);
        }
    }

    /// A daemon starts anew and knows nothing.
    fn restart(&mut self, daemon: usize) {
        let phase = self.rng.random();
        let daemon = &mut self.daemons[daemon];
        daemon.incarnation += 1;
        daemon.open.clear();
        daemon.participant = participant(self.now, phase);
    }

    /// Plays until well past the deadline: `per_step` requests a step, troubles as likely as this.
    fn run(&mut self, per_step: f64, trouble: f64) {
        let mut step = 0;
        while self.age() < DURATION + Duration::from_secs(3) {
            let count =
                per_step.floor() as usize + usize::from(self.rng.random_bool(per_step.fract()));
            for _ in 0..count {
                let daemon = self.rng.random_range(0..self.daemons.len());
                self.request(daemon);
            }
            self.answer();
            if self.rng.random_bool(trouble) {
                let daemon = self.rng.random_range(0..self.daemons.len());
                match self.rng.random_bool(0.5) {
                    true => self.restart(daemon),
                    false => self.daemons[daemon].cut_until = self.now + LEASE * 2,
                }
            }
            if self.rng.random_bool(trouble / 4.0) {
                self.judges[1] = Controller::new(order(), self.now);
            }
            step += 1;
            if step % REPORT_EVERY == 0 {
                self.report();
            }
            self.now += STEP;
        }
    }

    fn is_within_share(&self) -> bool {
        self.exposed as f64 <= SHARE * self.requests as f64 + SLACK
    }
}

/// Guards against a sound version that misses its deadline, or requests that are sent to targets that
/// have been stopped.
#[test]
fn a_sound_version_succeeds_before_the_deadline() {
    for (daemons, per_step) in [(1, 0.8), (4, 0.8), (16, 2.0), (76, 14.0)] {
        let mut play = Play::new(daemons, 1, None);
        play.run(per_step, 0.0);
        assert_eq!(
            play.judges[0].stage(),
            Stage::Succeeded,
            "{daemons} daemons"
        );
        assert_eq!(play.late_old, 0, "{daemons} daemons");
    }
}

/// Guards against a bad version that gets more than its share, at whichever moment it turns bad, while
/// daemons are cut off, start anew, and a judge forgets all.
#[test]
fn a_bad_version_stays_within_its_share() {
    fn stays(seed: u64, daemons: u8, bad_from: u8) -> bool {
        let bad_from = DURATION.mul_f64(f64::from(bad_from) / 256.0 * 0.8);
        let daemons = usize::from(daemons % 40) + 1;
        let mut play = Play::new(daemons, seed, Some(bad_from));
        play.run(2.0, 0.02);
        play.is_within_share() && play.judges[0].stage() == Stage::RolledBack
    }
    seeded::check(30, stays as fn(u64, u8, u8) -> bool);
}

quickcheck! {
    /// Guards against a final stage that a report or the order of two judges undoes.
    fn a_roll_back_is_final(stages: Vec<u8>) -> bool {
        let now = Instant::now();
        let mut participant = participant(now, 0.5);
        let mut judge = Controller::new(order(), now);
        judge.note_recorded(Some(State::RolledBack));
        participant.follow(&judge.directive(now), now, LEASE);
        for stage in stages {
            let mut directive = judge.directive(now);
            directive.stage = match stage % 3 {
                0 => Stage::Trial,
                1 => Stage::Closing,
                _ => Stage::Succeeded,
            };
            participant.follow(&directive, now, LEASE);
        }
        participant.stage() == Stage::RolledBack && !participant.may_expose(now)
    }
}

/// Guards against a daemon that is cut off from the judges and goes on with a version that they have
/// found bad.
#[test]
fn without_a_judge_nothing_new_goes_to_the_version() {
    let now = Instant::now();
    let mut participant = participant(now, 0.99);
    let rule = "urgent".to_owned();
    let tried = |participant: &mut Participant, at: Instant| {
        let lanes = (0..200).map(|_| {
            participant.record_send();
            participant.choose(&rule, false, at)
        });
        lanes.filter(|lane| *lane == Lane::Trial).count()
    };
    assert_eq!(tried(&mut participant, now), 0);
    let judge = Controller::new(order(), now);
    participant.follow(&judge.directive(now), now, LEASE);
    assert!(tried(&mut participant, now) > 0);
    assert_eq!(tried(&mut participant, now + LEASE), 0);
}

/// Guards against an order to the version that all targets have, which would leave requests none, and
/// against a version that is released after a roll-out and gets nothing.
#[test]
fn without_an_old_version_any_is_used() {
    let now = Instant::now();
    let rule = "urgent".to_owned();
    let mut first = Participant::new(order(), now, 0.5);
    assert_eq!(first.choose(&rule, false, now), Lane::Any);
    let mut later = participant(now, 0.5);
    later.note_recorded(Some(State::Succeeded));
    assert_eq!(later.choose(&rule, false, now), Lane::Any);
}

/// Guards against an order without targets of its version that nobody ever hears of.
#[test]
fn a_version_without_targets_is_rolled_back_at_the_deadline() {
    let now = Instant::now();
    let mut judge = Controller::new(order(), now);
    let fleet = Fleet {
        has_old_targets: true,
        is_first_judge: true,
        ..Fleet::default()
    };
    judge.review(&fleet, now + DURATION / 2);
    assert_eq!(judge.stage(), Stage::Trial);
    judge.review(&fleet, now + DURATION);
    assert_eq!(judge.unrecorded(), Some(State::RolledBack));
}
