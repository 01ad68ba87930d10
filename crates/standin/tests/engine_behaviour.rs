//! The engine's stand-in as its driver sees it.

use std::time::Duration;

use rstest::rstest;
use serde_json::Map;
use standin::answer;
use standin::engine::{Config, Faults, Loads, Server, Store, store};
use standin::log::{End, Kind};
use tokio::time::{Instant, sleep, timeout};
use upstream::engine::{Answer, Change, Completion, Event, Http, Load, Role, Stream, Unload};
use upstream::{Engine, Error, Limits, Reach};
use wire::Priority;

const PATIENT: Duration = Duration::from_secs(30);

struct Site {
    server: Server,
    driver: Http,
}

async fn site(change: impl FnOnce(&mut Config)) -> Site {
    site_loading_in(Duration::from_millis(20), change).await
}

async fn site_loading_in(load: Duration, change: impl FnOnce(&mut Config)) -> Site {
    let mut config = Config::new("engine-1");
    config.step = Duration::from_millis(2);
    config.cold_start = Duration::from_millis(100);
    change(&mut config);
    let store = Store::new(store::Config {
        load,
        rate: 0.0,
        burst: 1,
    });
    let server = Server::start(config, store).await.unwrap();
    let driver = Http::new("engine-1", server.address(), Limits::default(), PATIENT);
    Site { server, driver }
}

fn load(instance: &str, fence: u64) -> Load {
    Load {
        instance: instance.into(),
        path: format!(
            "store://weights/{}",
            instance.split('#').next().unwrap().replace('@', "/")
        ),
        base: "base".into(),
        fence,
    }
}

fn unload(instance: &str, fence: u64) -> Unload {
    let instance = instance.into();
    Unload { instance, fence }
}

fn ask(instance: &str, prompt: &str, tokens: u32) -> Completion {
    Completion {
        instance: instance.into(),
        prompt: prompt.into(),
        max_tokens: tokens,
        priority: Priority::Normal,
        attempt: format!("attempt of {prompt}").into(),
        caller: "depot".into(),
        offset: 0,
        parameters: Map::new(),
    }
}

async fn read(mut stream: Stream) -> Result<String, Error> {
    let mut text = String::new();
    while let Some(event) = stream.next().await? {
        if let Event::Token { text: token, .. } = event {
            text.push_str(&token);
        }
    }
    Ok(text)
}

async fn begin(site: &Site, completion: Completion) -> Stream {
    let mut stream = site.driver.complete(completion).await.unwrap();
    while !matches!(stream.next().await.unwrap(), Some(Event::Token { .. })) {}
    stream
}

async fn until(condition: impl Fn() -> bool) {
    let met = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENT, met)
        .await
        .expect("the condition is met in time");
}

fn ends(site: &Site) -> Vec<End> {
    let entries = site.server.log().entries().into_iter();
    let ends = entries.filter_map(|entry| match entry.kind {
        Kind::Finish { end, .. } => Some(end),
        _ => None,
    });
    ends.collect()
}

#[tokio::test]
async fn answer_is_of_the_loaded_version() {
    let site = site(|_| ()).await;
    for instance in ["fit@v1#7", "fit@v2#7"] {
        let absent = site
            .driver
            .complete(ask(instance, "p", 5))
            .await
            .unwrap_err();
        assert!(matches!(absent, Error::Absent { .. }));
        site.driver.load(load(instance, 7)).await.unwrap();
        let text = read(site.driver.complete(ask(instance, "p", 5)).await.unwrap())
            .await
            .unwrap();
        assert_eq!(text, answer::text(&instance[..6], "p", 5));
    }
    assert_ne!(
        answer::text("fit@v1", "p", 5),
        answer::text("fit@v2", "p", 5)
    );
    let residents = site.driver.models().await.unwrap();
    let names: Vec<&str> = residents.iter().map(|one| &*one.instance).collect();
    assert_eq!(names, ["base", "fit@v1#7", "fit@v2#7"]);
    assert_eq!(residents[1].fence, Some(7));
}

#[tokio::test]
async fn resumed_answer_goes_on_at_its_offset() {
    let site = site(|_| ()).await;
    let whole = answer::text("base", "p", 9);
    let mut rest = ask("base", "p", 9);
    rest.offset = 4;
    let rest = read(site.driver.complete(rest).await.unwrap())
        .await
        .unwrap();
    assert_eq!(rest, whole[answer::text("base", "p", 4).len()..]);
}

#[rstest]
#[case::checking(true)]
#[case::ignoring(false)]
#[tokio::test]
async fn old_fence_is_refused_where_it_is_checked(#[case] check: bool) {
    let site = site(|config| config.check_fence = check).await;
    site.driver.load(load("a@1", 5)).await.unwrap();
    let late = [
        site.driver.load(load("b@1", 4)).await,
        site.driver.unload(unload("a@1", 4)).await,
        site.driver.assign(Role::Mixed, 4).await,
    ];
    for order in late {
        match order {
            Err(Error::Fenced { fence: 4, .. }) => assert!(check),
            Ok(()) => assert!(!check),
            other => panic!("{other:?}"),
        }
    }
    site.driver.load(load("c@1", 5)).await.unwrap();
    site.driver.assign(Role::Prefill, 5).await.unwrap();
    sleep(Duration::from_millis(250)).await;
    let report = site.driver.report().await.unwrap();
    assert_eq!(
        (report.role, report.fence),
        (Some(Role::Prefill), check.then_some(5))
    );
}

#[tokio::test]
async fn slots_are_limited_and_names_unique() {
    let site = site(|config| config.slots = 2).await;
    site.driver.load(load("a@1", 1)).await.unwrap();
    site.driver.load(load("a@1", 1)).await.unwrap();
    let mut other = load("a@1", 1);
    other.path = "store://weights/b/1".into();
    let refused = |error: Error| matches!(error, Error::Refused { status: 400, .. });
    assert!(refused(site.driver.load(other).await.unwrap_err()));
    site.driver.load(load("b@1", 1)).await.unwrap();
    assert!(refused(site.driver.load(load("c@1", 1)).await.unwrap_err()));
    site.driver.unload(unload("a@1", 1)).await.unwrap();
    assert!(matches!(
        site.driver.unload(unload("a@1", 1)).await,
        Err(Error::Absent { .. })
    ));
    site.driver.load(load("c@1", 1)).await.unwrap();
    assert_eq!(site.server.totals().evicted_in_use, 0);
}

#[tokio::test]
async fn eviction_in_use_is_flagged() {
    let site = site(|_| ()).await;
    site.driver.load(load("a@1", 1)).await.unwrap();
    let stream = begin(&site, ask("a@1", "p", 90_000)).await;
    assert_eq!(site.driver.models().await.unwrap()[1].in_use, Some(1));
    site.driver.unload(unload("a@1", 1)).await.unwrap();
    assert!(matches!(read(stream).await, Err(Error::Failed { .. })));
    assert_eq!(site.server.totals().evicted_in_use, 1);
    let flagged = |kind: &Kind| {
        matches!(
            kind,
            Kind::Unloaded {
                evicted_in_use: true,
                in_use: 1,
                ..
            }
        )
    };
    assert!(
        site.server
            .log()
            .entries()
            .iter()
            .any(|entry| flagged(&entry.kind))
    );
}

#[tokio::test]
async fn marked_request_crashes_the_engine() {
    let site = site(|_| ()).await;
    site.driver.load(load("a@1", 9)).await.unwrap();
    let innocent = begin(&site, ask("a@1", "innocent", 90_000)).await;
    let begun = Instant::now();
    let poison = match site.driver.complete(ask("base", "say <crash>", 5)).await {
        Ok(stream) => read(stream).await.unwrap_err(),
        Err(error) => error,
    };
    assert_eq!(poison.reach(), Reach::MaybeSent);
    assert!(matches!(read(innocent).await, Err(Error::Cut { .. })));
    let down = site.driver.report().await.unwrap_err();
    assert_eq!(
        down.reach(),
        Reach::NotSent,
        "connections are refused: {down:?}"
    );
    while site.driver.models().await.is_err() {
        sleep(Duration::from_millis(5)).await;
        assert!(begun.elapsed() < PATIENT);
    }
    assert!(begun.elapsed() >= Duration::from_millis(100));
    assert_eq!(
        site.driver.models().await.unwrap().len(),
        1,
        "residents are lost"
    );
    assert_eq!(site.server.totals().crashes, 1);
    assert_eq!(ends(&site), [End::Crashed, End::Crashed]);
    // The fencing number is forgotten with the rest.
    site.driver.load(load("a@1", 1)).await.unwrap();
}

#[tokio::test]
async fn urgent_requests_go_first() {
    let site = site(|config| config.max_batch = 1).await;
    let running = begin(&site, ask("base", "running", 90_000)).await;
    let mut routine = ask("base", "routine", 3);
    routine.priority = Priority::Routine;
    let routine = site.driver.complete(routine).await.unwrap();
    let mut urgent = ask("base", "urgent", 3);
    urgent.priority = Priority::Urgent;
    let urgent = site.driver.complete(urgent).await.unwrap();
    // The full batch makes room for it.
    assert_eq!(
        read(urgent).await.unwrap(),
        answer::text("base", "urgent", 3)
    );
    drop(running);
    assert_eq!(
        read(routine).await.unwrap(),
        answer::text("base", "routine", 3)
    );
    let entries = site.server.log().entries();
    let admitted = entries.iter().filter_map(|entry| match &entry.kind {
        Kind::Admit {
            ticket, waiting, ..
        } => Some((&*ticket.attempt, waiting.len())),
        _ => None,
    });
    let order: Vec<_> = admitted.collect();
    assert_eq!(
        order,
        [
            ("attempt of running", 0),
            ("attempt of urgent", 2),
            ("attempt of routine", 0)
        ]
    );
}

#[tokio::test]
async fn batch_grows_and_shrinks_between_steps() {
    let site = site(|config| config.max_batch = 4).await;
    let mut streams = Vec::new();
    for number in 0..4 {
        streams.push(begin(&site, ask("base", &format!("p{number}"), 60)).await);
    }
    for stream in streams {
        read(stream).await.unwrap();
    }
    let totals = site.server.totals();
    assert_eq!(totals.tokens, 240);
    assert!(
        totals.peak_batch > 1 && totals.peak_batch <= 4,
        "{totals:?}"
    );
    assert!(totals.steps < 240, "the sequences shared steps: {totals:?}");
}

#[rstest]
#[case::by_dropping(false)]
#[case::by_order(true)]
#[tokio::test]
async fn cancelled_work_ends(#[case] order: bool) {
    let site = site(|_| ()).await;
    let stream = begin(&site, ask("base", "p", 90_000)).await;
    if order {
        site.driver.cancel("attempt of p").await.unwrap();
        assert!(matches!(read(stream).await, Err(Error::Cut { .. })));
    } else {
        drop(stream);
    }
    until(|| ends(&site) == [End::Cancelled]).await;
}

#[rstest]
#[case::closed(Faults { close_before_head: true, ..Faults::default() }, "broken")]
#[case::cut(Faults { cut_after: Some(3), ..Faults::default() }, "cut 3")]
#[case::ends_early(Faults { end_early: Some(3), ..Faults::default() }, "cut 3")]
#[case::crossed(Faults { crossed: true, ..Faults::default() }, "cut 0")]
#[case::leaving(Faults { leaving: true, ..Faults::default() }, "leaving")]
#[tokio::test]
async fn faulty_answer_is_noticed(#[case] faults: Faults, #[case] expected: &str) {
    let site = site(|_| ()).await;
    site.server.set_faults(faults);
    let outcome = match site.driver.complete(ask("base", "p", 9)).await {
        Ok(stream) => read(stream).await.map(drop),
        Err(error) => Err(error),
    };
    let outcome = match outcome.unwrap_err() {
        Error::Broken {
            reach: Reach::MaybeSent,
            ..
        } => "broken".to_owned(),
        Error::Cut { offset, .. } => format!("cut {offset}"),
        Error::Leaving { .. } => "leaving".to_owned(),
        other => panic!("{other:?}"),
    };
    assert_eq!(outcome, expected);
    site.server.set_faults(Faults::default());
    read(site.driver.complete(ask("base", "p", 9)).await.unwrap())
        .await
        .unwrap();
}

#[tokio::test]
async fn failed_load_gives_its_slot_back() {
    let site = site(|config| config.slots = 1).await;
    let faults = |loads| Faults {
        loads,
        ..Faults::default()
    };
    site.server.set_faults(faults(Loads::Fail));
    let error = site.driver.load(load("a@1", 1)).await.unwrap_err();
    assert!(matches!(error, Error::Refused { status: 500, .. }));
    site.server.set_faults(faults(Loads::Sound));
    site.driver.load(load("b@1", 1)).await.unwrap();
    site.driver.unload(unload("b@1", 1)).await.unwrap();
    site.server.set_faults(faults(Loads::Hang));
    let hung = timeout(Duration::from_millis(60), site.driver.load(load("c@1", 1))).await;
    assert!(hung.is_err());
    assert_eq!(site.driver.models().await.unwrap().len(), 1);
}

/// A load order that its caller gave up on may be carried out all the same.
#[tokio::test]
async fn abandoned_load_still_arrives() {
    let site = site_loading_in(Duration::from_secs(1), |_| ()).await;
    let quick = Duration::from_millis(200);
    let limits = Limits::default();
    let hasty = Http::new("engine-1", site.server.address(), limits, quick);
    let error = hasty.load(load("a@1", 1)).await.unwrap_err();
    assert_eq!(error.reach(), Reach::MaybeSent);
    until(|| site.server.totals().loads == 1).await;
    assert_eq!(site.driver.models().await.unwrap().len(), 2);
}

#[tokio::test]
async fn report_lags_behind() {
    let lag = Duration::from_millis(150);
    let site = site(|config| config.report_lag = lag).await;
    sleep(lag).await;
    let begun = Instant::now();
    let _stream = begin(&site, ask("base", "p", 90_000)).await;
    let report = site.driver.report().await.unwrap();
    if begun.elapsed() < lag {
        assert_eq!(report.running, 0, "{report:?}");
    }
    sleep(2 * lag).await;
    let report = site.driver.report().await.unwrap();
    assert_eq!((report.running, report.slots, report.max_batch), (1, 8, 16));
    assert!(report.age() >= lag);
}

#[tokio::test]
async fn cache_events_are_late_and_have_gaps() {
    let lag = Duration::from_millis(50);
    let site = site(|config| {
        config.event_lag = lag;
        config.event_loss = 2;
        config.prefixes = 8;
    })
    .await;
    for number in 0..12 {
        let prompt = format!("prompt {number}");
        read(site.driver.complete(ask("base", &prompt, 1)).await.unwrap())
            .await
            .unwrap();
    }
    sleep(lag).await;
    let events = site.driver.events(0).await.unwrap().events;
    let numbers: Vec<u64> = events.iter().map(|event| event.sequence).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    // Twelve prefixes were stored and four of them removed.
    assert!(numbers.len() < 16 && !numbers.is_empty(), "{numbers:?}");
    assert!(
        events
            .iter()
            .any(|event| matches!(event.change, Change::Stored { .. }))
    );
    let last = *numbers.last().unwrap();
    assert!(site.driver.events(last).await.unwrap().events.is_empty());
}

#[tokio::test]
async fn imported_cache_saves_the_prompt() {
    let from = site(|_| ()).await;
    let to = site(|config| config.prefill = 100).await;
    let stream = begin(&from, ask("base", "p", 90_000)).await;
    let cache = from.driver.export("attempt of p").await.unwrap();
    assert!(matches!(
        from.driver.export("other").await,
        Err(Error::Absent { .. })
    ));
    drop(stream);
    assert!(to.driver.import("x", "nonsense".into()).await.is_err());
    to.driver.import("attempt of p", cache).await.unwrap();
    let steps = |site: &Site| site.server.totals().steps;
    read(to.driver.complete(ask("base", "p", 3)).await.unwrap())
        .await
        .unwrap();
    assert_eq!(steps(&to), 3);
    read(to.driver.complete(ask("base", "q", 3)).await.unwrap())
        .await
        .unwrap();
    assert_eq!(steps(&to), 106);
}
