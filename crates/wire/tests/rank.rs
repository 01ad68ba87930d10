//! Order by rendezvous hashing.

use wire::rank::{first, hash, top};

const KEYS: u64 = 10_000;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("vm-{index}")).collect()
}

#[test]
fn even_shares() {
    let names = names(7);
    let mut counts = [0u64; 7];
    for key in 0..KEYS {
        let winner = first(hash(key.to_le_bytes()), &names).unwrap();
        counts[names.iter().position(|name| name == winner).unwrap()] += 1;
    }
    let fair = KEYS / 7;
    assert!(
        counts.iter().all(|count| count.abs_diff(fair) < fair / 5),
        "{counts:?}"
    );
}

#[test]
fn small_moves() {
    let (before, after) = (names(7), names(6));
    for key in (0..KEYS).map(|key| hash(key.to_le_bytes())) {
        let old = first(key, &before).unwrap();
        let new = first(key, &after).unwrap();
        assert!(old == new || old == "vm-6");
    }
}

#[test]
fn first_heads_top() {
    let names = names(9);
    for key in 0..100 {
        assert_eq!(first(key, &names), top(key, &names, 3).first().copied());
    }
}
