//! Simulated regions: a roster and a replicator per node, and a stand-in for the platform.
#![allow(dead_code, missing_docs)]

pub mod naive;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use confsync::{Action, Event, Manifest, Message, Note, PartContent, Reason, Replicator, Value};
use roster::{Member, Roster};
use wire::{Frame, Incarnation, Machine, Revision, Time, View, Vm, Zone};

use crate::network::{Fault, Network, Node, vm};

pub const KEY: &str = "manifest";
const ZONES: usize = 3;
const WATCH_WAIT: Duration = Duration::from_secs(30);
const ANSWER: Duration = Duration::from_millis(4);
const STALE_ANSWER: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(2);

/// A simulated platform, which can be down or serve a stale copy.
#[derive(Default)]
pub struct Service {
    values: BTreeMap<String, Value>,
    stale: BTreeMap<String, Value>,
    pub down: bool,
    pub serves_stale: bool,
    revision: Revision,
    pub calls: u64,
    /// The only VM that gets current values while `serves_stale` is set.
    pub fresh_for: Option<Vm>,
}

pub type Shared = Rc<RefCell<Service>>;

impl Service {
    /// Publishes the parts, then the manifest that names them.
    pub fn publish(&mut self, revision: Revision, contents: &[Bytes]) {
        let keys = (0..contents.len()).map(|index| format!("rules/{index}"));
        let keys: Vec<String> = keys.collect();
        let pairs = keys.iter().zip(contents);
        let pairs = pairs.map(|(key, body)| (key.as_str(), body.as_ref()));
        let manifest = Manifest::of(revision, pairs).expect("a valid manifest");
        for (key, body) in keys.iter().zip(contents) {
            self.set(key, body.clone());
        }
        self.set(KEY, manifest.render().into());
    }

    pub fn set(&mut self, key: &str, body: Bytes) {
        self.revision += 1;
        let revision = self.revision;
        let value = Value { revision, body };
        self.values.insert(key.to_owned(), value);
    }

    /// Returns a copy of the values, with the platform's revision.
    pub fn copy(&self) -> (Revision, BTreeMap<String, Value>) {
        (self.revision, self.values.clone())
    }

    /// Comes back from a copy; the revisions given out since are given out again.
    pub fn restore(&mut self, (revision, values): (Revision, BTreeMap<String, Value>)) {
        self.revision = revision;
        self.values = values;
    }

    /// Saves the copy that is served while `serves_stale` is set.
    pub fn snapshot_stale(&mut self) {
        self.stale = self.values.clone();
    }

    /// Returns whether the node on `me` gets the stale copy.
    fn is_stale_for(&self, me: &Vm) -> bool {
        self.serves_stale && self.fresh_for.as_ref() != Some(me)
    }

    fn get(&self, key: &str, me: &Vm) -> Option<Value> {
        let values = if self.is_stale_for(me) {
            &self.stale
        } else {
            &self.values
        };
        values.get(key).filter(|_| !self.down).cloned()
    }
}

/// A pending platform call.
enum Call {
    Watch(Revision, Time),
    Read(Arc<str>, Time),
}

pub struct ControlPlane<S = Replicator> {
    pub me: Incarnation,
    pub roster: Roster,
    pub replicator: S,
    pub view: View,
    pub adopted: Vec<(Time, Revision)>,
    pub parts_in_force: Vec<PartContent>,
    pub refused: Vec<(Revision, Reason)>,
    pub notes: Vec<Note>,
    pub ready: Option<Time>,
    service: Shared,
    calls: Vec<Call>,
    frames: Vec<Frame>,
}

pub fn zone(index: usize) -> Zone {
    format!("zone-{}", index % ZONES).into()
}

fn members(count: usize) -> Vec<Member> {
    let member = |index| Member {
        vm: vm(index),
        zone: zone(index),
        leaving: false,
    };
    (0..count).map(member).collect()
}

/// Creates the state machine of a node, so that tests can replace [`Replicator`] by a faulty one.
pub trait TestReplicator: Machine<Event = Event, Action = Action> {
    fn create(me: Incarnation, zone: Zone, seed: u64) -> Self;
}

impl TestReplicator for Replicator {
    fn create(me: Incarnation, zone: Zone, seed: u64) -> Self {
        Self::new(me, zone, KEY, seed)
    }
}

impl<S: TestReplicator> ControlPlane<S> {
    fn new(index: usize, start: u64, service: Shared) -> Self {
        let me = Incarnation::new(vm(index), start);
        let seed = start ^ (index as u64) << 40;
        Self {
            roster: Roster::new(me.clone(), zone(index), seed),
            replicator: S::create(me.clone(), zone(index), seed),
            me,
            view: View::default(),
            adopted: Vec::new(),
            parts_in_force: Vec::new(),
            refused: Vec::new(),
            notes: Vec::new(),
            ready: None,
            service,
            calls: Vec::new(),
            frames: Vec::new(),
        }
    }

    pub fn revision(&self) -> Revision {
        self.adopted.last().map_or(0, |(_, revision)| *revision)
    }

    fn frame(&mut self, to: wire::Vm, channel: u8, message: &impl serde::Serialize) {
        let body = wire::frame::encode(message).expect("messages encode");
        let from = self.me.clone();
        self.frames.push(Frame {
            from,
            to,
            channel,
            body,
        });
    }

    pub fn roster(&mut self, now: Time, event: roster::Event) {
        let mut out = Vec::new();
        self.roster.step(now, event, &mut out);
        for action in out {
            match action {
                roster::Action::Send { to, message } => self.frame(to, 1, &message),
                roster::Action::View(view) => {
                    self.view = view.clone();
                    self.step(now, Event::View(view));
                }
                roster::Action::Heard { from, revision } => {
                    self.step(now, Event::Heard { from, revision });
                }
                _ => {}
            }
        }
    }

    pub fn step(&mut self, now: Time, event: Event) {
        let mut out = Vec::new();
        self.replicator.step(now, event, &mut out);
        for action in out {
            self.act(now, action);
        }
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Watch { after, .. } => {
                self.service.borrow_mut().calls += 1;
                self.calls.push(Call::Watch(after, now + WATCH_WAIT));
            }
            Action::Read { key } => {
                self.service.borrow_mut().calls += 1;
                self.calls.push(Call::Read(key, now + ANSWER));
            }
            Action::Send { to, message } => self.frame(to, 2, &message),
            Action::Check { revision, parts } => {
                let bad = parts.iter().any(|part| part.bytes.starts_with(b"bad"));
                let result = if bad {
                    Err("line 1: bad".to_owned())
                } else {
                    Ok(())
                };
                self.step(now, Event::Checked { revision, result });
            }
            Action::Adopt { revision, parts } => {
                self.adopted.push((now, revision));
                self.parts_in_force = parts;
            }
            Action::Refused { revision, reason } => self.refused.push((revision, reason)),
            Action::Seen(revision) => self.roster(now, roster::Event::Revision(revision)),
            Action::Ready => self.ready = Some(now),
            Action::Note(note) => self.notes.push(note),
        }
    }

    /// Completes the calls that the service has answered by `now`.
    fn answer_calls(&mut self, now: Time) {
        let service = self.service.clone();
        let me = self.me.vm.clone();
        let mut events = Vec::new();
        self.calls.retain(|call| {
            let event = answer(&service.borrow(), &me, call, now);
            let waits = event.is_none();
            events.extend(event);
            waits
        });
        for event in events {
            self.step(now, event);
        }
    }
}

fn answer(service: &Service, me: &Vm, call: &Call, now: Time) -> Option<Event> {
    match call {
        Call::Watch(after, until) => {
            // A stale replica answers without a long poll and ignores the requested revision.
            let stale = service.is_stale_for(me) && now + WATCH_WAIT >= *until + STALE_ANSWER;
            let newer = |value: &Value| stale || value.revision > *after;
            let value = service.get(KEY, me).filter(newer);
            match (value, service.down) {
                (Some(value), _) => Some(Event::Watched { value: Some(value) }),
                (None, false) if now >= *until => Some(Event::Watched { value: None }),
                (None, true) if now >= *until + TIMEOUT => {
                    let cause = "no answer".to_owned();
                    Some(Event::WatchFailed { cause })
                }
                _ => None,
            }
        }
        Call::Read(key, due) => match service.get(key, me) {
            Some(value) if now >= *due => Some(Event::ReadDone {
                key: key.clone(),
                value: Value {
                    // Each node has its own copy.
                    body: Bytes::copy_from_slice(&value.body),
                    ..value
                },
            }),
            None if now >= *due + TIMEOUT => Some(Event::ReadFailed {
                key: key.clone(),
                cause: "no answer".to_owned(),
            }),
            _ => None,
        },
    }
}

impl<S: TestReplicator> Node for ControlPlane<S> {
    fn me(&self) -> &Incarnation {
        &self.me
    }

    fn wake(&self) -> Option<Time> {
        let calls = self.calls.iter().filter_map(|call| match call {
            Call::Read(key, due) if self.service.borrow().get(key, &self.me.vm).is_none() => {
                Some(*due + TIMEOUT)
            }
            Call::Read(_, due) => Some(*due),
            Call::Watch(..) => None,
        });
        let machines = [self.roster.wake(), self.replicator.wake()];
        machines.into_iter().flatten().chain(calls).min()
    }

    fn tick(&mut self, now: Time) {
        self.answer_calls(now);
        self.roster(now, roster::Event::Tick);
        self.step(now, Event::Tick);
    }

    fn receive(&mut self, now: Time, frame: Frame) {
        let from = frame.from;
        if frame.channel == 1 {
            let message = wire::frame::decode(&frame.body).expect("messages decode");
            self.roster(now, roster::Event::Receive { from, message });
        } else {
            let message: Message = wire::frame::decode(&frame.body).expect("messages decode");
            self.step(now, Event::Receive { from, message });
        }
    }

    fn frames(&mut self) -> Vec<Frame> {
        std::mem::take(&mut self.frames)
    }
}

pub type Site<S = Replicator> = Network<ControlPlane<S>>;

/// Starts or restarts the process on a VM.
pub fn start<S: TestReplicator>(net: &mut Site<S>, index: usize, service: &Shared) {
    let start = u64::try_from(net.now.as_micros()).expect("time fits") + 1_700_000_000_000_000;
    net.place(
        index,
        Some(ControlPlane::new(index, start, service.clone())),
    );
    let members = members(net.len());
    net.with(index, |plane, now| {
        let revision = Some(1);
        plane.roster(now, roster::Event::List { members, revision });
        plane.step(now, Event::Tick);
    });
}

/// Creates a region whose nodes are all ready with revision 1.
pub fn site<S: TestReplicator>(seed: u64, count: usize, loss: u64) -> (Site<S>, Shared) {
    let service = Shared::default();
    service.borrow_mut().publish(1, &contents(1, 8));
    let mut net = Network::new(seed, count);
    net.fault = Fault {
        loss,
        doubled: 2,
        late: 2,
    };
    for index in 0..count {
        start(&mut net, index, &service);
        net.run(Duration::from_millis(7));
    }
    let ready = net.run_till(Duration::from_secs(60), |net| {
        net.nodes().all(|plane| plane.ready.is_some())
    });
    assert!(ready.is_some(), "every node becomes ready");
    (net, service)
}

/// Contents of a revision: `parts` parts, one of which contains the revision number.
pub fn contents(revision: Revision, parts: u64) -> Vec<Bytes> {
    let part = |index| {
        let changed = (revision % parts == index).then_some(revision);
        let line = |n: u64| format!("adapter-{index}-{n} letters urgent # asked by desk\n");
        let lines: String = (0..40).map(line).collect();
        format!("# {}\n{lines}", changed.unwrap_or(0)).into()
    };
    (0..parts).map(part).collect()
}

/// Contents that fail validation on every node.
pub fn bad_contents() -> Vec<Bytes> {
    vec![Bytes::from_static(b"bad line\n")]
}

pub fn all_in_force<S: TestReplicator>(revision: Revision) -> impl Fn(&Site<S>) -> bool {
    move |net| net.nodes().all(|plane| plane.revision() == revision)
}
