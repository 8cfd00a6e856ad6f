//! The cluster of a soak, and how faults are brought about and ended there.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use lilaccrank::configuration::manifest::Identity;
use serde_json::{Value, json};

use crate::cluster::{Cluster, Daemon};
use crate::layout::{EngineLayout, Layout, WireLayout};
use crate::process::Process;
use crate::stand_in::Result;

use super::plan::{Fault, Harm, Planned};

/// Daemons of the cluster: with four, two may be away at once and the others still agree.
pub(super) const DAEMONS: usize = 4;
/// Engines of the cluster.
pub(super) const ENGINES: usize = 3;
/// Time between two looks at a process that ends.
const POLL: Duration = Duration::from_millis(50);
/// Time for which the store is away before it comes back from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(300);
/// Longest time that a daemon may take to end: its own limit, the time to tell callers, and a
/// freeze meanwhile.
const END_LIMIT: Duration = Duration::from_secs(17);

/// When a fault was there, and when what came of it was over.
#[derive(Clone, Debug)]
pub(super) struct Past {
    pub(super) began: Instant,
    pub(super) ended: Instant,
    pub(super) fault: Fault,
}

/// The cluster under faults.
pub(super) struct World {
    pub(super) cluster: Cluster,
    /// Taken out of the cluster, so that one can start again while the others are called.
    pub(super) daemons: RefCell<Vec<Daemon>>,
    /// The newest configuration whose publication was acknowledged.
    pub(super) published: RefCell<Identity>,
    /// Faults that are over.
    pub(super) past: RefCell<Vec<Past>>,
}

impl World {
    pub(super) async fn start() -> Result<Self> {
        let mut layout = Layout::one_data_centre(DAEMONS, vec![EngineLayout::default(); ENGINES]);
        layout.wires = WireLayout {
            platform: true,
            targets: true,
        };
        let limit = json!(10_000);
        layout
            .settings
            .insert("shutdown_limit_ms".to_owned(), limit);
        let mut cluster = Cluster::start(layout).await?;
        Ok(Self {
            daemons: RefCell::new(std::mem::take(&mut cluster.daemons)),
            published: RefCell::new(cluster.first.clone()),
            past: RefCell::default(),
            cluster,
        })
    }

    /// Brings a fault about, and ends it after its time.
    pub(super) async fn bring_about(&self, planned: Planned) -> Result<()> {
        let began = Instant::now();
        let played = self.play(planned).await;
        self.past.borrow_mut().push(Past {
            began,
            ended: Instant::now(),
            fault: planned.fault,
        });
        played
    }

    async fn play(&self, planned: Planned) -> Result<()> {
        let platform = self.cluster.platform.address.clone();
        let ms = u64::try_from(planned.length.as_millis()).unwrap_or(u64::MAX);
        match planned.fault {
            Fault::Freeze(at) => {
                self.signal(at, Process::freeze)?;
                monoio::time::sleep(planned.length).await;
                self.signal(at, Process::thaw)
            }
            Fault::Kill(at) => {
                self.daemons.borrow_mut()[at].process.kill();
                monoio::time::sleep(planned.length).await;
                self.restart(at)
            }
            Fault::LostAnswers(answers) => {
                let lost = json!({"lose_answers": answers});
                self.control(&platform, lost).await
            }
            Fault::PlatformWire(harm) => {
                let wire = self.cluster.platform_wires.values().next();
                let wire = wire.and_then(|wire| wire.control.clone());
                self.harm(wire, harm, planned.length).await
            }
            Fault::Publish => self.publish().await,
            Fault::StoreAway => {
                self.control(&platform, json!({"outage_ms": ms})).await?;
                monoio::time::sleep(planned.length).await;
                Ok(())
            }
            Fault::StoreRestored => {
                self.control(&platform, json!({"snapshot": true})).await?;
                monoio::time::sleep(planned.length).await;
                let away_ms = u64::try_from(RESTORE_TIME.as_millis()).unwrap_or(u64::MAX);
                let away = json!({"outage_ms": away_ms});
                self.control(&platform, away).await?;
                monoio::time::sleep(RESTORE_TIME).await;
                self.control(&platform, json!({"restore": true})).await
            }
            Fault::StoreSlow(delay) => {
                self.control(&platform, json!({"slow_ms": delay})).await?;
                monoio::time::sleep(planned.length).await;
                self.control(&platform, json!({"slow_ms": 0})).await
            }
            Fault::TargetWire(at, harm) => {
                let wire = self.cluster.target_wires.get_index(at);
                let wire = wire.and_then(|(_, wire)| wire.control.clone());
                self.harm(wire, harm, planned.length).await
            }
            Fault::Terminate(at) => self.terminate(at).await,
        }
    }

    /// Signals a daemon, unless another fault has ended it: its id may be another process's then.
    fn signal(&self, at: usize, signal: fn(&Process) -> Result<()>) -> Result<()> {
        let process = &mut self.daemons.borrow_mut()[at].process;
        match process.ended() {
            Some(_) => Ok(()),
            None => signal(process),
        }
    }

    /// Whether a daemon still lives the life of this process.
    fn runs(&self, at: usize, life: u32) -> bool {
        let process = &mut self.daemons.borrow_mut()[at].process;
        process.id() == life && process.ended().is_none()
    }

    /// A daemon that was killed or has ended meanwhile starts again.
    fn restart(&self, at: usize) -> Result<()> {
        let mut daemons = self.daemons.borrow_mut();
        if daemons[at].process.ended().is_some() {
            daemons[at].restart()?;
        }
        Ok(())
    }

    async fn terminate(&self, at: usize) -> Result<()> {
        let life = self.daemons.borrow()[at].process.id();
        self.signal(at, Process::terminate)?;
        let until = Instant::now() + END_LIMIT;
        while self.runs(at, life) {
            if Instant::now() > until {
                return Err(std::io::Error::other(format!("daemon {at} does not end")));
            }
            monoio::time::sleep(POLL).await;
        }
        self.restart(at)
    }

    /// Publishes the first document again; a store in trouble may refuse that.
    async fn publish(&self) -> Result<()> {
        let base = self.published.borrow().clone();
        let document = self.cluster.document.clone();
        match self.cluster.publish(Some(base), document).await {
            Ok(identity) => *self.published.borrow_mut() = identity,
            Err(e) => log::info!("not published: {e}"),
        }
        Ok(())
    }

    async fn harm(&self, wire: Option<String>, harm: Harm, length: Duration) -> Result<()> {
        let wire = wire.ok_or_else(|| std::io::Error::other("a wire has no control"))?;
        let (mode, delay) = match harm {
            Harm::BlackHole => ("black-hole", 0),
            Harm::Cut => ("cut", 0),
            Harm::Silent => ("silent", 0),
            Harm::Slow(delay) => ("slow", delay),
        };
        let control = json!({"mode": mode, "delay_ms": delay});
        self.control(&wire, control).await?;
        monoio::time::sleep(length).await;
        self.control(&wire, json!({"mode": "open"})).await
    }

    async fn control(&self, address: &str, control: Value) -> Result<()> {
        let (status, text) = self.cluster.post(address, "/control", &control).await?;
        if status >= 300 {
            return Err(std::io::Error::other(format!("control: {status} {text}")));
        }
        Ok(())
    }

    /// Ends whatever harm is left: daemons run, wires and store work.
    pub(super) async fn calm(&self) -> Result<()> {
        for at in 0..DAEMONS {
            self.restart(at)?;
            self.signal(at, Process::thaw)?;
        }
        let wires = self.cluster.platform_wires.values();
        let wires = wires.chain(self.cluster.target_wires.values());
        for wire in wires.filter_map(|wire| wire.control.clone()) {
            self.control(&wire, json!({"mode": "open"})).await?;
        }
        let platform = self.cluster.platform.address.clone();
        let control = json!({"lose_answers": 0, "outage_ms": 0, "slow_ms": 0});
        self.control(&platform, control).await
    }
}
