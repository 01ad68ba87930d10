//! A whole site of stand-ins: a platform, engines with their store, and plain services.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ::platform::{Member, Role, State};

use crate::engine::{self, Store, store};
use crate::{platform, service};

/// Settings of a site.
#[derive(Clone, Debug)]
pub struct Config {
    /// The region's name.
    pub region: String,
    /// Names of the availability zones; the VMs are spread over them in turn.
    pub zones: Vec<String>,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// The pool that the engines belong to.
    pub engine_pool: String,
    /// The pool that the services belong to.
    pub service_pool: String,
    /// First of the ports, taken in the order platform, engines, services; 0 for free ports.
    pub port: u16,
    /// The weight store.
    pub store: store::Config,
    /// Settings of each engine, but for its name and address.
    pub engine: engine::Config,
    /// Time that a service's call takes.
    pub service_delay: Duration,
    /// Time until a change of the VM list shows.
    pub members_lag: Duration,
    /// Releases of the engines' software, in turn; empty where the VM list tells none.
    pub releases: Vec<String>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            region: "region".to_owned(),
            zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            engines: 9,
            services: 3,
            engine_pool: "engines".to_owned(),
            service_pool: "services".to_owned(),
            port: 0,
            store: store::Config::default(),
            engine: engine::Config::new("engine"),
            service_delay: Duration::from_millis(5),
            members_lag: Duration::ZERO,
            releases: Vec::new(),
        }
    }
}

/// A running site. It stops when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// The platform, whose VM list names the runners.
    pub platform: platform::Server,
    /// The store that the engines share.
    pub store: Store,
    /// The engines, on VMs `engine-1` and so on.
    pub engines: Vec<engine::Server>,
    /// The services, on VMs `service-1` and so on.
    pub services: Vec<service::Server>,
}

impl Site {
    /// Starts the site and lists its runners on its platform.
    ///
    /// # Errors
    ///
    /// Returns the system's error where an address cannot be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let mut ports = Ports(config.port);
        let platform = platform::Server::start(platform::Config {
            listen: ports.next(),
            members_lag: config.members_lag,
        })
        .await?;
        let store = Store::new(config.store);
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let mut members = Vec::new();
        for number in 1..=config.engines {
            let name = format!("engine-{number}");
            let settings = engine::Config {
                name: name.clone(),
                listen: ports.next(),
                seed: config.engine.seed + number as u64,
                ..config.engine.clone()
            };
            let server = engine::Server::start(settings, store.clone()).await?;
            members.push(runner(
                &config,
                number,
                name,
                &config.engine_pool,
                server.address(),
            ));
            engines.push(server);
        }
        for number in 1..=config.services {
            let name = format!("service-{number}");
            let settings = service::Config {
                name: name.clone(),
                listen: ports.next(),
                delay: config.service_delay,
            };
            let server = service::Server::start(settings).await?;
            members.push(runner(
                &config,
                number,
                name,
                &config.service_pool,
                server.address(),
            ));
            services.push(server);
        }
        platform.state().merge_members(members);
        Ok(Self {
            platform,
            store,
            engines,
            services,
        })
    }

    /// Returns each stand-in's kind, name and address.
    pub fn addresses(&self) -> Vec<(&'static str, String, SocketAddr)> {
        let mut all = vec![("platform", "platform".to_owned(), self.platform.address())];
        all.extend(
            self.engines
                .iter()
                .zip(1..)
                .map(|(server, number)| ("engine", format!("engine-{number}"), server.address())),
        );
        all.extend(
            self.services
                .iter()
                .zip(1..)
                .map(|(server, number)| ("service", format!("service-{number}"), server.address())),
        );
        all
    }

    /// Returns the log entries of every engine and service, in the order of their times.
    pub fn entries(&self) -> Vec<crate::log::Entry> {
        let engines = self
            .engines
            .iter()
            .flat_map(|server| server.log().entries());
        let services = self
            .services
            .iter()
            .flat_map(|server| server.log().entries());
        let mut all: Vec<_> = engines.chain(services).collect();
        all.sort_by_key(|entry| entry.at_us);
        all
    }

    /// Stops every stand-in.
    pub fn shutdown(&self) {
        self.platform.shutdown();
        self.engines.iter().for_each(engine::Server::shutdown);
        self.services.iter().for_each(service::Server::shutdown);
    }
}

/// Ports in a row, or free ones.
struct Ports(u16);

impl Ports {
    fn next(&mut self) -> SocketAddr {
        let address = loopback(self.0);
        if self.0 > 0 {
            self.0 += 1;
        }
        address
    }
}

/// Returns the loopback address with `port`; 0 for a free one.
pub fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// Returns the release of the engine with that number.
fn release(config: &Config, number: usize) -> Option<String> {
    let mut releases = config.releases.iter().cycle();
    releases.nth(number).cloned()
}

fn runner(config: &Config, number: usize, name: String, pool: &str, address: SocketAddr) -> Member {
    let zone = &config.zones[(number - 1) % config.zones.len()];
    Member {
        vm: name.into(),
        role: Role::Runner {
            pool: pool.to_owned(),
            address,
            release: (pool == config.engine_pool)
                .then(|| release(config, number))
                .flatten(),
        },
        region: config.region.as_str().into(),
        zone: zone.as_str().into(),
        state: State::Live,
    }
}
