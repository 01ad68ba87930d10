//! The naive version of the whole: callers go straight to engines and services, evict whatever is
//! in their way and retry whatever fails. It runs under the same schedule as seven nodes, and the
//! same checker reads both runs.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use hyper::HeaderMap;
use serde_json::Map;
use standin::caller::{Caller, Entry};
use standin::checker::{Ask, Evidence, Outcome, Promise, What};
use standin::fleet::{self, Fleet};
use standin::log::now_us;
use standin::schedule::{self, Nodes, Schedule, Shape};
use standin::workload::{Generator, Pace};
use support::{CALLERS, Cluster, Run, breaches, mix, pace, site_config, summary};
use tokio::time::{Instant, sleep};
use upstream::engine::{Answer, Completion, Event, Http, Instance, Load, Unload};
use upstream::{Engine, Error, Limits};

const SPAN: Duration = Duration::from_secs(10);
const SEED: u64 = 5;
const LIMIT: Duration = Duration::from_secs(40);

/// Promises that the naive version has to break for the comparison to mean something.
const BROKEN: [Promise; 3] = [
    Promise::NoEvictionInUse,
    Promise::WholeOwnAnswer,
    Promise::AtMostOnce,
];

/// There are no nodes that anything could happen to.
struct Nobody;

impl Nodes for Nobody {
    async fn pause(&mut self, _: usize) {}

    async fn resume(&mut self, _: usize) {}

    async fn kill(&mut self, _: usize) {}

    async fn shutdown(&mut self, _: usize) {}

    async fn start(&mut self, _: usize) {}
}

/// One naive caller.
struct Naive {
    name: String,
    caller: Caller,
    engines: Vec<Http>,
    services: Vec<Entry>,
    turn: usize,
}

impl Naive {
    fn new(fleet: &Fleet, number: usize) -> Self {
        let name = format!("c{number}");
        let engine = |(number, server): (usize, &standin::engine::Server)| {
            let limits = Limits::default();
            Http::new(format!("engine-{number}"), server.address(), limits, LIMIT)
        };
        let service = |server: &standin::service::Server| Entry {
            node: "none".into(),
            address: server.address(),
        };
        Self {
            caller: Caller::new(&*name, HeaderMap::new(), LIMIT),
            name,
            engines: fleet.site.engines.iter().enumerate().map(engine).collect(),
            services: fleet.site.services.iter().map(service).collect(),
            turn: number,
        }
    }

    async fn drive(mut self, mut generator: Generator, pace: Pace) -> Vec<Ask> {
        let begun = Instant::now();
        let mut asks = Vec::new();
        while begun.elapsed() < pace.span {
            let what = generator.next_request();
            for _ in 0..pace.tries {
                self.turn += 1;
                let ask = self.ask(what.clone()).await;
                let done = matches!(ask.outcome, Outcome::Answered(_));
                asks.push(ask);
                if done {
                    break;
                }
                sleep(pace.retry).await;
            }
            sleep(pace.pause).await;
        }
        asks
    }

    async fn ask(&self, what: What) -> Ask {
        if let What::Call { .. } = what {
            let service = &self.services[self.turn % self.services.len()];
            return self.caller.ask(service, what).await;
        }
        let at_us = now_us();
        let request = format!("{}-{at_us:x}", self.name);
        let mut text = String::new();
        let outcome = match self.complete(&what, &request, &mut text).await {
            Ok(()) => Outcome::Answered(text),
            Err(_) if text.is_empty() => Outcome::Failed,
            Err(_) => Outcome::Cut(text),
        };
        Ask {
            request,
            caller: self.name.clone(),
            node: "none".into(),
            at_us,
            until_us: now_us(),
            what,
            outcome,
        }
    }

    async fn complete(&self, what: &What, request: &str, text: &mut String) -> Result<(), Error> {
        let What::Completion {
            model,
            prompt,
            tokens,
            priority,
        } = what
        else {
            return Ok(());
        };
        let engine = self.least_loaded().await;
        let completion = Completion {
            instance: self.instance(engine, model).await?,
            prompt: prompt.clone(),
            max_tokens: *tokens as u32,
            priority: *priority,
            attempt: request.into(),
            caller: (&*self.name).into(),
            offset: 0,
            parameters: Map::new(),
        };
        let mut answer = engine.complete(completion).await?;
        while let Some(event) = answer.next().await? {
            if let Event::Token { text: token, .. } = event {
                text.push_str(&token);
            }
        }
        Ok(())
    }

    /// Returns the first of the engines that report the least load; reports lag.
    async fn least_loaded(&self) -> &Http {
        let mut least = (u32::MAX, &self.engines[0]);
        for engine in &self.engines {
            let load = match engine.report().await {
                Ok(report) => report.running + report.waiting + report.loading,
                Err(_) => continue,
            };
            if load < least.0 {
                least = (load, engine);
            }
        }
        least.1
    }

    /// Returns an instance of the model, loaded in place of another one where no slot is free.
    async fn instance(&self, engine: &Http, model: &str) -> Result<Instance, Error> {
        let report = engine.report().await?;
        let residents = engine.models().await?;
        let of_model = format!("{model}#");
        if let Some(here) = residents
            .iter()
            .find(|one| one.instance.starts_with(&of_model))
        {
            return Ok(here.instance.clone());
        }
        let other = residents.iter().find(|one| one.instance.contains('#'));
        if let Some(other) = other.filter(|_| report.used_slots >= report.slots) {
            let instance = other.instance.clone();
            let fence = now_us();
            engine.unload(Unload { instance, fence }).await?;
        }
        let instance: Instance = format!("{of_model}{}", now_us()).into();
        let order = Load {
            instance: instance.clone(),
            path: model.replace('@', "/"),
            base: "traction-base".into(),
            fence: now_us(),
        };
        engine.load(order).await?;
        Ok(instance)
    }
}

async fn naive(run: &Run) -> Evidence {
    let config = fleet::Config {
        site: site_config(),
        seed: run.seed,
        ..fleet::Config::default()
    };
    let fleet = Fleet::start(config).await.unwrap();
    let callers: Vec<_> = (1..=CALLERS)
        .map(|number| {
            let seed = run.seed * 1_000 + number as u64;
            let generator = Generator::new(mix(String::new()), format!("c{number}"), seed);
            tokio::spawn(Naive::new(&fleet, number).drive(generator, pace(run)))
        })
        .collect();
    schedule::run(&run.schedule, &fleet, &mut Nobody).await;
    let mut asks = Vec::new();
    for caller in callers {
        asks.extend(caller.await.unwrap());
    }
    Evidence {
        entries: fleet.site.entries(),
        asks,
        nodes: Vec::new(),
    }
}

fn counts(evidence: &Evidence) -> BTreeMap<Promise, usize> {
    let mut counts = BTreeMap::new();
    for breach in breaches(evidence) {
        *counts.entry(breach.promise).or_default() += 1;
    }
    counts
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn naive_breaks_what_nodes_keep() {
    let seed = SEED;
    let shape = Shape {
        nodes: 7,
        engines: 9,
        services: 3,
        span: SPAN,
        faults: 16,
        longest: Duration::from_secs(5),
        impaired: 2,
    };
    let run = Run {
        schedule: Schedule::new(&shape, seed),
        span: SPAN,
        seed,
    };
    let plain = naive(&run).await;
    let ours = Cluster::start(seed).await.run(&run).await;
    let (theirs, kept) = (counts(&plain), counts(&ours));
    println!("seed {seed}, naive: {theirs:?}; {}", summary(&plain));
    println!("seed {seed}, nodes: {kept:?}; {}", summary(&ours));
    for promise in BROKEN {
        assert!(theirs.contains_key(&promise), "naive keeps {promise:?}");
        assert_eq!(kept.get(&promise), None, "nodes break {promise:?}");
    }
}
