//! The example settings parse as they stand, and with the overrides of each VM.

use rstest::rstest;
use settings::{Driver, Settings};

#[rstest]
#[case("queensland", "qld-south", ["stanthorpe", "warwick", "toowoomba"], 2.4)]
#[case("ghana", "accra", ["osu", "tema", "legon"], 2.8)]
fn example_settings(
    #[case] name: &str,
    #[case] region: &str,
    #[case] zones: [&str; 3],
    #[case] loads_per_second: f64,
) {
    let path = format!("{}/../../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(&*settings.vm.region, region);
    assert!(zones.contains(&&*settings.vm.zone));
    assert_eq!(
        settings.stores["weights"].loads_per_second,
        loads_per_second
    );
    let engines = settings
        .pools
        .values()
        .filter(|pool| pool.driver == Driver::Engine);
    assert_eq!((engines.count(), settings.pools.len()), (1, 2));
    for (index, zone) in zones.iter().cycle().take(7).enumerate() {
        let overrides = [
            ("vm.id", format!("vm-{index}")),
            ("vm.zone", (*zone).to_owned()),
        ]
        .map(|(key, value)| (key.to_owned(), value));
        let settings = Settings::parse_with(&text, overrides).unwrap();
        assert_eq!(&&*settings.vm.zone, zone);
    }
}

/// The page's first example shows the defaults; the others those of a store, a pool and
/// `[exchange]`.
#[test]
fn page_shows_the_defaults() {
    let path = format!("{}/../../docs/settings.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(path).unwrap();
    let blocks = page.split("```toml\n").skip(1);
    let texts: Vec<&str> = blocks
        .filter_map(|block| block.split("```").next())
        .collect();
    let shown = Settings::parse(&texts.concat()).unwrap();
    let short = r#"
        vm = { id = "vm-1", region = "region", zone = "zone" }
        platform.addresses = ["192.0.2.9:2379"]
        peers.keys = ["at least sixteen bytes"]
        exchange = {}
        store.weights = {}
        pool.engines = { base = "base", store = "weights" }
    "#;
    assert_eq!(shown, Settings::parse(short).unwrap());
}
