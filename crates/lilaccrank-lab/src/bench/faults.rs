//! Brings the faults of a scenario about, at their times.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal};
use serde_json::json;

use crate::cluster::Cluster;
use crate::stand_in::Result;

use super::scenario::{Fault, TimedFault};

/// Time after which the balancer sends nothing more to a daemon that does not answer.
const BALANCER_LAG: Duration = Duration::from_millis(500);

/// Which daemons the platform's balancer takes for well.
#[derive(Clone, Default)]
pub(super) struct Balancer {
    down: Rc<RefCell<Vec<Option<Instant>>>>,
}

impl Balancer {
    pub(super) fn new(daemons: usize) -> Self {
        Self {
            down: Rc::new(RefCell::new(vec![None; daemons])),
        }
    }

    /// The daemon for the `turn`th connection.
    pub(super) fn pick(&self, turn: usize) -> usize {
        let down = self.down.borrow();
        let count = down.len().max(1);
        let well = |at: &usize| match down.get(*at) {
            Some(Some(since)) => since.elapsed() < BALANCER_LAG,
            _ => true,
        };
        let mut order = (0..count).map(|i| (turn + i) % count);
        order.find(well).unwrap_or(turn % count)
    }

    fn set(&self, daemon: usize, since: Option<Instant>) {
        if let Some(slot) = self.down.borrow_mut().get_mut(daemon) {
            *slot = since;
        }
    }
}

/// Brings one fault about and, if it has an end, ends it.
pub(super) async fn bring_about(
    cluster: &Cluster,
    balancer: &Balancer,
    begun: Instant,
    timed: TimedFault,
) -> Result<()> {
    let at = begun + Duration::from_millis(timed.at_ms);
    monoio::time::sleep(at.saturating_duration_since(Instant::now())).await;
    match timed.fault {
        Fault::Cut { engine, for_ms } => {
            wire(cluster, engine, "cut").await?;
            monoio::time::sleep(Duration::from_millis(for_ms)).await;
            wire(cluster, engine, "open").await
        }
        Fault::Freeze { daemon, for_ms } => {
            balancer.set(daemon, Some(Instant::now()));
            signal(cluster, daemon, Signal::STOP)?;
            monoio::time::sleep(Duration::from_millis(for_ms)).await;
            signal(cluster, daemon, Signal::CONT)?;
            balancer.set(daemon, None);
            Ok(())
        }
        Fault::Kill { daemon } => {
            balancer.set(daemon, Some(Instant::now()));
            signal(cluster, daemon, Signal::KILL)
        }
        Fault::LostAnswer { answers } => {
            let json = json!({"lose_answers": answers});
            control(cluster, &cluster.platform.address, &json).await
        }
        Fault::Silence { engine } => wire(cluster, engine, "silent").await,
        Fault::Slow { engine, factor } => {
            let address = &cluster.engines[engine].address;
            control(cluster, address, &json!({"speed": factor})).await
        }
        Fault::StoreDown { for_ms } => {
            let json = json!({"outage_ms": for_ms});
            control(cluster, &cluster.platform.address, &json).await
        }
    }
}

/// Signals a daemon; the baselines have none.
fn signal(cluster: &Cluster, daemon: usize, signal: Signal) -> Result<()> {
    let Some(daemon) = cluster.daemons.get(daemon) else {
        return Ok(());
    };
    let pid = i32::try_from(daemon.process.id()).ok();
    let pid = pid.and_then(Pid::from_raw);
    let pid = pid.ok_or_else(|| std::io::Error::other("the daemon has no process id"))?;
    Ok(rustix::process::kill_process(pid, signal)?)
}

async fn wire(cluster: &Cluster, engine: usize, mode: &str) -> Result<()> {
    let wire = cluster.engines.get_index(engine);
    let wire = wire.and_then(|(id, _)| cluster.target_wires.get(id)?.control.clone());
    let address = wire.ok_or_else(|| std::io::Error::other("the engine has no wire"))?;
    control(cluster, &address, &json!({"mode": mode})).await
}

async fn control(cluster: &Cluster, address: &str, json: &serde_json::Value) -> Result<()> {
    let (status, text) = cluster.post(address, "/control", json).await?;
    if status >= 300 {
        return Err(std::io::Error::other(format!("control: {status} {text}")));
    }
    Ok(())
}
