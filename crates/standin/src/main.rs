//! Runs stand-ins as a process of their own and prints `KIND NAME ADDRESS` for each, a line each.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use ::platform::{Member, Role, State};
use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standin::engine::{self, Store, store};
use standin::proxy::Fabric;
use standin::site::{self, Site};
use standin::{platform, service};

type Outcome = Result<(), Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("all", matches)) => all(matches).await,
        Some(("platform", matches)) => run_platform(matches).await,
        Some(("engine", matches)) => run_engine(matches).await,
        Some(("service", matches)) => run_service(matches).await,
        Some(("proxy", matches)) => run_proxy(matches).await,
        _ => unreachable!("clap demands a subcommand"),
    }
}

fn command() -> Command {
    let listen = || {
        option(
            "listen",
            "ADDRESS",
            "Where to listen",
            value_parser!(SocketAddr),
        )
        .default_value("127.0.0.1:0")
    };
    let name = |default| {
        option("name", "NAME", "The upstream's id", ValueParser::string()).default_value(default)
    };
    let seed =
        || option("seed", "N", "Seed of what is random", value_parser!(u64)).default_value("1");
    Command::new("hyssop-standin")
        .about("Runs stand-ins for the outside systems on the loopback interface")
        .subcommand_required(true)
        .subcommand(engine_options(
            Command::new("all")
                .about("Runs a whole site: a platform, engines with their store, and services")
                .arg(
                    option(
                        "entry",
                        "VM/ZONE/CALLERS/PEERS",
                        "An entry VM of the list, with its addresses for callers and peers",
                        ValueParser::new(Entry::parse),
                    )
                    .action(ArgAction::Append),
                )
                .arg(
                    option("region", "NAME", "The region", ValueParser::string())
                        .default_value("region"),
                )
                .arg(
                    option(
                        "zone",
                        "NAME",
                        "An availability zone",
                        ValueParser::string(),
                    )
                    .action(ArgAction::Append)
                    .default_values(["a", "b", "c"]),
                )
                .arg(
                    option("engines", "N", "Number of engines", value_parser!(usize))
                        .default_value("9"),
                )
                .arg(
                    option("services", "N", "Number of services", value_parser!(usize))
                        .default_value("3"),
                )
                .arg(
                    option(
                        "engine-pool",
                        "NAME",
                        "Pool of the engines",
                        ValueParser::string(),
                    )
                    .default_value("engines"),
                )
                .arg(
                    option(
                        "service-pool",
                        "NAME",
                        "Pool of the services",
                        ValueParser::string(),
                    )
                    .default_value("services"),
                )
                .arg(
                    option(
                        "port",
                        "PORT",
                        "First port; 0 for free ones",
                        value_parser!(u16),
                    )
                    .default_value("0"),
                )
                .arg(seed()),
        ))
        .subcommand(
            Command::new("platform")
                .about("Runs a platform")
                .arg(listen())
                .arg(
                    duration("members-lag", "Time until a change of the VM list shows")
                        .default_value("0s"),
                ),
        )
        .subcommand(engine_options(
            Command::new("engine")
                .about("Runs an engine with a store of its own")
                .arg(listen())
                .arg(name("engine-1"))
                .arg(seed()),
        ))
        .subcommand(
            Command::new("service")
                .about("Runs a plain service")
                .arg(listen())
                .arg(name("service-1"))
                .arg(duration("delay", "Time that a call takes").default_value("5ms")),
        )
        .subcommand(
            Command::new("proxy")
                .about("Runs a fault-injecting proxy, whose links are opened by admin requests")
                .arg(listen())
                .arg(seed()),
        )
}

fn engine_options(command: Command) -> Command {
    command
        .arg(option("base", "NAME", "The base model", ValueParser::string()).default_value("base"))
        .arg(
            option(
                "slots",
                "N",
                "Adapters that an engine holds",
                value_parser!(usize),
            )
            .default_value("8"),
        )
        .arg(
            option(
                "max-batch",
                "N",
                "Sequences in a step",
                value_parser!(usize),
            )
            .default_value("16"),
        )
        .arg(duration("step", "Time of a step").default_value("5ms"))
        .arg(duration("load", "Time of a load at full speed").default_value("250ms"))
        .arg(
            option(
                "store-rate",
                "N",
                "Loads a second; 0 for no limit",
                value_parser!(f64),
            )
            .default_value("2.4"),
        )
        .arg(duration("cold-start", "Time of a cold start").default_value("2s"))
        .arg(
            Arg::new("ignore-fence")
                .long("ignore-fence")
                .help("Takes orders with old fencing numbers")
                .action(ArgAction::SetTrue),
        )
}

fn option(
    name: &'static str,
    value: &'static str,
    help: &'static str,
    parser: impl Into<ValueParser>,
) -> Arg {
    let parser: ValueParser = parser.into();
    Arg::new(name)
        .long(name)
        .value_name(value)
        .help(help)
        .value_parser(parser)
}

fn duration(name: &'static str, help: &'static str) -> Arg {
    option(
        name,
        "TIME",
        help,
        ValueParser::new(humantime::parse_duration),
    )
}

/// Returns an argument that has a default.
fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the argument has a default")
}

fn engine_config(matches: &ArgMatches) -> engine::Config {
    engine::Config {
        base: get(matches, "base"),
        slots: get(matches, "slots"),
        max_batch: get(matches, "max-batch"),
        step: get(matches, "step"),
        cold_start: get(matches, "cold-start"),
        check_fence: !matches.get_flag("ignore-fence"),
        seed: get(matches, "seed"),
        ..engine::Config::new("engine")
    }
}

fn store_config(matches: &ArgMatches) -> store::Config {
    store::Config {
        load: get::<Duration>(matches, "load"),
        rate: get(matches, "store-rate"),
        ..store::Config::default()
    }
}

async fn all(matches: &ArgMatches) -> Outcome {
    let zones = matches.get_many::<String>("zone").unwrap_or_default();
    let site = Site::start(site::Config {
        region: get(matches, "region"),
        zones: zones.cloned().collect(),
        engines: get(matches, "engines"),
        services: get(matches, "services"),
        engine_pool: get(matches, "engine-pool"),
        service_pool: get(matches, "service-pool"),
        port: get(matches, "port"),
        store: store_config(matches),
        engine: engine_config(matches),
        ..site::Config::default()
    })
    .await?;
    let region: String = get(matches, "region");
    let entries = matches.get_many::<Entry>("entry").unwrap_or_default();
    let entries = entries.cloned().map(|entry| entry.into_member(&region));
    site.platform.state().merge_members(entries);
    for (kind, name, address) in site.addresses() {
        println!("{kind} {name} {address}");
    }
    stopped().await
}

/// An entry VM of the list.
#[derive(Clone, Debug)]
struct Entry {
    vm: String,
    zone: String,
    callers: SocketAddr,
    peers: SocketAddr,
}

impl Entry {
    /// Reads the form `VM/ZONE/CALLERS/PEERS`.
    fn parse(text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = text.split('/').collect();
        let [vm, zone, callers, peers] = parts[..] else {
            return Err("write VM/ZONE/IP:PORT/IP:PORT".to_owned());
        };
        let address = |text: &str| text.parse().map_err(|_| format!("{text} is not IP:PORT"));
        Ok(Self {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            callers: address(callers)?,
            peers: address(peers)?,
        })
    }

    fn into_member(self, region: &str) -> Member {
        Member {
            vm: self.vm.into(),
            role: Role::Entry {
                callers: self.callers,
                peers: self.peers,
            },
            region: region.into(),
            zone: self.zone.into(),
            state: State::Live,
        }
    }
}

async fn run_platform(matches: &ArgMatches) -> Outcome {
    let server = platform::Server::start(platform::Config {
        listen: get(matches, "listen"),
        members_lag: get(matches, "members-lag"),
    })
    .await?;
    println!("platform platform {}", server.address());
    stopped().await
}

async fn run_engine(matches: &ArgMatches) -> Outcome {
    let name: String = get(matches, "name");
    let config = engine::Config {
        name: name.clone(),
        listen: get(matches, "listen"),
        ..engine_config(matches)
    };
    let server = engine::Server::start(config, Store::new(store_config(matches))).await?;
    println!("engine {name} {}", server.address());
    stopped().await
}

async fn run_service(matches: &ArgMatches) -> Outcome {
    let name: String = get(matches, "name");
    let server = service::Server::start(service::Config {
        name: name.clone(),
        listen: get(matches, "listen"),
        delay: get(matches, "delay"),
    })
    .await?;
    println!("service {name} {}", server.address());
    stopped().await
}

async fn run_proxy(matches: &ArgMatches) -> Outcome {
    let listen = get(matches, "listen");
    let fabric = Fabric::start(listen, get(matches, "seed")).await?;
    println!("proxy admin {}", fabric.address());
    stopped().await
}

/// Waits for the order to stop.
async fn stopped() -> Outcome {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        interrupted = tokio::signal::ctrl_c() => interrupted?,
        _ = terminate.recv() => {}
    }
    Ok(())
}
