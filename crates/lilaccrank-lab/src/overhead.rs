//! `overhead`: what a daemon adds between a caller and an idle engine or plain service, and what
//! it holds for each request.

mod memory;
mod plain;
mod tokens;

use serde::Serialize;

use crate::cluster::Cluster;
use crate::layout::{EngineLayout, Layout, SERVICES};
use crate::stand_in::Result;

/// Slots of the plain service, so that its pool never makes a call wait.
const SERVICE_SLOTS: u32 = 10_000;

/// Settings of the experiment.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Small plain calls, as many direct as through the daemon.
    #[arg(long, default_value_t = 20_000)]
    calls: usize,
    /// Print one JSON object on one line.
    #[arg(long)]
    json: bool,
    /// Requests held at once while the memory is read.
    #[arg(long, default_value_t = 2_000)]
    requests: usize,
    /// Streams, as many direct as through the daemon, one after another.
    #[arg(long, default_value_t = 200)]
    streams: usize,
}

#[derive(Serialize)]
struct Overhead {
    memory: memory::Memory,
    plain: plain::Plain,
    tokens: tokens::Tokens,
}

/// Measures one daemon.
///
/// # Errors
///
/// If its cluster can't be started or a call is not answered.
pub async fn run(args: Args) -> Result<()> {
    let layout = Layout::one_data_centre(1, vec![EngineLayout::default()]);
    let cluster = Cluster::start_with(layout, |document| {
        let services = document.pools.iter_mut().find(|p| p.id == SERVICES);
        for target in services.into_iter().flat_map(|pool| &mut pool.targets) {
            target.slots = SERVICE_SLOTS;
        }
    });
    let cluster = cluster.await?;
    let tokens = tokens::measure(&cluster, args.streams).await?;
    let plain = plain::measure(&cluster, args.calls).await?;
    drop(cluster);
    let memory = memory::measure(args.requests).await?;
    let overhead = Overhead {
        memory,
        plain,
        tokens,
    };
    if args.json {
        println!("{}", serde_json::to_string(&overhead)?);
    } else {
        println!("{}", serde_json::to_string_pretty(&overhead)?);
    }
    Ok(())
}
