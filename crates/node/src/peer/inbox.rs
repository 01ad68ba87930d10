//! The listening side of the transport.

use std::future::Future;
use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use jsonrpsee::core::middleware::{Batch, Notification, RpcServiceBuilder, RpcServiceT};
use jsonrpsee::server::{RpcModule, Server, ServerConfig, ServerHandle};
use jsonrpsee::types::Request;
use tokio::net::TcpListener;
use wire::Frame;
use wire::seal::Seal;

use super::{METHOD, SharedCounts, add};

/// Connections that peers may hold open at once.
const CONNECTIONS_MAX: u32 = 1024;

/// The server that takes frames in.
pub struct Inbox {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Inbox {
    /// Listens on `address` and gives each authentic frame to `sink`.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the address cannot be bound.
    pub async fn listen(
        address: SocketAddr,
        seal: Seal,
        frame_bytes_max: u32,
        counts: SharedCounts,
        sink: impl Fn(Frame) + Clone + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let receiver = Receiver { seal, counts, sink };
        let middleware = RpcServiceBuilder::new().layer_fn(move |inner| Service {
            inner,
            receiver: receiver.clone(),
        });
        let config = ServerConfig::builder()
            .max_request_body_size(frame_bytes_max)
            .max_connections(CONNECTIONS_MAX)
            .ws_only()
            .build();
        let listener = TcpListener::bind(address).await?;
        // The connections that it accepts inherit them.
        socket::apply(&listener, &socket::PEER)?;
        let server = Server::builder()
            .set_config(config)
            .set_rpc_middleware(middleware)
            .build_from_tcp(listener.into_std()?)?;
        let address = server.local_addr()?;
        let handle = server.start(RpcModule::new(()));
        Ok(Self { address, handle })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes the connections.
    pub fn stop(&self) {
        // An error only says that the server has stopped already.
        let _ = self.handle.stop();
    }
}

#[derive(Clone)]
struct Receiver<F> {
    seal: Seal,
    counts: SharedCounts,
    sink: F,
}

impl<F: Fn(Frame)> Receiver<F> {
    fn receive(&self, notification: &Notification<'_>) {
        match self.open(notification) {
            Some(frame) => {
                add(&self.counts.received, 1);
                (self.sink)(frame);
            }
            None => add(&self.counts.refused, 1),
        }
    }

    fn open(&self, notification: &Notification<'_>) -> Option<Frame> {
        if notification.method != METHOD {
            return None;
        }
        let params = notification.params.as_ref()?;
        let (text,): (&str,) = serde_json::from_str(params.get()).ok()?;
        let sealed = STANDARD_NO_PAD.decode(text).ok()?;
        let bytes = self.seal.open(&sealed).ok()?;
        wire::frame::decode(bytes).ok()
    }
}

/// Takes the frames out of the notifications; the library's own service ignores those.
#[derive(Clone)]
struct Service<S, F> {
    inner: S,
    receiver: Receiver<F>,
}

impl<S, F> RpcServiceT for Service<S, F>
where
    S: RpcServiceT,
    F: Fn(Frame),
{
    type MethodResponse = S::MethodResponse;
    type NotificationResponse = S::NotificationResponse;
    type BatchResponse = S::BatchResponse;

    fn call<'a>(
        &self,
        request: Request<'a>,
    ) -> impl Future<Output = Self::MethodResponse> + Send + 'a {
        self.inner.call(request)
    }

    fn batch<'a>(
        &self,
        requests: Batch<'a>,
    ) -> impl Future<Output = Self::BatchResponse> + Send + 'a {
        self.inner.batch(requests)
    }

    fn notification<'a>(
        &self,
        notification: Notification<'a>,
    ) -> impl Future<Output = Self::NotificationResponse> + Send + 'a {
        self.receiver.receive(&notification);
        self.inner.notification(notification)
    }
}
