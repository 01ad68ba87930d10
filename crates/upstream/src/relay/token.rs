//! What authenticates a node that asks a peer for a connection.

use std::fmt::Write as _;
use std::net::SocketAddr;

use wire::frame::{decode, encode};
use wire::seal::Seal;
use wire::{Frame, Incarnation, Upstream, Vm};

/// Number of connections in frames; machines have others.
const CHANNEL: u8 = 17;

/// Returns the text by which `from` asks `to` for a connection to `upstream` at `address`.
pub(super) fn make(
    seal: &Seal,
    from: &Incarnation,
    to: &Vm,
    upstream: &Upstream,
    address: SocketAddr,
) -> Option<String> {
    let frame = Frame {
        from: from.clone(),
        to: to.clone(),
        channel: CHANNEL,
        body: encode(&(upstream, address)).ok()?,
    };
    let sealed = seal.close(encode(&frame).ok()?);
    let mut text = String::with_capacity(sealed.len() * 2);
    for byte in sealed {
        let _ = write!(text, "{byte:02x}");
    }
    Some(text)
}

/// Returns who asks `me` for a connection, and to which upstream at which address. Returns `None` where
/// the text is of no node, or for another one.
pub(super) fn read(seal: &Seal, me: &Vm, text: &str) -> Option<(Vm, Upstream, SocketAddr)> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let sealed: Option<Vec<u8>> = digits.map(byte).collect();
    let frame: Frame = decode(seal.open(&sealed?).ok()?).ok()?;
    if frame.channel != CHANNEL || frame.to != *me {
        return None;
    }
    let (upstream, address) = decode(&frame.body).ok()?;
    Some((frame.from.vm, upstream, address))
}
