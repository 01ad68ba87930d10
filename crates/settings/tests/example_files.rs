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
