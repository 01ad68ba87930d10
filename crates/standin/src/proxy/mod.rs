//! A fault-injecting TCP proxy for the loopback interface.
//!
//! - A [`Proxy`] is one link: it listens, and copies each connection to its target under the
//!   link's present [`Fault`].
//! - A [`Fabric`] holds the links between named places and partitions them; it serves admin
//!   requests: `GET /admin/links`, `PUT /admin/links` (JSON [`Link`]s to open; answers their
//!   addresses), `PUT /admin/fault/NAME` (a JSON [`Fault`]), `POST /admin/cut/NAME`,
//!   `PUT /admin/partition` (JSON lists of places; places in none stay with everyone).

mod copy;
mod fabric;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use fabric::{Fabric, Link};

/// What a link lets through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pass {
    /// Both directions.
    #[default]
    Both,
    /// Nothing: connections are taken and stay silent, as in a partition.
    Neither,
    /// Only bytes from the connecting side.
    ToTarget,
    /// Only bytes to the connecting side.
    FromTarget,
    /// Connections are closed as soon as they are taken.
    Refuse,
}

/// The present fault of a link; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// What it lets through.
    pub pass: Pass,
    /// Delay of each part in each direction, in microseconds.
    pub latency_us: u64,
    /// Additional delay up to this, drawn for each part, in microseconds. Parts of one direction
    /// of a connection stay in order; those of different connections do not.
    pub jitter_us: u64,
    /// Bytes from the target after which a connection is cut; absent for never.
    pub cut_after: Option<u64>,
}

/// The control of a link, shared with its connections.
#[derive(Clone, Debug)]
pub struct Control {
    fault: watch::Sender<Fault>,
    cuts: watch::Sender<u64>,
}

impl Control {
    fn new(fault: Fault) -> Self {
        Self {
            fault: watch::Sender::new(fault),
            cuts: watch::Sender::new(0),
        }
    }

    /// Returns the present fault.
    pub fn fault(&self) -> Fault {
        *self.fault.borrow()
    }

    /// Replaces the fault; it applies to open connections as well. Bytes held back by
    /// [`Pass::Neither`] go on once it is lifted, as after a partition.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Cuts every open connection.
    pub fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }
}

/// One link. It stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    control: Control,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Listens at `listen` for connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be bound.
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        fault: Fault,
        seed: u64,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let control = Control::new(fault);
        let accepting = tokio::spawn(accept(listener, target, control.clone(), seed));
        Ok(Self {
            address,
            control,
            accepting,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the link's control.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Stops listening and cuts every connection.
    pub fn shutdown(&self) {
        self.accepting.abort();
        self.control.cut();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shutdown();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, control: Control, seed: u64) {
    let control = Arc::new(control);
    for number in 0u64.. {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if control.fault().pass != Pass::Refuse {
            let seed = seed.wrapping_add(number);
            tokio::spawn(serve(stream, target, control.clone(), seed));
        }
    }
}

async fn serve(stream: TcpStream, target: SocketAddr, control: Arc<Control>, seed: u64) {
    let mut cuts = control.cuts.subscribe();
    tokio::select! {
        _ = copy::connection(stream, target, &control, seed) => {}
        _ = cuts.changed() => {}
    }
}
