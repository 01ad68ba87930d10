//! Starts and stops a whole node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use platform::http::Limits;
use roster::drain::{self, Drain};
use settings::Settings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use upstream::relay::Router;
use upstream::relay::server::Server;
use wire::seal::Seal;
use wire::{Incarnation, Machine, rank};

use crate::clock::{Clock, wall_micros};
use crate::core::{self, Handle, Input};
use crate::front::listener::{self, Limit};
use crate::front::tls::{self, Tls};
use crate::front::{Front, Operators};
use crate::metrics::Metrics;
use crate::paths::{self, Admission};
use crate::peer::{Inbox, Outbox, SharedCounts};
use crate::shared::Shared;
use crate::start::{self, Error, bind, seal};

/// Name of the manifest under the settings' prefix.
const MANIFEST: &str = "manifest";

/// Connections of operators at once.
const OPERATOR_CONNECTIONS: usize = 64;

/// Time between two looks at what a shutdown still waits for.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// Time that a shutdown spends on handing records over.
const HAND_OVER: Duration = Duration::from_secs(5);

/// A running node.
pub struct Node {
    shared: Arc<Shared>,
    core: Handle,
    inbox: Inbox,
    addresses: Addresses,
    stop: watch::Sender<bool>,
    /// Ends what is relayed for other nodes, each connection once it is idle.
    stop_relay: watch::Sender<bool>,
    fronts: Vec<JoinHandle<()>>,
}

/// Addresses that a node is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nothing was cut.
    Whole,
    /// This many requests were cut.
    Cut(usize),
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where an address cannot be bound or a setting is unusable.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let clock = Clock::start();
        let me = Incarnation::new(settings.vm.id.clone(), wall_micros());
        let counts = SharedCounts::default();
        let metrics = Metrics::new(counts.clone())?;
        let seal = seal(&settings)?;
        let source = Arc::new(platform_source(&settings)?);
        let router = Router::new(
            me.clone(),
            settings.vm.zone.clone(),
            seal.clone(),
            settings.listen.source,
        );
        let shared = Shared::new(settings, me.clone(), clock, metrics, router);
        let shared = Arc::new(shared);
        let core = core::start(core::Arguments {
            shared: shared.clone(),
            logic: logic::Node::new(crate::tune::config(&shared.settings, me)),
            outbox: Outbox::new(seal.clone(), counts.clone()),
            source,
        })
        .await?;
        let inbox = listen_peers(&shared, &core, seal, counts).await?;
        let mut node = Self {
            addresses: Addresses {
                callers: shared.settings.listen.callers,
                peers: inbox.address(),
                operators: shared.settings.listen.operators,
            },
            shared,
            core,
            inbox,
            stop: watch::channel(false).0,
            stop_relay: watch::channel(false).0,
            fronts: Vec::new(),
        };
        node.open().await?;
        Ok(node)
    }

    async fn open(&mut self) -> Result<(), Error> {
        let limits = &self.shared.settings.limits;
        let limit = Limit {
            connections: limits.connections,
            header_bytes: limits.header_bytes,
            header_time: self.shared.settings.time.header,
        };
        let tls = self.open_tls()?;
        let front = Front::new(self.shared.clone(), self.core.clone());
        let socket = bind(self.addresses.callers).await?;
        self.addresses.callers = local(&socket, self.addresses.callers);
        self.fronts.push(tokio::spawn(listener::serve(
            socket,
            limit,
            front,
            tls,
            self.stop.subscribe(),
        )));
        let operators = Operators::new(self.shared.clone(), self.core.clone());
        let socket = bind(self.addresses.operators).await?;
        self.addresses.operators = local(&socket, self.addresses.operators);
        let limit = Limit {
            connections: OPERATOR_CONNECTIONS,
            ..limit
        };
        self.fronts.push(tokio::spawn(listener::serve(
            socket,
            limit,
            operators,
            None,
            self.stop.subscribe(),
        )));
        tokio::spawn(core::poll_engines(self.shared.clone(), self.core.clone()));
        tokio::spawn(paths::run(self.shared.clone()));
        self.relay().await
    }

    /// Opens connections to upstreams for other nodes, where there is an address for that.
    async fn relay(&self) -> Result<(), Error> {
        let Some(address) = self.shared.settings.listen.relay else {
            return Ok(());
        };
        let socket = bind(address).await?;
        let server = Server::new(
            self.shared.router.clone(),
            Admission(self.shared.clone()),
            self.shared.relayed.clone(),
            self.stop_relay.subscribe(),
        );
        tokio::spawn(server.serve(socket));
        Ok(())
    }

    fn open_tls(&self) -> Result<Option<Arc<Tls>>, Error> {
        let Some(files) = self.shared.settings.tls.clone() else {
            return Ok(None);
        };
        let tls = Arc::new(Tls::open(files)?);
        tokio::spawn(tls::watch(tls.clone(), tls::PERIOD));
        Ok(Some(tls))
    }

    /// Returns the addresses that the node is bound to.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Tells whether the node takes traffic.
    pub fn ready(&self) -> bool {
        self.shared.ready() && self.shared.rules.load().is_some()
    }

    /// Returns the core, to ask it for its status.
    pub fn core(&self) -> &Handle {
        &self.core
    }

    /// Shuts down gracefully: leaves the address answers at once, hands over, serves until callers
    /// have forgotten the address and every request is done. A value on `second` ends it early.
    pub async fn shut_down(self, mut second: watch::Receiver<bool>) -> Ending {
        let times = &self.shared.settings.time;
        let mut drain = Drain::new(drain::Limit {
            ttl: times.address_ttl,
            total: times.drain,
            hand_over: HAND_OVER,
        });
        let mut ending = Ending::Whole;
        let began = self.shared.clock.now();
        let mut event = drain::Event::Start;
        let mut asked = false;
        let mut handed = false;
        loop {
            let mut actions = Vec::new();
            drain.step(self.shared.clock.now(), event, &mut actions);
            for action in actions {
                self.perform(&action, &mut ending);
            }
            if drain.phase() == drain::Phase::Closed {
                break;
            }
            tokio::select! {
                () = tokio::time::sleep(DRAIN_STEP) => {}
                _ = second.wait_for(|second| *second), if !asked => asked = true,
            }
            event = if asked && ending == Ending::Whole && *second.borrow() {
                drain::Event::Second
            } else if !handed && self.core.idle().await {
                handed = true;
                drain::Event::HandedOver
            } else {
                if self.shared.clock.now() >= began + times.address_ttl {
                    // By then peers know that this node leaves, and begin nothing through it.
                    self.stop_relay.send_replace(true);
                }
                let flying = self.shared.flying() + self.shared.relaying();
                drain::Event::InFlight(usize::try_from(flying).unwrap_or(usize::MAX))
            };
        }
        self.close().await;
        ending
    }

    fn perform(&self, action: &drain::Action, ending: &mut Ending) {
        log::info!(target: crate::journal::DECISION, step:? = action; "shutdown");
        match action {
            drain::Action::StopAddresses => {
                self.shared.set_leaving();
                self.core.send(Input::Leave);
            }
            drain::Action::Report { cut, .. } if *cut > 0 => *ending = Ending::Cut(*cut),
            drain::Action::Report { .. }
            | drain::Action::HandOver
            | drain::Action::WaitTtl { .. }
            | drain::Action::Close => {}
        }
    }

    async fn close(self) {
        self.stop.send_replace(true);
        let closed = tokio::time::Instant::now() + Duration::from_secs(1);
        for front in self.fronts {
            // What is left are idle connections, or requests that were reported as cut.
            let _ = tokio::time::timeout_at(closed, front).await;
        }
        self.inbox.stop();
    }
}

fn platform_source(settings: &Settings) -> Result<platform::Http, Error> {
    let limits = Limits {
        connect: settings.time.connect,
        answer: settings.platform.timeout,
    };
    Ok(platform::Http::new(start::platform(settings)?, limits))
}

async fn listen_peers(
    shared: &Arc<Shared>,
    core: &Handle,
    seal: Seal,
    counts: SharedCounts,
) -> Result<Inbox, Error> {
    let address = shared.settings.listen.peers;
    let limit = u32::try_from(shared.settings.limits.frame_bytes).unwrap_or(u32::MAX);
    let core = core.clone();
    let sink = move |frame| core.receive(frame);
    let listening = Inbox::listen(address, seal, limit, counts, sink).await;
    listening.map_err(|cause| Error::Listen { address, cause })
}

fn local(socket: &TcpListener, asked: SocketAddr) -> SocketAddr {
    socket.local_addr().unwrap_or(asked)
}

/// Returns the seed of a process's random choices; another process has another one.
pub(crate) fn seed(me: &Incarnation) -> u64 {
    rank::hash(me.to_string())
}

/// Returns the platform's key of the manifest.
pub(crate) fn manifest_key(settings: &Settings) -> Arc<str> {
    format!("{}{MANIFEST}", settings.platform.prefix).into()
}
