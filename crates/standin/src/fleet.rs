//! The surroundings of a fleet of nodes under test: a site of stand-ins, and a link of its own
//! between each node and each thing that it talks to.
//!
//! Each node reads a platform stand-in of its own, whose list of VMs names the addresses of that
//! node's links. Thus partitions, cuts and latencies apply between any two places, and a platform
//! can be stale or down for one node alone. Places are named by VM id; the link from `vm-1` to
//! `vm-2` is called `vm-1/vm-2`. Callers connect to nodes directly.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use ::platform::{Member, Role, State};
use bytes::Bytes;
use tokio::net::TcpListener;
use wire::Revision;

use crate::platform;
use crate::platform::Mode;
use crate::proxy::{Fabric, Fault, Link};
use crate::site::{self, Site, loopback};

/// Settings of a fleet's surroundings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of nodes.
    pub nodes: usize,
    /// The stand-ins.
    pub site: site::Config,
    /// Whether nodes reach upstreams over links; else directly, so that an upstream that is down
    /// refuses their connections. A link takes them and closes them.
    pub link_upstreams: bool,
    /// The fault of each link outside partitions, such as its latency.
    pub link: Fault,
    /// Seed of the links.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            nodes: 7,
            site: site::Config::default(),
            link_upstreams: true,
            link: Fault::default(),
            seed: 1,
        }
    }
}

/// Where a node is to listen and to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The node's VM id: `vm-1` and so on.
    pub vm: String,
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for other nodes.
    pub peers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    /// Where it reads the platform.
    pub platform: SocketAddr,
}

/// The surroundings. They stop when dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-ins; nodes do not read its platform but their own.
    pub site: Site,
    /// The links.
    pub fabric: Fabric,
    /// The nodes' places, in the order of their numbers.
    pub places: Vec<Place>,
    platforms: Vec<platform::Server>,
    revision: Revision,
}

impl Fleet {
    /// Starts the surroundings; the nodes are the caller's to start.
    ///
    /// # Errors
    ///
    /// Returns the system's error where an address cannot be bound.
    pub async fn start(config: Config) -> io::Result<Self> {
        let site = Site::start(config.site.clone()).await?;
        let fabric = Fabric::start(loopback(0), config.seed).await?;
        let mut platforms = Vec::new();
        for _ in 0..config.nodes {
            platforms.push(platform::Server::start(platform::Config::default()).await?);
        }
        let places = places(&config, &platforms).await?;
        let fleet = Self {
            site,
            fabric,
            places,
            platforms,
            revision: 0,
        };
        for index in 0..config.nodes {
            let members = fleet.members(index, &config).await?;
            fleet.platforms[index].state().set_members(members);
        }
        Ok(fleet)
    }

    /// Publishes a value on every node's platform and returns its revision.
    pub fn publish(&mut self, key: &str, body: impl Into<Bytes>) -> Revision {
        self.revision += 1;
        let body = body.into();
        for platform in &self.platforms {
            let state = platform.state();
            state.publish(key, body.clone(), Some(self.revision));
        }
        self.revision
    }

    /// Sets the mode of one node's platform; an index beyond the nodes changes nothing.
    pub fn set_mode(&self, index: usize, mode: Mode) {
        if let Some(platform) = self.platforms.get(index) {
            platform.state().set_mode(mode);
        }
    }

    /// Marks a VM, node or runner, on every node's list.
    pub fn mark(&self, vm: &str, state: State) {
        for platform in &self.platforms {
            let members = platform.state().members().members;
            let named = members.into_iter().filter(|member| &*member.vm == vm);
            let marked = named.map(|member| Member { state, ..member });
            platform.state().merge_members(marked);
        }
    }

    /// Lists VMs, in place of those of the same id, on every node's list.
    pub fn list(&self, members: &[Member]) {
        for platform in &self.platforms {
            platform.state().merge_members(members.iter().cloned());
        }
    }

    /// Returns the calls counted by one node's platform.
    ///
    /// # Panics
    ///
    /// Panics where `index` is beyond the nodes.
    pub fn calls(&self, index: usize) -> platform::Calls {
        self.platforms[index].state().calls()
    }

    /// Separates the named groups of VMs; VMs in no group stay with everyone.
    pub fn partition(&self, groups: impl IntoIterator<Item = Vec<String>>) {
        self.fabric.partition(groups);
    }

    /// Lists the VMs as the node at `index` reaches them, opening its links.
    async fn members(&self, index: usize, config: &Config) -> io::Result<Vec<Member>> {
        let from = &self.places[index];
        let fault = config.link;
        let mut members = Vec::new();
        for place in &self.places {
            let peers = match place.vm == from.vm {
                true => place.peers,
                false => self.link(&from.vm, &place.vm, place.peers, fault).await?,
            };
            members.push(node(place, peers));
        }
        for mut member in self.site.platform.state().members().members {
            if let Role::Runner { address, .. } = &mut member.role
                && config.link_upstreams
            {
                *address = self.link(&from.vm, &member.vm, *address, fault).await?;
            }
            members.push(member);
        }
        Ok(members)
    }

    async fn link(
        &self,
        from: &str,
        to: &str,
        target: SocketAddr,
        fault: Fault,
    ) -> io::Result<SocketAddr> {
        let link = Link {
            name: format!("{from}/{to}"),
            from: from.to_owned(),
            to: to.to_owned(),
            listen: loopback(0),
            target,
            fault,
        };
        self.fabric.open(link).await
    }
}

fn node(place: &Place, peers: SocketAddr) -> Member {
    Member {
        vm: place.vm.as_str().into(),
        role: Role::Entry {
            callers: place.callers,
            peers,
        },
        region: place.region.as_str().into(),
        zone: place.zone.as_str().into(),
        state: State::Live,
    }
}

async fn places(config: &Config, platforms: &[platform::Server]) -> io::Result<Vec<Place>> {
    let ports = Ports;
    let mut places = Vec::new();
    for (index, platform) in platforms.iter().enumerate() {
        let zones = &config.site.zones;
        places.push(Place {
            vm: format!("vm-{}", index + 1),
            region: config.site.region.clone(),
            zone: zones[index % zones.len()].clone(),
            callers: ports.next().await?,
            peers: ports.next().await?,
            operators: ports.next().await?,
            platform: platform.address(),
        });
    }
    Ok(places)
}

/// Free ports below those that the system gives to connections and to port 0, so that none is
/// taken while its node is down. No two fleets of a process get the same.
struct Ports;

/// Ports handed out by this process.
static PORTS_GIVEN: AtomicU32 = AtomicU32::new(0);

impl Ports {
    const FIRST: u32 = 10_000;
    const COUNT: u32 = 20_000;

    /// Ports between those of processes with successive ids.
    const APART: u32 = 64;

    async fn next(&self) -> io::Result<SocketAddr> {
        let mut last = io::ErrorKind::AddrInUse.into();
        for _ in 0..Self::COUNT {
            let given = PORTS_GIVEN.fetch_add(1, Ordering::Relaxed);
            let offset = std::process::id()
                .wrapping_mul(Self::APART)
                .wrapping_add(given);
            let address = loopback((Self::FIRST + offset % Self::COUNT) as u16);
            match TcpListener::bind(address).await {
                Ok(_) => return Ok(address),
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}
