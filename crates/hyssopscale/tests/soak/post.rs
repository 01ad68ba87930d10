//! Datagrams between nodes, which know each other by addresses of this relay.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;

/// Largest datagram in bytes.
const BYTES_MAX: usize = 65_507;

/// One node: the address that it binds, and the socket at the address that it tells others.
struct Station {
    bound: SocketAddr,
    socket: UdpSocket,
}

/// The relay between the nodes of a site.
pub struct Post {
    stations: Vec<Station>,
    /// Nodes that reach no other.
    apart: Mutex<BTreeSet<usize>>,
}

impl Post {
    /// Relays between nodes that each bind the first of two addresses and are told the second.
    pub async fn start(nodes: &[(SocketAddr, SocketAddr)]) -> Arc<Self> {
        let mut stations = Vec::new();
        for (bound, told) in nodes {
            let socket = UdpSocket::bind(told).await.unwrap();
            let bound = *bound;
            stations.push(Station { bound, socket });
        }
        let post = Arc::new(Self {
            stations,
            apart: Mutex::new(BTreeSet::new()),
        });
        for to in 0..post.stations.len() {
            tokio::spawn(post.clone().relay(to));
        }
        post
    }

    /// Cuts a node off from all others, or no longer.
    pub fn set_apart(&self, node: usize, is_apart: bool) {
        let mut apart = self.apart.lock().unwrap();
        if is_apart {
            apart.insert(node);
        } else {
            apart.remove(&node);
        }
    }

    /// Takes the datagrams for a node, and sends each on from the address by which the receiver knows its
    /// sender.
    async fn relay(self: Arc<Self>, to: usize) {
        let mut buffer = vec![0; BYTES_MAX];
        loop {
            let Ok((length, from)) = self.stations[to].socket.recv_from(&mut buffer).await else {
                continue;
            };
            let sender = self.stations.iter().position(|known| known.bound == from);
            let Some(sender) = sender.filter(|sender| !self.is_cut(*sender, to)) else {
                continue;
            };
            let receiver = self.stations[to].bound;
            // A node that is down takes nothing.
            let _ = self.stations[sender]
                .socket
                .try_send_to(&buffer[..length], receiver);
        }
    }

    fn is_cut(&self, sender: usize, to: usize) -> bool {
        let apart = self.apart.lock().unwrap();
        sender != to && (apart.contains(&sender) || apart.contains(&to))
    }
}
