//! Starts and stops a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use node::clock::{Clock, wall_micros};
use node::front::listener::{self, Handler, Limit};
use node::journal::DECISION;
use node::start::{self, Error};
use settings::Settings;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use upstream::relay::Router;
use upstream::relay::server::Server;
use wire::Incarnation;

use crate::control::{self, Handle};
use crate::datagram::Post;
use crate::dialect::Dialect;
use crate::front::Front;
use crate::hub::{self, Admission, Hub};
use crate::metrics::Metrics;
use crate::side::Side;
use crate::store;

/// Connections on the addresses beside the callers'.
const SIDE_CONNECTIONS: usize = 256;

/// Time between two looks at what a shutdown still waits for.
const DRAIN_STEP: Duration = Duration::from_millis(50);

/// Times to live for which a leaving node takes requests.
const OPEN_FACTOR: f64 = 1.4;

/// Part of the grace time in which a leaving node takes requests at most.
const OPEN_PART: f64 = 0.35;

/// Part of the grace time that is left when the last requests are given up.
const LAST_PART: u32 = 12;

/// A running node.
pub struct Node<D> {
    hub: Arc<Hub<D>>,
    control: Handle,
    stop: watch::Sender<bool>,
    fronts: Vec<JoinHandle<()>>,
}

impl<D: Dialect> Node<D> {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where an address cannot be bound or a setting is unusable.
    pub async fn start(settings: Settings, dialect: D) -> Result<Self, Error> {
        let clock = Clock::start();
        let me = Incarnation::new(settings.vm.id.clone(), wall_micros());
        let platform = start::platform(&settings)?.first().copied();
        let platform = platform.ok_or_else(|| Error::Platform(String::new()))?;
        let address = settings.listen.peers;
        let link = settings.exchange.clone().unwrap_or_default().link_mbps * 1e6;
        let bound = Post::bind(address, me.clone(), start::seal(&settings)?, clock, link).await;
        let post = bound.map_err(|cause| Error::Listen { address, cause })?;
        info!(target: DECISION, vm:% = me, zone:% = settings.vm.zone; "start");
        let router = Router::new(
            me.clone(),
            settings.vm.zone.clone(),
            start::seal(&settings)?,
            settings
                .exchange
                .as_ref()
                .and_then(|exchange| exchange.source),
        );
        let hub = Hub::new(dialect, settings, me, clock, Metrics::new()?, post, router);
        let hub = Arc::new(hub);
        let control = control::start(hub.clone()).await?;
        tokio::spawn(store::run(hub.clone(), platform));
        tokio::spawn(hub::send_parts(hub.clone()));
        let mut node = Self {
            hub,
            control,
            stop: watch::channel(false).0,
            fronts: Vec::new(),
        };
        node.open().await?;
        Ok(node)
    }

    async fn open(&mut self) -> Result<(), Error> {
        let hub = self.hub.clone();
        let limits = &hub.settings.limits;
        let callers = Limit {
            connections: limits.connections,
            header_bytes: limits.header_bytes,
            header_time: hub.settings.time.header,
        };
        let side = Limit {
            connections: SIDE_CONNECTIONS,
            ..callers
        };
        let listen = &hub.settings.listen;
        self.serve(listen.callers, callers, Front::new(hub.clone()))
            .await?;
        for address in [hub.exchange.ready, hub.exchange.directory] {
            self.serve(address, side, Side::new(hub.clone(), false))
                .await?;
        }
        self.serve(listen.operators, side, Side::new(hub.clone(), true))
            .await?;
        self.relay().await
    }

    /// Opens connections to upstreams for other nodes, where there is an address for that.
    async fn relay(&mut self) -> Result<(), Error> {
        let Some(address) = self.hub.exchange.relay else {
            return Ok(());
        };
        let socket = start::bind(address).await?;
        let server = Server::new(
            self.hub.router.clone(),
            Admission(self.hub.clone()),
            self.hub.relayed.clone(),
            self.stop.subscribe(),
        );
        tokio::spawn(server.serve(socket));
        Ok(())
    }

    async fn serve(
        &mut self,
        address: SocketAddr,
        limit: Limit,
        handler: impl Handler,
    ) -> Result<(), Error> {
        let socket = start::bind(address).await?;
        let stop = self.stop.subscribe();
        let serving = listener::serve(socket, limit, handler, None, stop);
        self.fronts.push(tokio::spawn(serving));
        Ok(())
    }

    /// Returns what tells the node of other seeds.
    pub fn control(&self) -> Handle {
        self.control.clone()
    }

    /// Shuts down: tells peers and the platform at once, serves on until callers have forgotten
    /// the address and every request is done, or the grace time is nearly over. Returns how many
    /// requests were cut.
    pub async fn shut_down(self) -> i64 {
        let hub = &self.hub;
        hub.set_leaving();
        self.control.leave();
        let started = Instant::now();
        let grace = hub.exchange.grace;
        let ttl = hub.settings.time.address_ttl;
        info!(target: DECISION, flying = hub.flying(); "leave");
        // Callers that asked just before keep the address for its time to live, and a few for
        // longer. What is taken later might not be done within the grace time.
        let open = ttl.mul_f64(OPEN_FACTOR).min(grace.mul_f64(OPEN_PART));
        tokio::time::sleep_until(started + open).await;
        self.stop.send_replace(true);
        let linger = Instant::now() + listener::LINGER;
        let last = started + grace - grace / LAST_PART;
        while (hub.flying() > 0 || hub.relaying() > 0 || Instant::now() < linger)
            && Instant::now() < last
        {
            tokio::time::sleep(DRAIN_STEP).await;
        }
        let cut = hub.flying();
        hub.set_ending();
        let closed = Instant::now() + DRAIN_STEP;
        for front in self.fronts {
            // What is left are idle connections, or streams that are reported as cut.
            let _ = tokio::time::timeout_at(closed, front).await;
        }
        info!(target: DECISION, cut, relayed = hub.relaying(); "stop");
        cut
    }
}
