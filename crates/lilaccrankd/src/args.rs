//! Command line arguments of the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::json_logger;
use crate::ports::Ports;
use crate::serve;
use crate::settings::{Result, Settings};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Scheduler of requests for unlike engines.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Where operators and metrics are served
    #[arg(long, env = "LILACCRANKD_ADMIN")]
    admin: Option<SocketAddr>,

    /// Where callers are served
    #[arg(long, env = "LILACCRANKD_CALLERS")]
    callers: Option<SocketAddr>,

    /// Check the settings and end
    #[arg(long)]
    check: bool,

    /// Name of the data centre
    #[arg(long, env = "LILACCRANKD_DATA_CENTRE")]
    data_centre: Option<String>,

    /// Where heartbeats are exchanged (UDP)
    #[arg(long, env = "LILACCRANKD_GOSSIP")]
    gossip: Option<SocketAddr>,

    /// error, warn, info, debug or trace
    #[arg(long, env = "LILACCRANKD_LOG_LEVEL")]
    log_level: Option<log::LevelFilter>,

    /// Where other daemons are served
    #[arg(long, env = "LILACCRANKD_PEER")]
    peer: Option<SocketAddr>,

    /// The platform's store
    #[arg(long, env = "LILACCRANKD_PLATFORM")]
    platform: Option<SocketAddr>,

    /// Print the settings in force, defaults included, and end
    #[arg(long)]
    print_settings: bool,

    /// File of settings
    #[arg(long, env = "LILACCRANKD_SETTINGS")]
    settings: Option<PathBuf>,

    /// Name of the vm
    #[arg(long, env = "LILACCRANKD_VM")]
    vm: Option<String>,
}

/// Parses the arguments and runs the daemon with these adapters.
pub fn run(mut ports: Ports) -> ExitCode {
    let args = Args::parse();
    if args.settings.is_some() {
        ports.settings_file.clone_from(&args.settings);
    }
    let settings = match args.settings(&ports) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("lilaccrankd: {e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.print_settings {
        println!(
            "{}",
            serde_json::to_string_pretty(&settings).unwrap_or_default()
        );
        return ExitCode::SUCCESS;
    }
    if args.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    json_logger::init(settings.log_level, &settings.vm);
    let exit_code = match serve::run(settings, ports) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("the daemon failed: {e}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    exit_code
}

impl Args {
    /// Reads the settings file and applies flags and environment variables on top of it.
    fn settings(&self, ports: &Ports) -> Result<Settings> {
        let mut cfg = match &ports.settings_file {
            Some(path) => (ports.settings)(path)?,
            None => Settings::default(),
        };
        overlay(&mut cfg.admin, self.admin.as_ref());
        overlay(&mut cfg.callers, self.callers.as_ref());
        overlay(&mut cfg.data_centre, self.data_centre.as_ref());
        overlay(&mut cfg.gossip, self.gossip.as_ref());
        overlay(&mut cfg.log_level, self.log_level.as_ref());
        overlay(&mut cfg.peer, self.peer.as_ref());
        overlay(&mut cfg.platform, self.platform.as_ref());
        overlay(&mut cfg.vm, self.vm.as_ref());
        cfg.check()?;
        Ok(cfg)
    }
}

fn overlay<T: Clone>(setting: &mut T, value: Option<&T>) {
    if let Some(value) = value {
        setting.clone_from(value);
    }
}
