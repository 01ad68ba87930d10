//! Seeded schedules of faults over a [`Fleet`] and its nodes.
//!
//! [`Schedule::new`] draws when which fault begins and ends, [`run`] brings the faults about, and
//! what it did to nodes becomes part of the checker's evidence. Faults overlap freely, but no more
//! nodes are impaired at a time than the shape allows.

use std::future::Future;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

use crate::checker::Node;
use crate::fleet::Fleet;
use crate::log::now_us;
use crate::platform::Mode;
use crate::service::{self, Point};
use crate::{engine, engine::Loads};

/// A fault; the numbers count nodes, engines or services from 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The node's process is stopped, and goes on at the end.
    Pause(usize),
    /// The node's process is killed, and a new one started at the end.
    Kill(usize),
    /// The node is told to shut down, and a new process started at the end.
    Shutdown(usize),
    /// The nodes are cut off from all other nodes, and from nothing else.
    Partition(Vec<usize>),
    /// The node's platform serves what it held at the beginning.
    Stale(usize),
    /// The node's platform answers nothing.
    Down(usize),
    /// The engine restarts cold.
    Restart(usize),
    /// The engine is leaving.
    EngineLeaves(usize),
    /// The service is leaving.
    ServiceLeaves(usize),
    /// The engine's loads fail.
    LoadsFail(usize),
    /// The engine's streams break off.
    StreamsCut(usize),
    /// The engine's answers name another attempt.
    Crossed(usize),
    /// The service's answers break off or are crossed.
    Service(usize, Point),
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time from the schedule's beginning.
    pub at: Duration,
    /// Whether the fault ends here; else it begins.
    pub ends: bool,
    /// The fault.
    pub fault: Fault,
}

/// What a schedule is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of services.
    pub services: usize,
    /// Time of the last beginning of a fault.
    pub span: Duration,
    /// Number of faults.
    pub faults: usize,
    /// Duration of a fault at most.
    pub longest: Duration,
    /// Nodes impaired at a time at most.
    pub impaired: usize,
}

/// Faults in the order of their times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The events.
    pub events: Vec<Event>,
}

/// Kinds of fault that a schedule draws from.
const KINDS: u32 = 13;

impl Schedule {
    /// Draws a schedule; the same seed and shape give the same one.
    pub fn new(shape: &Shape, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut spans: Vec<(Duration, Duration, Fault)> = Vec::new();
        for _ in 0..shape.faults {
            let begin = shape.span.mul_f64(random.random_range(0.0..1.0));
            let end = begin + shape.longest.mul_f64(random.random_range(0.1..1.0));
            let fault = draw(shape, &mut random);
            if fits(&spans, shape, begin, end, &fault) {
                spans.push((begin, end, fault));
            }
        }
        let mut events: Vec<Event> = spans
            .into_iter()
            .flat_map(|(begin, end, fault)| {
                [(begin, false), (end, true)].map(|(at, ends)| Event {
                    at,
                    ends,
                    fault: fault.clone(),
                })
            })
            .collect();
        events.sort_by_key(|event| event.at);
        Self { events }
    }
}

fn draw(shape: &Shape, random: &mut StdRng) -> Fault {
    let node = random.random_range(0..shape.nodes.max(1));
    let engine = random.random_range(0..shape.engines.max(1));
    let service = random.random_range(0..shape.services.max(1));
    match random.random_range(0..KINDS) {
        0 => Fault::Pause(node),
        1 => Fault::Kill(node),
        2 => Fault::Shutdown(node),
        3 => Fault::Partition(vec![node]),
        4 => Fault::Stale(node),
        5 => Fault::Down(node),
        6 => Fault::Restart(engine),
        7 => Fault::EngineLeaves(engine),
        8 => Fault::ServiceLeaves(service),
        9 => Fault::LoadsFail(engine),
        10 => Fault::StreamsCut(engine),
        11 => Fault::Crossed(engine),
        _ => Fault::Service(service, point(random)),
    }
}

fn point(random: &mut StdRng) -> Point {
    let points = [
        Point::BeforeRun,
        Point::BeforeHead,
        Point::InBody,
        Point::Crossed,
    ];
    points[random.random_range(0..points.len())]
}

/// What a fault impairs; two faults do not overlap on the same.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    Nodes(Vec<usize>),
    Platform(usize),
    Engine(usize),
    Service(usize),
}

fn part(fault: &Fault) -> Part {
    match fault {
        Fault::Pause(node) | Fault::Kill(node) | Fault::Shutdown(node) => Part::Nodes(vec![*node]),
        Fault::Partition(nodes) => Part::Nodes(nodes.clone()),
        Fault::Stale(node) | Fault::Down(node) => Part::Platform(*node),
        Fault::Restart(engine)
        | Fault::EngineLeaves(engine)
        | Fault::LoadsFail(engine)
        | Fault::StreamsCut(engine)
        | Fault::Crossed(engine) => Part::Engine(*engine),
        Fault::ServiceLeaves(service) | Fault::Service(service, _) => Part::Service(*service),
    }
}

fn fits(
    spans: &[(Duration, Duration, Fault)],
    shape: &Shape,
    begin: Duration,
    end: Duration,
    fault: &Fault,
) -> bool {
    let own = part(fault);
    let overlapping = spans
        .iter()
        .filter(|(from, until, _)| *from <= end && *until >= begin)
        .map(|(_, _, other)| part(other));
    let mut impaired = Vec::new();
    for other in overlapping {
        match (&other, &own) {
            (Part::Nodes(theirs), Part::Nodes(ours)) => {
                if ours.iter().any(|node| theirs.contains(node)) {
                    return false;
                }
                impaired.extend_from_slice(theirs);
            }
            _ if other == own => return false,
            _ => {}
        }
    }
    let ours = match &own {
        Part::Nodes(ours) => ours.len(),
        Part::Platform(_) | Part::Engine(_) | Part::Service(_) => 0,
    };
    ours == 0 || impaired.len() + ours <= shape.impaired
}

/// The processes of a fleet's nodes.
pub trait Nodes {
    /// Stops the node's process where it stands.
    fn pause(&mut self, node: usize) -> impl Future<Output = ()>;

    /// Lets the node's process go on.
    fn resume(&mut self, node: usize) -> impl Future<Output = ()>;

    /// Kills the node's process.
    fn kill(&mut self, node: usize) -> impl Future<Output = ()>;

    /// Tells the node's process to shut down gracefully.
    fn shutdown(&mut self, node: usize) -> impl Future<Output = ()>;

    /// Starts a new process for the node once the old one has ended. It need not wait for either.
    fn start(&mut self, node: usize) -> impl Future<Output = ()>;
}

/// Brings a schedule about and returns what became of the nodes.
pub async fn run(schedule: &Schedule, fleet: &Fleet, nodes: &mut impl Nodes) -> Vec<Node> {
    let begun = Instant::now();
    let mut seen = Vec::new();
    let mut apart = Vec::new();
    for event in &schedule.events {
        sleep_until(begun + event.at).await;
        match &event.fault {
            Fault::Pause(node) | Fault::Kill(node) | Fault::Shutdown(node) => {
                process(event, *node, fleet, nodes, &mut seen).await;
            }
            Fault::Partition(cut) => {
                apart.retain(|node| !cut.contains(node));
                if !event.ends {
                    apart.extend_from_slice(cut);
                }
                separate(fleet, &apart);
                let at_us = now_us();
                seen.extend(cut.iter().map(|node| turn(fleet, *node, event.ends, at_us)));
            }
            Fault::Stale(node) => set_platform(event, *node, Mode::Stale, fleet),
            Fault::Down(node) => set_platform(event, *node, Mode::Down, fleet),
            _ => upstream(event, fleet),
        }
    }
    seen
}

async fn process(
    event: &Event,
    node: usize,
    fleet: &Fleet,
    nodes: &mut impl Nodes,
    seen: &mut Vec<Node>,
) {
    if !event.ends {
        if matches!(event.fault, Fault::Shutdown(_)) {
            let name = fleet.places[node].vm.clone();
            let at_us = now_us();
            seen.push(Node::Shutdown { node: name, at_us });
        }
        seen.push(turn(fleet, node, false, now_us()));
    }
    match (&event.fault, event.ends) {
        (Fault::Pause(_), false) => nodes.pause(node).await,
        (Fault::Pause(_), true) => nodes.resume(node).await,
        (Fault::Kill(_), false) => nodes.kill(node).await,
        (Fault::Shutdown(_), false) => nodes.shutdown(node).await,
        (_, false) => {}
        (_, true) => nodes.start(node).await,
    }
    if event.ends {
        seen.push(turn(fleet, node, true, now_us()));
    }
}

fn turn(fleet: &Fleet, node: usize, serves: bool, at_us: u64) -> Node {
    let node = fleet.places[node].vm.clone();
    match serves {
        true => Node::Serves { node, at_us },
        false => Node::Gone { node, at_us },
    }
}

/// Puts each node of `apart` in a group of its own and all others in one.
fn separate(fleet: &Fleet, apart: &[usize]) {
    let name = |node: &usize| fleet.places[*node].vm.clone();
    let mut groups: Vec<Vec<String>> = apart.iter().map(|node| vec![name(node)]).collect();
    let rest = (0..fleet.places.len()).filter(|node| !apart.contains(node));
    groups.push(rest.map(|node| name(&node)).collect());
    fleet.partition(groups);
}

fn set_platform(event: &Event, node: usize, mode: Mode, fleet: &Fleet) {
    fleet.set_mode(node, if event.ends { Mode::Normal } else { mode });
}

fn upstream(event: &Event, fleet: &Fleet) {
    match &event.fault {
        Fault::Restart(engine) if !event.ends => fleet.site.engines[*engine].restart(),
        Fault::EngineLeaves(engine)
        | Fault::LoadsFail(engine)
        | Fault::StreamsCut(engine)
        | Fault::Crossed(engine) => {
            fleet.site.engines[*engine].set_faults(engine_faults(event));
        }
        Fault::ServiceLeaves(service) | Fault::Service(service, _) => {
            fleet.site.services[*service].set_faults(service_faults(event));
        }
        _ => {}
    }
}

fn engine_faults(event: &Event) -> engine::Faults {
    let mut faults = engine::Faults::default();
    match event.fault {
        _ if event.ends => {}
        Fault::EngineLeaves(_) => faults.leaving = true,
        Fault::LoadsFail(_) => faults.loads = Loads::Fail,
        Fault::StreamsCut(_) => faults.cut_after = Some(2),
        Fault::Crossed(_) => faults.crossed = true,
        _ => {}
    }
    faults
}

fn service_faults(event: &Event) -> service::Faults {
    let mut faults = service::Faults::default();
    match event.fault {
        _ if event.ends => {}
        Fault::ServiceLeaves(_) => faults.leaving = true,
        Fault::Service(_, point) => faults.point = Some(point),
        _ => {}
    }
    faults
}
