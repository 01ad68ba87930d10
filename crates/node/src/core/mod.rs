//! The actor that drives a node's decision makers.
//!
//! [`Handle`] is how the rest of the node talks to it. The actor passes each [`Input`] to
//! `logic::Node`, and `perform` carries out what comes back: frames go to the outbox, orders to
//! engines and reads of the platform to tasks of their own, grants and refusals to the requests
//! that wait for them. No input makes the actor wait for I/O, so that no request waits in its
//! mailbox behind another one's.

mod begin;
pub mod calendar;
mod input;
mod orders;
mod perform;
mod source;
mod status;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use dispatch::poison::{self, Fingerprint, FingerprintStatus};
use logic::Event;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc, oneshot, watch};
use wire::{Frame, Machine, Request, Revision, Time, Upstream};

pub use input::{Admitted, Grant, Input, Placed, Ruling, Vetted};
pub(crate) use orders::poll_engines;
pub(crate) use perform::sign_leaving;
pub use status::{Owned, PeerStatus, Resident, Status, StoreStatus, UpstreamStatus, Wait};

use crate::directory::Directory;
use crate::peer::Outbox;
use crate::shared::Shared;

/// Sends inputs to the core.
#[derive(Clone)]
pub struct Handle {
    actor: ActorRef<Input>,
}

/// What the core is made from.
pub struct Arguments {
    /// The node's shared state.
    pub shared: Arc<Shared>,
    /// The decision makers.
    pub logic: logic::Node,
    /// The connections to the peers.
    pub outbox: Outbox,
    /// The platform.
    pub source: Arc<platform::Http>,
}

/// Starts the core.
///
/// # Errors
///
/// Returns the actor library's error where the actor does not start.
pub async fn start(arguments: Arguments) -> Result<Handle, ractor::SpawnErr> {
    let (actor, _) = Actor::spawn(None, Core, arguments).await?;
    Ok(Handle { actor })
}

impl Handle {
    /// Sends an input; it is lost where the core has stopped, as in a crash.
    pub fn send(&self, input: Input) {
        if self.actor.cast(input).is_err() {
            log::debug!("core has stopped; an input is dropped");
        }
    }

    /// Takes a frame in.
    pub fn receive(&self, frame: Frame) {
        self.send(Input::Logic(Event::Frame(frame)));
    }

    /// Places a request; `None` where the core has stopped.
    pub async fn place(&self, request: placement::event::Request) -> Option<Placed> {
        let (reply, placed) = oneshot::channel();
        self.send(Input::Place { request, reply });
        placed.await.ok()
    }

    /// Places a granted request anew, which did not run since the engine lacks its instance.
    pub async fn place_again(&self, request: Request) -> Option<Placed> {
        let (reply, placed) = oneshot::channel();
        self.send(Input::Missing { request, reply });
        placed.await.ok()
    }

    /// Asks for admission; `None` where the core has stopped.
    pub async fn admit(&self, arrival: admission::Arrival) -> Option<Admitted> {
        let (reply, admitted) = oneshot::channel();
        self.send(Input::Admit { arrival, reply });
        admitted.await.ok()
    }

    /// Returns the only upstream of `pool` that a request may go to, where it is a suspect.
    pub async fn confine(&self, print: Fingerprint, pool: Vec<Upstream>) -> Option<Upstream> {
        let (reply, ward) = oneshot::channel();
        self.send(Input::Confine { print, pool, reply });
        ward.await.ok().flatten()
    }

    /// Asks whether a request may go to an upstream; `None` where the core has stopped.
    pub async fn vet(
        &self,
        request: Request,
        print: Fingerprint,
        upstream: Upstream,
    ) -> Option<Vetted> {
        let (reply, vetted) = oneshot::channel();
        self.send(Input::Vet {
            request,
            print,
            upstream,
            reply,
        });
        vetted.await.ok()
    }

    /// Starts a call that may not be repeated; the rulings follow one after the other.
    pub fn begin(&self, event: once::Event) -> mpsc::UnboundedReceiver<Ruling> {
        let (reply, rulings) = mpsc::unbounded_channel();
        self.send(Input::Begin { event, reply });
        rulings
    }

    /// Asks whether the first byte of a call may be written now.
    pub async fn permit(&self, request: Request) -> bool {
        let (reply, permitted) = oneshot::channel();
        self.send(Input::PermitCall { request, reply });
        permitted.await.unwrap_or(false)
    }

    /// Returns what the node knows; `None` where the core has stopped.
    pub async fn status(&self) -> Option<Status> {
        let (reply, status) = oneshot::channel();
        self.send(Input::Status(reply));
        status.await.ok()
    }

    /// Returns the upstreams that a request for `model` would be tried on, in their order, and how
    /// many of them are its homes; `None` where the core has stopped.
    pub async fn rank(&self, choice: &rules::ModelRoute<'_>) -> Option<(Vec<Upstream>, usize)> {
        let (reply, ranking) = oneshot::channel();
        self.send(Input::Rank {
            model: choice.model.clone(),
            pool: choice.pool.clone(),
            base: choice.base.clone(),
            reply,
        });
        ranking.await.ok()
    }

    /// Returns what the node knows of a call; `None` where the core has stopped.
    pub async fn lookup(&self, key: once::Key) -> Option<once::Lookup> {
        let (reply, found) = oneshot::channel();
        self.send(Input::Lookup { key, reply });
        found.await.ok()
    }

    /// Tells whether nothing is left to hand over to peers.
    pub async fn idle(&self) -> bool {
        let (reply, idle) = oneshot::channel();
        self.send(Input::Idle(reply));
        idle.await.unwrap_or(true)
    }
}

struct Core;

/// What the actor keeps.
struct State {
    shared: Arc<Shared>,
    handle: Handle,
    logic: logic::Node,
    outbox: Outbox,
    source: Arc<platform::Http>,
    placing: HashMap<Request, oneshot::Sender<Placed>>,
    admitting: HashMap<Request, oneshot::Sender<Admitted>>,
    vetting: HashMap<Request, oneshot::Sender<Vetted>>,
    calls: HashMap<Request, mpsc::UnboundedSender<Ruling>>,
    /// Calls that wait for witnesses.
    early: Vec<begin::Early>,
    /// Time at which membership first counted this process as fit.
    fit_at: Option<Time>,
    checked: BTreeMap<Revision, Arc<rules::RuleSet>>,
    /// The directory as listed, without what is known of leaving upstreams.
    listed: Directory,
    leaving: Vec<Upstream>,
    down: Vec<Upstream>,
    refused: Option<(Revision, String)>,
    /// Time at which the revision in force was adopted.
    adopted: Option<Time>,
    /// Time of the last successful reading of the list of VMs.
    listed_at: Option<Time>,
    wake: watch::Sender<Option<Time>>,
}

impl Actor for Core {
    type Msg = Input;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Input>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let Arguments {
            shared,
            logic,
            outbox,
            source,
        } = arguments;
        let handle = Handle { actor: myself };
        let (wake, wakes) = watch::channel(Some(Time::ZERO));
        tokio::spawn(run_timer(shared.clone(), handle.clone(), wakes));
        tokio::spawn(calendar::watch(shared.clone(), handle.clone()));
        tokio::spawn(source::poll_members(
            shared.clone(),
            handle.clone(),
            source.clone(),
        ));
        let mut state = State {
            shared,
            handle,
            logic,
            outbox,
            source,
            placing: HashMap::new(),
            admitting: HashMap::new(),
            vetting: HashMap::new(),
            calls: HashMap::new(),
            early: Vec::new(),
            fit_at: None,
            checked: BTreeMap::new(),
            listed: Directory::default(),
            leaving: Vec::new(),
            down: Vec::new(),
            refused: None,
            adopted: None,
            listed_at: None,
            wake,
        };
        state.start();
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Input>,
        input: Input,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.take(input);
        state.begin_early();
        state.meet();
        state.show_ticket();
        state.wake.send_replace(state.wake_time());
        Ok(())
    }
}

impl State {
    /// Tells the machines the facts that come from the settings.
    fn start(&mut self) {
        let stores =
            self.shared
                .settings
                .stores
                .iter()
                .map(|(id, store)| placement::event::Store {
                    id: id.as_str().into(),
                    rate: store.loads_per_second,
                    in_flight: store.in_flight,
                    load: store.load_time,
                });
        let stores = placement::Event::Stores(stores.collect());
        self.step(Event::Placement(stores));
        self.step(Event::Tick);
    }

    /// Passes one event to the machines and carries out what they want.
    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.logic
            .step(self.shared.clock.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn show_ticket(&self) {
        let ticket = self.logic.once().ticket();
        if self.shared.ticket() != ticket {
            self.shared.ticket.store(ticket.map(Arc::new));
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Logic(event) => self.step(event),
            Input::List(list) => self.take_list(&list),
            Input::Place { request, reply } => {
                self.placing.insert(request.id, reply);
                self.step(Event::Placement(placement::Event::Request(request)));
            }
            Input::Missing { request, reply } => {
                self.placing.insert(request, reply);
                self.step(Event::Placement(placement::Event::InstanceMissing {
                    request,
                }));
            }
            Input::Admit { arrival, reply } => {
                self.admitting.insert(arrival.request, reply);
                self.step(Event::Admission(admission::Event::Arrive(arrival)));
            }
            Input::Confine { print, pool, reply } => {
                let poison = self.logic.poison();
                let suspect = poison.status(print) == FingerprintStatus::Suspect;
                let ward = poison.isolation_upstream(print, &pool).filter(|_| suspect);
                let _ = reply.send(ward.cloned());
            }
            Input::Vet {
                request,
                print,
                upstream,
                reply,
            } => {
                self.vetting.insert(request, reply);
                let arrive = poison::Event::Dispatch {
                    request,
                    fingerprint: print,
                    upstream,
                };
                self.step(Event::Poison(arrive));
            }
            Input::Begin { event, reply } => self.take_begin(event, reply),
            Input::PermitCall { request, reply } => {
                let permitted = self.logic.permit_call(self.shared.clock.now(), request);
                // The asker may have gone, and then nothing is sent.
                let _ = reply.send(permitted);
            }
            Input::PermitOrder {
                upstream,
                fence,
                reply,
            } => {
                let now = self.shared.clock.now();
                let _ = reply.send(self.logic.permit_order(now, &upstream, fence));
            }
            Input::Parsed { revision, result } => self.take_parsed(revision, result),
            Input::Reach { upstream, reached } => self.take_reach(upstream, reached),
            Input::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Input::Rank {
                model,
                pool,
                base,
                reply,
            } => {
                let _ = reply.send(self.logic.placement().ranking(&model, &pool, &base));
            }
            Input::Lookup { key, reply } => {
                let now = self.shared.clock.now();
                let _ = reply.send(self.logic.once().lookup(now, &key));
            }
            Input::Idle(reply) => {
                let _ = reply.send(self.logic.once().is_drained());
            }
            Input::Leave => self.step(Event::Leave),
        }
    }
}

/// Sends a tick whenever the machines want one.
async fn run_timer(shared: Arc<Shared>, handle: Handle, mut wakes: watch::Receiver<Option<Time>>) {
    loop {
        let due = *wakes.borrow_and_update();
        let sleep = async {
            match due {
                Some(time) => tokio::time::sleep_until(shared.clock.instant(time)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => {
                handle.send(Input::Logic(Event::Tick));
                // The next wake time is known once the tick has been taken.
                if wakes.changed().await.is_err() {
                    return;
                }
            }
            changed = wakes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
