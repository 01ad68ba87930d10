//! A region of rosters on a [`super::Network`].
#![allow(dead_code, missing_docs)]

use std::time::Duration;

use roster::{Action, Event, Member, Message, Note, Roster};
use wire::view::State;
use wire::{Frame, Incarnation, Machine, Time, View, Zone};

use crate::network::{Fault, Network, Node, vm};

pub const ZONES: usize = 3;

pub struct Peer {
    pub me: Incarnation,
    pub roster: Roster,
    pub view: View,
    pub notes: Vec<(Time, Note)>,
    pub leaving: Vec<String>,
    out: Vec<Action>,
    frames: Vec<Frame>,
}

pub fn zone(index: usize) -> Zone {
    format!("zone-{}", index % ZONES).into()
}

pub fn members(count: usize) -> Vec<Member> {
    let member = |index| Member {
        vm: vm(index),
        zone: zone(index),
        leaving: false,
    };
    (0..count).map(member).collect()
}

impl Peer {
    pub fn new(index: usize, start: u64) -> Self {
        let me = Incarnation::new(vm(index), start);
        let seed = start ^ (index as u64) << 40;
        Self {
            roster: Roster::new(me.clone(), zone(index), seed),
            me,
            view: View::default(),
            notes: Vec::new(),
            leaving: Vec::new(),
            out: Vec::new(),
            frames: Vec::new(),
        }
    }

    pub fn step(&mut self, now: Time, event: Event) {
        self.roster.step(now, event, &mut self.out);
        for action in std::mem::take(&mut self.out) {
            match action {
                Action::Send { to, message } => self.frames.push(Frame {
                    from: self.me.clone(),
                    to,
                    channel: 1,
                    body: wire::frame::encode(&message).expect("messages encode"),
                }),
                Action::View(view) => self.view = view,
                Action::Leaving { upstream } => self.leaving.push(upstream.to_string()),
                Action::Returned { upstream } => self.leaving.retain(|u| **u != *upstream),
                Action::Note(note) => self.notes.push((now, note)),
                Action::Heard { .. } => {}
            }
        }
    }

    pub fn state(&self, index: usize) -> Option<State> {
        self.view.peer(&vm(index)).map(|peer| peer.state)
    }
}

impl Node for Peer {
    fn me(&self) -> &Incarnation {
        &self.me
    }
    fn wake(&self) -> Option<Time> {
        self.roster.wake()
    }
    fn tick(&mut self, now: Time) {
        self.step(now, Event::Tick);
    }
    fn receive(&mut self, now: Time, frame: Frame) {
        let message: Message = wire::frame::decode(&frame.body).expect("messages decode");
        let from = frame.from;
        self.step(now, Event::Receive { from, message });
    }
    fn frames(&mut self) -> Vec<Frame> {
        std::mem::take(&mut self.frames)
    }
}

pub type Region = Network<Peer>;

/// Starts or restarts the process on a VM and gives it the full list.
pub fn start(net: &mut Region, index: usize) {
    let start = u64::try_from(net.now.as_micros()).expect("time fits") + 1_700_000_000_000_000;
    net.place(index, Some(Peer::new(index, start)));
    let members = members(net.len());
    let revision = Some(1);
    net.with(index, |peer, now| {
        peer.step(now, Event::List { members, revision });
    });
}

/// Returns a region whose nodes have all started and converged.
pub fn region(seed: u64, count: usize, loss: u64) -> Region {
    let mut net = Network::new(seed, count);
    net.fault = Fault {
        loss,
        doubled: 2,
        late: 2,
    };
    for index in 0..count {
        start(&mut net, index);
        net.run(Duration::from_millis(7));
    }
    let met = net.run_till(Duration::from_secs(60), converged);
    assert!(
        met.is_some(),
        "a region of {count} nodes converges within a minute"
    );
    net
}

/// Returns whether every running node shows every running node as live, in its present incarnation,
/// and no other.
pub fn converged(net: &Region) -> bool {
    let mut running: Vec<&Incarnation> = net.nodes().map(|peer| &peer.me).collect();
    running.sort();
    net.nodes().all(|peer| {
        let live = peer.view.live().map(|peer| &peer.incarnation);
        live.eq(running.iter().copied())
    })
}
