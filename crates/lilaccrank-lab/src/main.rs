//! The lab's command line: stand-ins for what surrounds lilaccrank, one process each, and
//! clusters made of them.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use lilaccrank_http::runtime;
use lilaccrank_lab::{
    bench, demo, engine, launch, overhead, platform, scale, service, soak, stand_in, up, wire,
};

/// Stand-ins, load and experiments for lilaccrank; not shipped.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Policies of dispatch against the same load and faults.
    Bench(bench::Args),
    /// An hourly burst through a whole cluster, judged by callers and engines.
    Demo(demo::Args),
    /// A model engine with continuous batching.
    Engine(engine::Args),
    /// A daemon that ends with the process that started it.
    #[command(hide = true)]
    Launch(launch::Args),
    /// What a daemon adds to a request.
    Overhead(overhead::Args),
    /// The platform: object store and list of vms.
    Platform(platform::Args),
    /// The cost of control at several sizes.
    Scale(scale::Args),
    /// A plain service.
    Service(service::Args),
    /// Random faults on a cluster under load, with all promises checked.
    Soak(soak::Args),
    /// A cluster left running until SIGINT.
    Up(up::Args),
    /// A stretch of network that can be cut, slowed or silenced.
    Wire(wire::Args),
}

fn run(command: Command) -> stand_in::Result<()> {
    match command {
        Command::Bench(args) => runtime::block_on(bench::run(args))?,
        Command::Demo(args) => runtime::block_on(demo::run(args))?,
        Command::Engine(args) => engine::run(args),
        Command::Launch(args) => launch::run(&args),
        Command::Overhead(args) => runtime::block_on(overhead::run(args))?,
        Command::Platform(args) => platform::run(args),
        Command::Scale(args) => runtime::block_on(scale::run(args))?,
        Command::Service(args) => service::run(args),
        Command::Soak(args) => runtime::block_on(soak::run(args))?,
        Command::Up(args) => runtime::block_on(up::run(args))?,
        Command::Wire(args) => wire::run(args),
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lilaccrank-lab: {e}");
            ExitCode::FAILURE
        }
    }
}
