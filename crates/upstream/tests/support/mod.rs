//! A scripted TCP server: each connection goes through the same acts and is then closed.

#![allow(dead_code)]

pub mod relay;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[derive(Clone, Debug)]
pub enum Act {
    /// Reads one whole request.
    Request,
    /// Reads some bytes.
    Some,
    Write(String),
    Wait(Duration),
    /// Stays silent until the peer closes.
    Hold,
}

#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub connections: Arc<AtomicUsize>,
    pub requests: Arc<AtomicUsize>,
    /// Connections that the server has closed.
    pub ended: Arc<AtomicUsize>,
    /// Connections that the peer closed while they were held.
    pub closed: Arc<AtomicUsize>,
    /// Head of the last request, in lower case.
    pub head: Arc<Mutex<String>>,
}

pub fn count(counter: &AtomicUsize) -> usize {
    counter.load(Ordering::SeqCst)
}

pub async fn serve(acts: impl Into<Vec<Act>>) -> (SocketAddr, Seen) {
    serve_hidden(acts, None).await
}

/// Serves so that attempts to connect from one address stay unanswered.
pub async fn serve_hidden(acts: impl Into<Vec<Act>>, from: Option<Ipv4Addr>) -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    if let Some(from) = from {
        hide(&listener, from);
    }
    let address = listener.local_addr().unwrap();
    let (acts, seen) = (acts.into(), Seen::default());
    let given = seen.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            seen.connections.fetch_add(1, Ordering::SeqCst);
            let (acts, seen) = (acts.clone(), seen.clone());
            tokio::spawn(async move {
                play(stream, acts, &seen).await;
                seen.ended.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, given)
}

/// Drops packets from an address by a classic packet filter (`linux/filter.h`).
pub fn hide(listener: &TcpListener, from: Ipv4Addr) {
    // Loads the source address, and drops the packet where that is the one.
    let program = [
        SockFilter::new(0x20, 0, 0, 0xfff0_0000 + 12),
        SockFilter::new(0x15, 1, 0, u32::from(from)),
        SockFilter::new(0x06, 0, 0, u32::MAX),
        SockFilter::new(0x06, 0, 0, 0),
    ];
    SockRef::from(listener).attach_filter(&program).unwrap();
}

async fn play(mut stream: TcpStream, acts: Vec<Act>, seen: &Seen) {
    for act in acts {
        let mut part = [0; 1024];
        match act {
            Act::Request => match read_request(&mut stream, seen).await {
                true => seen.requests.fetch_add(1, Ordering::SeqCst),
                false => return,
            },
            Act::Some => stream.read(&mut part).await.unwrap(),
            Act::Write(text) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                // Apart, so that the reader sees parts.
                tokio::time::sleep(Duration::from_millis(5)).await;
                0
            }
            Act::Wait(time) => {
                tokio::time::sleep(time).await;
                0
            }
            Act::Hold => {
                while stream.read(&mut part).await.is_ok_and(|bytes| bytes > 0) {}
                seen.closed.fetch_add(1, Ordering::SeqCst)
            }
        };
    }
}

async fn read_request(stream: &mut TcpStream, seen: &Seen) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return false,
        }
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    *seen.head.lock().unwrap() = head;
    stream.read_exact(&mut body).await.is_ok()
}

pub fn write(text: impl Into<String>) -> Act {
    Act::Write(text.into())
}
