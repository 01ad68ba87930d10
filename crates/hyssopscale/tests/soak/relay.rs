//! A relay before an upstream that cuts single nodes off, which it tells apart by their addresses.
//!
//! Packets of a node that is cut off are dropped in the kernel by filters of the sockets: neither its
//! bytes nor its attempts to connect are acknowledged.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Instructions of filters of sockets: load a word, jump where it is equal, return.
const LOAD: u16 = 0x20;
const JUMP_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Offset of the address of the sender, in the header of a packet.
const SENDER: u32 = 0xfff0_0000 + 12;

/// How a node is cut off from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes either way.
    Hang,
    /// What the node sends on open connections arrives, but no answer; no connection comes about.
    AnswersLost,
    /// Open and new connections are reset.
    Reset,
    /// Open connections go on, new ones are reset.
    RefuseNew,
}

type Cuts = BTreeMap<IpAddr, Cut>;

/// One relay.
pub struct Relay {
    listener: TcpListener,
    target: SocketAddr,
    cuts: watch::Sender<Cuts>,
}

impl Relay {
    /// Listens at `listen` for connections to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let relay = Arc::new(Self {
            listener: TcpListener::bind(listen).await.unwrap(),
            target,
            cuts: watch::Sender::new(Cuts::new()),
        });
        tokio::spawn(relay.clone().accept());
        relay
    }

    /// Cuts `node` off, or no longer.
    pub fn set(&self, node: IpAddr, cut: Option<Cut>) {
        self.cuts.send_modify(|cuts| {
            match cut {
                Some(cut) => cuts.insert(node, cut),
                None => cuts.remove(&node),
            };
            let silent = |cut: &Cut| matches!(cut, Cut::Hang | Cut::AnswersLost);
            let silent = cuts.iter().filter(|(_, cut)| silent(cut));
            let silent = silent.map(|(node, _)| *node);
            drop_from(&SockRef::from(&self.listener), &silent.collect::<Vec<_>>()).unwrap();
        });
    }

    async fn accept(self: Arc<Self>) {
        loop {
            if let Ok((stream, from)) = self.listener.accept().await {
                tokio::spawn(self.clone().serve(stream, from.ip()));
            }
        }
    }

    /// Passes a connection on. Each side ends in good order only where the other one has; in all other cases
    /// both are reset.
    async fn serve(self: Arc<Self>, mut near: TcpStream, from: IpAddr) -> io::Result<()> {
        near.set_nodelay(true)?;
        let mut cuts = self.cuts.subscribe();
        let present =
            |cuts: &mut watch::Receiver<Cuts>| cuts.borrow_and_update().get(&from).copied();
        if let Some(Cut::Reset | Cut::RefuseNew) = present(&mut cuts) {
            return reset(&near);
        }
        let mut far = TcpStream::connect(self.target).await?;
        far.set_nodelay(true)?;
        reset(&near)?;
        reset(&far)?;
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let mut there = Flow::new(near_read, far_write);
        let mut back = Flow::new(far_read, near_write);
        while !(there.done && back.done) {
            let cut = present(&mut cuts);
            let near = SockRef::from(there.from.as_ref());
            match cut {
                Some(Cut::Hang) => drop_all(&near)?,
                _ => near.detach_filter().or_else(ignore_missing)?,
            }
            tokio::select! {
                _ = cuts.changed() => {}
                run = pass(&mut there, &mut back, cut) => run?,
            }
            if present(&mut cuts) == Some(Cut::Reset) {
                reset(there.from.as_ref())?;
                return reset(there.to.as_ref());
            }
        }
        Ok(())
    }
}

/// Copies what the cut lets pass.
async fn pass(there: &mut Flow<'_>, back: &mut Flow<'_>, cut: Option<Cut>) -> io::Result<()> {
    match cut {
        Some(Cut::Hang) => std::future::pending().await,
        Some(Cut::AnswersLost) => {
            there.run().await?;
            std::future::pending().await
        }
        _ => tokio::try_join!(there.run(), back.run()).map(|_| ()),
    }
}

/// One direction of a connection.
struct Flow<'a> {
    from: ReadHalf<'a>,
    to: WriteHalf<'a>,
    /// Bytes that are read and not yet written.
    held: BytesMut,
    done: bool,
}

impl<'a> Flow<'a> {
    fn new(from: ReadHalf<'a>, to: WriteHalf<'a>) -> Self {
        Self {
            from,
            to,
            held: BytesMut::new(),
            done: false,
        }
    }

    /// Copies until the end. What was read is kept where this is dropped.
    async fn run(&mut self) -> io::Result<()> {
        while !self.done {
            if self.held.has_remaining() {
                let written = self.to.write(&self.held).await?;
                self.held.advance(written);
            } else if self.from.read_buf(&mut self.held).await? == 0 {
                SockRef::from(self.to.as_ref()).set_linger(None)?;
                self.to.shutdown().await?;
                self.done = true;
            }
        }
        Ok(())
    }
}

/// Has the connection reset as it is dropped.
fn reset(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Drops the packets of these senders.
fn drop_from(socket: &SockRef<'_>, senders: &[IpAddr]) -> io::Result<()> {
    if senders.is_empty() {
        return socket.detach_filter().or_else(ignore_missing);
    }
    let count = senders.len();
    let mut program = vec![SockFilter::new(LOAD, 0, 0, SENDER)];
    for (index, sender) in senders.iter().enumerate() {
        let IpAddr::V4(sender) = sender else {
            continue;
        };
        // The last instruction drops, the one before it lets pass.
        let ahead = u8::try_from(count - index).expect("few senders");
        program.push(SockFilter::new(JUMP_EQUAL, ahead, 0, u32::from(*sender)));
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program.push(SockFilter::new(RETURN, 0, 0, 0));
    socket.attach_filter(&program)
}

fn drop_all(socket: &SockRef<'_>) -> io::Result<()> {
    socket.attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)])
}

/// A socket without a filter has none to detach.
fn ignore_missing(error: io::Error) -> io::Result<()> {
    match error.kind() {
        io::ErrorKind::NotFound => Ok(()),
        _ => Err(error),
    }
}
