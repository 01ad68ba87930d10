//! Drives the logic of several nodes in one thread by hand-fed events: no sockets, no clock, no
//! async runtime.
//!
//! Three nodes learn of each other, agree on who owns an engine, place a completion on it, and the
//! example plays the engine. Run it with `cargo run -p hyssopscale-logic --example region`.

use std::collections::VecDeque;
use std::time::Duration;

use logic::{Action, Config, Event, Node};
use placement::event::{Fencing, Request, Store, Upstream, UpstreamState};
use wire::{Frame, Incarnation, Machine, Model, Priority, Time};

const VMS: [&str; 3] = ["vm-1", "vm-2", "vm-3"];
const STEP: Duration = Duration::from_millis(10);
const RUN: Duration = Duration::from_secs(12);
const ASK_AT: Duration = Duration::from_secs(8);

fn node(index: usize) -> Node {
    let me = Incarnation::new(VMS[index], index as u64 + 1);
    Node::new(Config {
        me,
        zone: "zone".into(),
        manifest: "manifest".into(),
        seed: index as u64,
        placement: placement::settings::Settings::default(),
        once: once::participant::Config::default(),
        admission: admission::Config::default(),
        poison: dispatch::poison::Config::default(),
    })
}

fn facts() -> Vec<Event> {
    let members = VMS.map(|vm| roster::Member {
        vm: vm.into(),
        zone: "zone".into(),
        leaving: false,
    });
    let engine = Upstream {
        id: "engine-1".into(),
        pool: "engines".into(),
        base: "base".into(),
        zone: "zone".into(),
        store: "store".into(),
        slots: 4,
        max_batch: 16,
        fencing: Fencing::RefusesOld,
        state: UpstreamState::Live,
    };
    let store = Store {
        id: "store".into(),
        rate: 2.4,
        in_flight: 8,
        load: Duration::from_millis(250),
    };
    vec![
        Event::List {
            members: members.to_vec(),
            revision: None,
        },
        Event::Placement(placement::Event::Stores(vec![store])),
        Event::Placement(placement::Event::Upstreams(vec![engine])),
    ]
}

fn request() -> Event {
    Event::Placement(placement::Event::Request(Request {
        id: 1,
        model: Model::new("greeting", "v1"),
        base: "base".into(),
        pool: "engines".into(),
        path: "greeting/v1".into(),
        priority: Priority::Urgent,
        deadline: RUN,
        prefix: None,
        avoid: Vec::new(),
    }))
}

/// The nodes and the frames between them.
struct Region {
    now: Time,
    nodes: Vec<Node>,
    frames: VecDeque<Frame>,
}

impl Region {
    fn feed(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[index].step(self.now, event, &mut actions);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let now = self.now;
        match action {
            Action::Frame(frame) => self.frames.push_back(frame),
            Action::Placement(placement::Action::Load {
                upstream,
                instance,
                fence,
                ..
            }) => {
                println!("{now:?} {} loads {instance} on {upstream}", VMS[index]);
                let loaded = placement::Event::Loaded {
                    upstream,
                    instance,
                    fence,
                };
                self.feed(index, Event::Placement(loaded));
            }
            Action::Placement(placement::Action::Grant {
                upstream, instance, ..
            }) => {
                println!("{now:?} {} may run on {instance} at {upstream}", VMS[index]);
            }
            Action::Placement(placement::Action::Refuse { reason, .. }) => {
                println!("{now:?} {} is refused: {reason}", VMS[index]);
            }
            Action::View(view) => {
                println!(
                    "{now:?} {} sees {} nodes live",
                    VMS[index],
                    view.live().count()
                );
            }
            _ => {}
        }
    }

    /// Delivers every frame that is under way.
    fn deliver(&mut self) {
        while let Some(frame) = self.frames.pop_front() {
            if let Some(index) = VMS.iter().position(|vm| *vm == &*frame.to) {
                self.feed(index, Event::Frame(frame));
            }
        }
    }
}

fn main() {
    let nodes = (0..VMS.len()).map(node).collect();
    let mut region = Region {
        now: Time::ZERO,
        nodes,
        frames: VecDeque::new(),
    };
    for index in 0..VMS.len() {
        for event in facts() {
            region.feed(index, event);
        }
    }
    let mut asked = false;
    while region.now < RUN {
        region.now += STEP;
        for index in 0..VMS.len() {
            region.feed(index, Event::Tick);
        }
        if region.now >= ASK_AT && !asked {
            asked = true;
            region.feed(0, request());
        }
        region.deliver();
    }
}
