//! How long loads take, alone and together.

use std::time::Duration;

use rstest::rstest;
use standin::engine::Store;
use standin::engine::store::Config;
use tokio::time::Instant;

async fn times(store: &Store, loads: usize, per_engine: usize) -> Vec<f64> {
    let begun = Instant::now();
    let tasks: Vec<_> = (0..loads)
        .map(|_| {
            let store = store.clone();
            tokio::spawn(async move {
                store.load(|| per_engine).await;
                begun.elapsed().as_secs_f64()
            })
        })
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.push(task.await.unwrap());
    }
    times
}

fn store(rate: f64, burst: u32) -> Store {
    Store::new(Config {
        load: Duration::from_millis(250),
        rate,
        burst,
    })
}

#[rstest]
#[case::alone(1, 1, 0.25)]
#[case::eight_in_flight(8, 1, 0.25)]
#[case::twice_as_many(16, 1, 0.5)]
#[case::three_times_as_many(24, 1, 0.75)]
#[case::two_on_one_engine(2, 2, 0.5)]
#[case::both(16, 2, 1.0)]
#[tokio::test(start_paused = true)]
async fn load_slows_in_proportion(
    #[case] loads: usize,
    #[case] per_engine: usize,
    #[case] expected: f64,
) {
    let store = store(0.0, 1);
    for time in times(&store, loads, per_engine).await {
        assert!(
            (time - expected).abs() < 0.02 * expected,
            "{time} s, not {expected} s"
        );
    }
    let counts = store.counts();
    assert_eq!((counts.begun, counts.peak), (loads as u64, loads));
}

#[rstest]
#[case::queensland(2.4)]
#[case::ghana(2.8)]
#[tokio::test(start_paused = true)]
async fn rate_holds_back_what_exceeds_the_burst(#[case] rate: f64) {
    let store = store(rate, 3);
    let mut times = times(&store, 8, 1).await;
    times.sort_by(f64::total_cmp);
    for (index, time) in times.iter().enumerate() {
        let expected = index.saturating_sub(2) as f64 / rate + 0.25;
        assert!(
            (time - expected).abs() < 0.02,
            "load {index}: {time} s, not {expected} s"
        );
    }
    assert_eq!(store.counts().delayed, 5);
}

#[tokio::test(start_paused = true)]
async fn abandoned_load_leaves_the_flight() {
    let store = store(0.0, 1);
    let limit = Duration::from_millis(10);
    for _ in 0..8 {
        assert!(tokio::time::timeout(limit, store.load(|| 1)).await.is_err());
    }
    let time = times(&store, 8, 1).await[0];
    assert!((time - 0.25).abs() < 0.005, "{time} s");
}
