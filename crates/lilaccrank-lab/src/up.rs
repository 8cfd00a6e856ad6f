//! `up`: a cluster left running until SIGINT; its first line tells an outsider everything.

use serde_json::json;

use crate::cluster::Cluster;
use crate::layout::{Layout, MODEL};
use crate::stand_in::Result;

/// Settings of `up`.
#[derive(clap::Args, Clone, Debug)]
pub struct Args {
    /// Daemons in each of the three data centres.
    #[arg(long, default_value_t = 3)]
    daemons: usize,
}

/// Starts the cluster and waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// If it can't be started.
pub async fn run(args: Args) -> Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGINT,
        signal_hook::consts::SIGTERM,
    ])?;
    let cluster = Cluster::start(Layout::three_data_centres(args.daemons)).await?;
    println!("{}", describe(&cluster));
    // The cluster's processes need nothing from this one, so the whole thread may sleep.
    signals.forever().next();
    drop(cluster);
    Ok(())
}

fn describe(cluster: &Cluster) -> serde_json::Value {
    let url = |address: &dyn std::fmt::Display| format!("http://{address}");
    let customers: serde_json::Map<_, _> = cluster
        .layout
        .customers
        .iter()
        .map(|customer| (customer.clone(), Layout::customer_key(customer).into()))
        .collect();
    json!({
        "admin": cluster.daemons.iter().map(|d| url(&d.admin)).collect::<Vec<_>>(),
        "callers": cluster.daemons.iter().map(|d| url(&d.callers)).collect::<Vec<_>>(),
        "engines": cluster.engines.values().map(|p| url(&p.address)).collect::<Vec<_>>(),
        "keys": {"customers": customers, "operator": Layout::operator_key()},
        "models": [MODEL],
        "platform": url(&cluster.platform.address),
        "services": cluster.services.values().map(|p| url(&p.address)).collect::<Vec<_>>(),
    })
}
