//! The prefix index follows cache events, is cleared by a gap and stays bounded.

use flamingocroft::{
    policy::prefix::{BLOCK_BYTES, HOME_BYTES, MAX_PREFIXES, Prefix, PrefixIndex, home, prefixes},
    ports::{CacheEvent, CacheEvents},
};

fn events(prefixes: impl IntoIterator<Item = Prefix>, stored: bool) -> CacheEvents {
    let event = |prefix: Prefix| CacheEvent {
        prefix: prefix.hash,
        tokens: prefix.tokens,
        stored,
    };
    CacheEvents {
        events: prefixes.into_iter().map(event).collect(),
        ..CacheEvents::default()
    }
}

#[test]
fn the_longest_cached_prefix_counts() {
    let long = prefixes(&"a".repeat(4 * BLOCK_BYTES));
    let mut index = PrefixIndex::default();
    index.apply(&events(long[..2].iter().copied(), true));
    assert_eq!(index.cached_tokens(&long), long[1].tokens);
    index.apply(&events([long[1]], false));
    assert_eq!(index.cached_tokens(&long), long[0].tokens);
    assert_eq!(index.cached_tokens(&prefixes("other")), 0);
}

#[test]
fn a_gap_clears_the_index() {
    let all = prefixes(&"a".repeat(2 * BLOCK_BYTES));
    let mut index = PrefixIndex::default();
    index.apply(&events([all[1]], true));
    index.apply(&CacheEvents {
        gap: true,
        ..events([all[0]], true)
    });
    assert_eq!(index.cached_tokens(&all), all[0].tokens);
}

#[test]
fn the_index_stays_bounded_and_evicts_the_oldest() {
    let prefix = |hash| Prefix { hash, tokens: 64 };
    let mut index = PrefixIndex::default();
    let count = 3 * MAX_PREFIXES as u64;
    for hash in 0..count {
        index.apply(&events([prefix(hash)], true));
        assert!(index.len() <= MAX_PREFIXES);
    }
    assert_eq!(index.cached_tokens(&[prefix(0)]), 0);
    let recent = count - MAX_PREFIXES as u64 / 2;
    assert!((recent..count).all(|hash| index.cached_tokens(&[prefix(hash)]) == 64));
}

#[test]
fn conversations_with_one_preamble_have_different_and_stable_homes() {
    let preamble = "You assist dispatchers. ".repeat(40);
    let first = format!("{preamble}Which pile is dry?");
    let second = format!("{preamble}Who loads at six?");
    assert_ne!(home(&first), home(&second));
    assert_ne!(home("short"), home("other"));
    let long = "a".repeat(HOME_BYTES);
    assert_eq!(home(&long), home(&format!("{long} and the next turn")));
}
