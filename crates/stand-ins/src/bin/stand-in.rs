//! Runs one fake as a process of its own, until SIGTERM. `POST /faults` sets its faults.

use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stand_ins::engine::{Engine, EngineSettings};
use stand_ins::instance_list::InstanceList;
use stand_ins::log::Log;
use stand_ins::service::Service;
use stand_ins::weight_store::WeightStore;
use tokio::signal::unix::{SignalKind, signal};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    match command().get_matches().subcommand() {
        Some((name, matches)) => execute(name, matches).await,
        None => unreachable!("a subcommand is required"),
    }
}

fn command() -> Command {
    let address = Arg::new("address")
        .long("address")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on; port 0 lets the system choose");
    let fake = |name, about| Command::new(name).about(about).arg(address.clone());
    Command::new("stand-in")
        .about("Runs one fake of the platform or of an endpoint")
        .subcommand_required(true)
        .subcommand(fake("log", "The append-only log"))
        .subcommand(fake("instance-list", "The list of instances"))
        .subcommand(fake("engine", "A model engine").args(engine_args()))
        .subcommand(fake("service", "A plain service"))
        .subcommand(fake("weight-store", "The store of model weights"))
}

fn engine_args() -> [Arg; 3] {
    [
        Arg::new("version").long("version").default_value("v1").help("Version that is loaded"),
        Arg::new("ranks")
            .long("ranks")
            .default_value("0")
            .value_parser(value_parser!(usize))
            .help("Ranks that run in lock-step; 0 is none"),
        Arg::new("ignore-fencing")
            .long("ignore-fencing")
            .action(ArgAction::SetTrue)
            .help("Obey orders with an old fencing number"),
    ]
}

/// Starts the fake and serves until SIGTERM.
async fn execute(name: &str, matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    // Installed before the address is printed, so that a reader of the address can stop us.
    let mut terminate = signal(SignalKind::terminate())?;
    let address = *matches.get_one("address").expect("has a default");
    macro_rules! serve {
        ($fake:expr) => {{
            let fake = $fake;
            announce(fake.address())?;
            terminate.recv().await;
            fake.stop().await;
        }};
    }
    match name {
        "log" => serve!(Log::start_on(address)?),
        "instance-list" => serve!(InstanceList::start_on(address)?),
        "engine" => serve!(Engine::start_on(address, engine_settings(matches))?),
        "service" => serve!(Service::start_on(address)?),
        "weight-store" => serve!(WeightStore::start_on(address)?),
        _ => unreachable!("clap knows the subcommands"),
    }
    Ok(())
}

fn engine_settings(matches: &ArgMatches) -> EngineSettings {
    EngineSettings {
        version: matches.get_one::<String>("version").expect("has a default").clone(),
        ranks: *matches.get_one("ranks").expect("has a default"),
        checks_fencing_numbers: !matches.get_flag("ignore-fencing"),
        ..EngineSettings::default()
    }
}

fn announce(address: SocketAddr) -> std::io::Result<()> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "listening address={address}")?;
    output.flush()
}
