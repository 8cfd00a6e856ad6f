//! Bandwidth and failure detection time of the membership, on the paused clock, so the figures are
//! reproducible. `cargo nextest run membership_cost --no-capture` prints them.

use crate::cluster::{self, Cluster};

const IDLE_SECONDS: usize = 30;
const KILLS: usize = 20;

macro_rules! cost {
    ($($name:ident: $count:expr, $bytes_per_s:expr, $detection_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut cluster = Cluster::new($count);
            cluster.advance(30_000);
            let bytes = idle_bytes_per_s(&mut cluster);
            cluster.network.set_loss(0.2);
            cluster.advance(10_000);
            let lossy = idle_bytes_per_s(&mut cluster);
            cluster.network.set_loss(0.0);
            cluster.advance(10_000);
            let mut times = detection_times(&mut cluster);
            times.sort_unstable();
            let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
            println!(
                "{} members: {bytes} B/s sent by each, {lossy} B/s at 20% loss; {KILLS} kills \
                 known to all after {median} ms (median), {worst} ms (longest)",
                $count,
            );
            assert!(bytes <= $bytes_per_s);
            assert!(worst <= $detection_ms);
        }
    )*};
}

cost! {
    cost_of_3: 3, 2_048, 2_000;
    cost_of_9: 9, 2_048, 2_300;
    cost_of_27: 27, 2_048, 3_000;
    cost_of_81: 81, 2_048, 3_500;
}

fn idle_bytes_per_s(cluster: &mut Cluster) -> usize {
    cluster.network.take_sent_bytes();
    cluster.advance(IDLE_SECONDS as u64 * 1_000);
    cluster.network.take_sent_bytes() / IDLE_SECONDS / cluster.daemons.len()
}

fn detection_times(cluster: &mut Cluster) -> Vec<u64> {
    let count = cluster.daemons.len();
    let mut times = Vec::new();
    for kill in 0..KILLS {
        let victim = 1 + kill % (count - 1);
        cluster.kill(victim);
        let known = cluster.advance_until(10_000, |c| c.all_see(count - 1, Some(victim)));
        times.push(known.expect("the death becomes known"));
        let incarnation = 10_000 * (kill as u64 + 1);
        cluster.daemons[victim] = cluster.start(cluster::vm(victim), victim, incarnation);
        let back = cluster.advance_until(10_000, |c| c.all_see(count, None));
        assert!(back.is_some(), "the restarted daemon is not known to all");
        cluster.advance(1_170);
    }
    times
}
