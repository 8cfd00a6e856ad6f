//! The faults of a soak, drawn from its seed: in series, and overlapping.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Shortest and longest pause between the beginnings of two faults, in milliseconds. Faults last
/// for up to four seconds, so that two or three are mostly there at a time.
const PAUSE_MS: (u64, u64) = (200, 2_200);
/// Shortest and longest fault, in milliseconds. A daemon is taken for dead after one to two
/// seconds, so that some freezes are noticed and some are not.
const LENGTH_MS: (u64, u64) = (300, 4_000);
/// Milliseconds that a slow wire adds to each piece, and a slow store to each answer.
const DELAY_MS: (u64, u64) = (20, 400);
/// Shortest and longest pause between two restores of the store, in milliseconds; longer than a restore
/// takes.
const RESTORE_PAUSE_MS: (u64, u64) = (4_500, 9_000);
/// Sets the draw of restores apart from that of other faults, which stay the same for a seed.
const RESTORE_SEED: u64 = 1 << 63;
/// Answers of the store that are lost at most.
const LOST_ANSWERS: u32 = 5;

/// What a wire does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Harm {
    /// Open connections and new ones fall silent.
    BlackHole,
    /// Open connections are reset, new ones refused.
    Cut,
    /// Open connections fall silent for good, new ones work.
    Silent,
    /// Each piece is held back for so many milliseconds.
    Slow(u64),
}

/// One fault. Daemons and targets go by number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// The daemon is stopped (SIGSTOP) and goes on later.
    Freeze(usize),
    /// The daemon is killed (SIGKILL) and starts again later.
    Kill(usize),
    /// The store carries out so many writes and loses their answers.
    LostAnswers(u32),
    /// The wire to the platform is harmed.
    PlatformWire(Harm),
    /// A changed configuration is published.
    Publish,
    /// The store answers that it is away.
    StoreAway,
    /// The store is away for a moment and comes back from a copy that is as old as the fault is long.
    StoreRestored,
    /// The store takes so many milliseconds longer.
    StoreSlow(u64),
    /// The wire to a target is harmed.
    TargetWire(usize, Harm),
    /// The daemon is asked to end (SIGTERM), and starts again once it has.
    Terminate(usize),
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Planned {
    pub(super) at: Duration,
    pub(super) fault: Fault,
    pub(super) length: Duration,
}

/// Draws the faults of `length`, in order of time. The last third of a plan has single ones, far
/// apart, since some promises hold only while nothing else goes wrong.
pub(super) fn draw(seed: u64, length: Duration, daemons: usize, targets: usize) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        let planned = Planned {
            at,
            fault: fault(&mut rng, daemons, targets),
            length: millis(&mut rng, LENGTH_MS),
        };
        plan.push(planned);
        at += millis(&mut rng, PAUSE_MS);
        if at > length * 2 / 3 {
            at += planned.length + Duration::from_millis(LENGTH_MS.1);
        }
    }
    plan
}

/// Draws restores of the store for a plan of `length`, in order of time, none in its last third.
pub(super) fn draw_restores(seed: u64, length: Duration) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORE_SEED);
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length * 2 / 3 {
        plan.push(Planned {
            at,
            fault: Fault::StoreRestored,
            length: millis(&mut rng, LENGTH_MS),
        });
        at += millis(&mut rng, RESTORE_PAUSE_MS);
    }
    plan
}

fn fault(rng: &mut StdRng, daemons: usize, targets: usize) -> Fault {
    let daemon = rng.random_range(0..daemons);
    let target = rng.random_range(0..targets);
    let delay = rng.random_range(DELAY_MS.0..DELAY_MS.1);
    match rng.random_range(0..9) {
        0 => Fault::Freeze(daemon),
        1 => Fault::Kill(daemon),
        2 => Fault::LostAnswers(rng.random_range(1..=LOST_ANSWERS)),
        3 => Fault::PlatformWire(harm(rng)),
        4 => Fault::Publish,
        5 => Fault::StoreAway,
        6 => Fault::StoreSlow(delay),
        7 => Fault::TargetWire(target, harm(rng)),
        _ => Fault::Terminate(daemon),
    }
}

fn harm(rng: &mut StdRng) -> Harm {
    match rng.random_range(0..4) {
        0 => Harm::BlackHole,
        1 => Harm::Cut,
        2 => Harm::Silent,
        _ => Harm::Slow(rng.random_range(DELAY_MS.0..DELAY_MS.1)),
    }
}

fn millis(rng: &mut StdRng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(least..most))
}
