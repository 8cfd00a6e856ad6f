//! A cluster of processes on loopback: platform, targets and daemons.

mod calls;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lilaccrank::configuration::adoption::Adoption;
use lilaccrank::configuration::manifest::Identity;
use lilaccrank::configuration::publish::{self, Publication};
use lilaccrank::document::{Document, Fencing, Target};
use lilaccrank_http::client::Client;
use lilaccrank_http::monoio_clock::MonoioClock;
use lilaccrank_http::store_client::StoreClient;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::layout::{DataCentreLayout, EngineLayout, Layout, MODEL};
use crate::ports;
use crate::process::Process;
use crate::stand_in::Result;

/// Time to publish.
const PUBLISH_LIMIT: Duration = Duration::from_secs(10);
/// Time for all daemons to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// One daemon of the cluster.
pub struct Daemon {
    /// Operators' address.
    pub admin: SocketAddr,
    /// Callers' address.
    pub callers: SocketAddr,
    /// Where it runs.
    pub data_centre: String,
    /// File of its log, over all its lives.
    pub log: PathBuf,
    /// Its process.
    pub process: Process,
    /// File of its settings.
    settings: PathBuf,
    /// Its vm.
    pub vm: String,
}

impl Daemon {
    /// Starts it again after its end, as a replaced vm with the same addresses.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn restart(&mut self) -> Result<()> {
        self.process = Process::daemon(&self.settings, &self.log, self.callers.to_string())?;
        Ok(())
    }
}

/// A running cluster; dropping it kills its processes.
pub struct Cluster {
    /// For requests of the lab itself.
    pub client: Client,
    /// Daemons.
    pub daemons: Vec<Daemon>,
    /// The configuration that was published first.
    pub document: Document,
    /// Engines, by target.
    pub engines: IndexMap<String, Process>,
    /// Identity of the configuration that was published first.
    pub first: Identity,
    folder: TempDir,
    /// What it was built from.
    pub layout: Layout,
    /// The platform.
    pub platform: Process,
    /// Wires to the platform, by data centre; none unless the layout asks for them.
    pub platform_wires: IndexMap<String, Process>,
    /// Plain services, by target.
    pub services: IndexMap<String, Process>,
    /// Wires to targets, by target; none unless the layout asks for them.
    pub target_wires: IndexMap<String, Process>,
}

struct Addresses {
    admin: SocketAddr,
    callers: SocketAddr,
    gossip: SocketAddr,
    peer: SocketAddr,
    relay: SocketAddr,
    vm: String,
}

impl Addresses {
    /// As other data centres know it.
    fn other(&self) -> Value {
        json!({"callers": self.callers, "peer": self.peer})
    }
}

impl Cluster {
    /// Starts everything, publishes the configuration and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// If a process can't be started or does not get ready.
    pub async fn start(layout: Layout) -> Result<Self> {
        Self::start_with(layout, |_| {}).await
    }

    /// Like [`start`](Self::start), with a configuration that `edit` has changed.
    ///
    /// # Errors
    ///
    /// If a process can't be started or does not get ready.
    pub async fn start_with(layout: Layout, edit: impl FnOnce(&mut Document)) -> Result<Self> {
        let folder = TempDir::new()?;
        let platform = Process::stand_in(&["platform".to_owned()])?;
        let mut engines = IndexMap::new();
        let mut engine_targets = Vec::new();
        let mut services = IndexMap::new();
        let mut service_targets = Vec::new();
        let mut platform_wires = IndexMap::new();
        let mut target_wires = IndexMap::new();
        let wires = layout.wires;
        for data_centre in &layout.data_centres {
            if wires.platform {
                let wire = wire_to(&platform.address)?;
                platform_wires.insert(data_centre.name.clone(), wire);
            }
            for (i, engine) in data_centre.engines.iter().enumerate() {
                let process = Process::stand_in(&engine_args(engine, i))?;
                let id = format!("{}-engine-{i}", data_centre.name);
                let mut target = target(&id, data_centre, &process, engine.slots);
                target.fencing = engine.fencing;
                if wires.targets {
                    let wire = wire_to(&process.address)?;
                    target.address = wire.address.clone();
                    target_wires.insert(id.clone(), wire);
                }
                engine_targets.push(target);
                engines.insert(id, process);
            }
            for i in 0..data_centre.services {
                let process = Process::stand_in(&["service".to_owned()])?;
                let id = format!("{}-service-{i}", data_centre.name);
                let mut target = target(&id, data_centre, &process, 16);
                if wires.targets {
                    let wire = wire_to(&process.address)?;
                    target.address = wire.address.clone();
                    target_wires.insert(id.clone(), wire);
                }
                service_targets.push(target);
                services.insert(id, process);
            }
        }
        let mut document = layout.document(engine_targets, service_targets);
        edit(&mut document);
        let first = publish_at(&platform.address, None, document.clone()).await?;
        let mut cluster = Self {
            client: Client::default(),
            daemons: Vec::new(),
            document,
            engines,
            first,
            folder,
            layout,
            platform,
            platform_wires,
            services,
            target_wires,
        };
        cluster.start_daemons()?;
        cluster.ready().await?;
        Ok(cluster)
    }

    /// Publishes a document over the configuration `base`.
    ///
    /// # Errors
    ///
    /// If it is not accepted.
    pub async fn publish(&self, base: Option<Identity>, document: Document) -> Result<Identity> {
        publish_at(&self.platform.address, base, document).await
    }

    fn start_daemons(&mut self) -> Result<()> {
        let mut addresses: IndexMap<String, Vec<Addresses>> = IndexMap::new();
        for data_centre in &self.layout.data_centres {
            let list = (0..data_centre.daemons).map(|i| Addresses {
                admin: ports::free(),
                callers: ports::free(),
                gossip: ports::free(),
                peer: ports::free(),
                relay: ports::free(),
                vm: format!("{}-{i}", data_centre.name),
            });
            addresses.insert(data_centre.name.clone(), list.collect());
        }
        for (data_centre, list) in &addresses {
            for own in list {
                let cfg = self.settings(data_centre, own, &addresses);
                let settings = self.folder.path().join(format!("{}.json", own.vm));
                std::fs::write(&settings, cfg.to_string())?;
                let log = self.folder.path().join(format!("{}.log", own.vm));
                let process = Process::daemon(&settings, &log, own.callers.to_string())?;
                self.daemons.push(Daemon {
                    admin: own.admin,
                    callers: own.callers,
                    data_centre: data_centre.clone(),
                    log,
                    process,
                    settings,
                    vm: own.vm.clone(),
                });
            }
        }
        Ok(())
    }

    /// Where the daemons of a data centre find the platform.
    fn platform_address(&self, data_centre: &str) -> &str {
        let wire = self.platform_wires.get(data_centre);
        &wire.unwrap_or(&self.platform).address
    }

    fn settings(
        &self,
        data_centre: &str,
        own: &Addresses,
        all: &IndexMap<String, Vec<Addresses>>,
    ) -> Value {
        let seeds: Vec<_> = all[data_centre].iter().map(|a| a.gossip).collect();
        let others: IndexMap<_, Vec<_>> = all
            .iter()
            .filter(|(name, _)| *name != data_centre)
            .map(|(name, list)| (name, list.iter().map(Addresses::other).collect()))
            .collect();
        let mut cfg = json!({
            "admin": own.admin,
            "callers": own.callers,
            "data_centre": data_centre,
            "gossip": own.gossip,
            "other_data_centres": others,
            "peer": own.peer,
            "platform": self.platform_address(data_centre),
            "relay": own.relay,
            "seeds": seeds,
            "vm": own.vm,
        });
        for (name, value) in &self.layout.settings {
            cfg[name] = value.clone();
        }
        cfg
    }

    /// Starts a daemon that has ended again, as a replaced vm with the same addresses.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn restart(&mut self, at: usize) -> Result<()> {
        self.daemons[at].restart()
    }

    /// The log of a daemon so far.
    #[must_use]
    pub fn log(&self, vm: &str) -> String {
        let path = self.folder.path().join(format!("{vm}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// If one is not ready in time.
    pub async fn ready(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            let address = daemon.admin.to_string();
            while !matches!(self.get(&address, "/readyz").await, Ok((200, _))) {
                if Instant::now() > until {
                    let why = format!("{} is not ready:\n{}", daemon.vm, self.log(&daemon.vm));
                    return Err(std::io::Error::other(why));
                }
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

async fn publish_at(
    platform: &str,
    base: Option<Identity>,
    document: Document,
) -> Result<Identity> {
    let store = StoreClient::new(platform.to_owned());
    let adoption = Adoption::new();
    let publication = Publication {
        author: "lab".to_owned(),
        base,
        document,
        id: format!("{:016x}", rand::random::<u64>()),
    };
    let published = publish::publish(&store, &MonoioClock, &adoption, &publication, PUBLISH_LIMIT);
    published.await.map_err(std::io::Error::other)
}

fn wire_to(address: &str) -> Result<Process> {
    Process::stand_in(&["wire".to_owned(), "--to".to_owned(), address.to_owned()])
}

fn target(id: &str, data_centre: &DataCentreLayout, process: &Process, slots: u32) -> Target {
    Target {
        address: process.address.clone(),
        data_centre: data_centre.name.clone(),
        id: id.to_owned(),
        slots,
        ..Target::default()
    }
}

fn fencing(fencing: Fencing) -> &'static str {
    match fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    }
}

fn engine_args(engine: &EngineLayout, seed: usize) -> Vec<String> {
    let mut args = vec!["engine".to_owned()];
    let mut add = |name: &str, value: String| args.extend([format!("--{name}"), value]);
    add("cache-blocks", engine.cache_blocks.to_string());
    add("fencing", fencing(engine.fencing).to_owned());
    add("model", MODEL.to_owned());
    add(
        "prefill-tokens-per-s",
        engine.prefill_tokens_per_s.to_string(),
    );
    add("report-lag-ms", engine.report_lag_ms.to_string());
    add("seed", seed.to_string());
    add("slots", engine.slots.to_string());
    add("speed", engine.speed.to_string());
    add("step-ms", engine.step_ms.to_string());
    args
}
