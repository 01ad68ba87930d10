//! The digest by which nodes compare what they know of the platform.

mod support;

use exchange::demand::Target;
use exchange::fleet::{Fleet, Holding, Listing};
use proptest::prelude::*;
use support::{engine, ms};

#[derive(Clone, Debug)]
enum Change {
    Listed(Listing),
    Summary(Listing),
    OwnerHoldings(u8, bool),
    Report(u8, bool),
    Removed(u8),
    Version(u8, u64),
}

fn name(number: u8) -> String {
    format!("e{number}")
}

fn target(number: u8) -> Target {
    Target {
        base: "base".into(),
        adapter: Some(format!("a{number}").into()),
    }
}

fn listing(number: u8, leaving: bool, born: u64, empty: bool) -> Listing {
    let mut listing = engine(&name(number), &["a1"]);
    listing.leaving = leaving;
    listing.born = Some(born);
    listing.holdings = holdings(empty);
    listing
}

fn holdings(empty: bool) -> Vec<Holding> {
    if empty {
        Vec::new()
    } else {
        engine("any", &["a1"]).holdings
    }
}

fn change() -> impl Strategy<Value = Change> {
    let listing = || {
        let fields = (0..4_u8, any::<bool>(), 0..2_u64, any::<bool>());
        fields.prop_map(|(number, leaving, born, empty)| listing(number, leaving, born, empty))
    };
    prop_oneof![
        listing().prop_map(Change::Listed),
        listing().prop_map(|listing| Change::Summary(listing.summary())),
        (0..4_u8, any::<bool>()).prop_map(|(number, empty)| Change::OwnerHoldings(number, empty)),
        (0..4_u8, any::<bool>()).prop_map(|(number, empty)| Change::Report(number, empty)),
        (0..4_u8).prop_map(Change::Removed),
        (0..3_u8, 0..4_u64).prop_map(|(number, version)| Change::Version(number, version)),
    ]
}

fn apply(fleet: &mut Fleet, change: Change) {
    let now = ms(1_000);
    match change {
        Change::Listed(listing) => {
            fleet.apply_listing(now, listing);
        }
        Change::Summary(listing) => {
            fleet.apply_summary(now, listing);
        }
        Change::OwnerHoldings(number, empty) => {
            fleet.apply_owner_holdings(now, &name(number), holdings(empty));
        }
        Change::Report(number, empty) => {
            fleet.apply_report(now, &name(number), holdings(empty), Vec::new());
        }
        Change::Removed(number) => {
            fleet.remove(&name(number));
        }
        Change::Version(number, version) => {
            fleet.announce_version(target(number), version);
        }
    }
}

/// Returns the digest of a node that learns the same at once.
fn learnt_at_once(fleet: &Fleet) -> u64 {
    let mut other = Fleet::default();
    for upstream in fleet.upstreams() {
        other.apply_listing(ms(1_000), upstream.listing.clone());
    }
    for number in 0..3 {
        if let Some(version) = fleet.newest_version(&target(number)) {
            other.announce_version(target(number), version);
        }
    }
    other.digest()
}

proptest! {
    /// The digest is kept up to date with each change, and depends on what is known alone.
    #[test]
    fn order_does_not_matter(changes in prop::collection::vec(change(), 0..24)) {
        let mut fleet = Fleet::default();
        for change in changes {
            apply(&mut fleet, change);
            prop_assert_eq!(fleet.digest(), learnt_at_once(&fleet));
        }
    }

    #[test]
    fn states_differ(number in 0..4_u8, version in 1..4_u64) {
        let mut fleet = Fleet::default();
        let empty = fleet.digest();
        apply(&mut fleet, Change::Listed(listing(number, false, 1, false)));
        let listed = fleet.digest();
        apply(&mut fleet, Change::Version(1, version));
        let announced = fleet.digest();
        apply(&mut fleet, Change::Listed(listing(number, true, 1, false)));
        let leaving = fleet.digest();
        let mut all = vec![empty, listed, announced, leaving];
        all.dedup();
        prop_assert_eq!(all.len(), 4);
    }
}
