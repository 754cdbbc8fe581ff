//! Cutting documents into blocks, and the window of a transfer on simulated networks.

use std::{collections::VecDeque, time::Duration};

use flamingocroft::policy::{
    blocks::{self, MAX_BLOCK_BYTES},
    transfer_window::{MAX_QUEUE, MIN_WINDOW_BYTES, TransferWindow},
};
use proptest::prelude::*;

const TRANSFER_BYTES: usize = 4 * 1024 * 1024;

/// Returns how long a transfer takes on a network, and the longest time that a small message would wait in its queue.
fn transfer(mbit_per_s: f64, round_trip: Duration) -> (Duration, Duration) {
    transfer_with_burst(mbit_per_s, round_trip, 0)
}

/// As [`transfer`] on a network that lets the first bytes pass without delay. The queue counts after the first second.
fn transfer_with_burst(
    mbit_per_s: f64,
    round_trip: Duration,
    mut burst: usize,
) -> (Duration, Duration) {
    let counted_from = match burst {
        0 => Duration::ZERO,
        _ => Duration::from_secs(1),
    };
    let rate = mbit_per_s * 1e6 / 8.0;
    let mut window = TransferWindow::default();
    let (mut now, mut network_free) = (Duration::ZERO, Duration::ZERO);
    let (mut unsent, mut in_flight, mut longest_queue) = (TRANSFER_BYTES, 0, Duration::ZERO);
    let mut parts = VecDeque::new();
    loop {
        while unsent > 0 && in_flight < window.bytes() {
            let bytes = window.part_bytes().min(unsent);
            let arrives_at_network = now + round_trip / 2;
            let begins = network_free.max(arrives_at_network);
            let passed = burst.min(bytes);
            burst -= passed;
            network_free = begins + Duration::from_secs_f64((bytes - passed) as f64 / rate);
            if now >= counted_from {
                longest_queue = longest_queue.max(network_free - arrives_at_network);
            }
            parts.push_back((network_free + round_trip / 2, window.send(now), bytes));
            unsent -= bytes;
            in_flight += bytes;
        }
        let Some((at, sent, bytes)) = parts.pop_front() else {
            return (now, longest_queue);
        };
        now = at;
        in_flight -= bytes;
        window.receive(now, sent, bytes);
    }
}

#[test]
fn a_transfer_takes_what_the_network_needs_and_a_fifth() {
    for mbit_per_s in [0.2, 1.0, 10.0, 100.0] {
        for round_trip_ms in [0, 1, 5, 20, 80] {
            let (took, _) = transfer(mbit_per_s, Duration::from_millis(round_trip_ms));
            let needed = TRANSFER_BYTES as f64 * 8.0 / (mbit_per_s * 1e6);
            // The window grows from 8 KiB to 1 MiB in so many round trips.
            let start_up = Duration::from_millis(round_trip_ms * 8).as_secs_f64();
            assert!(
                took.as_secs_f64() <= needed * 1.2 + start_up,
                "{mbit_per_s} Mbit/s, {round_trip_ms} ms: {took:?}, needed {needed} s"
            );
        }
    }
}

#[test]
fn a_transfer_delays_small_messages_by_little() {
    for mbit_per_s in [1.0, 10.0, 100.0] {
        for round_trip_ms in [0, 1, 5, 20, 80] {
            let (_, queue) = transfer(mbit_per_s, Duration::from_millis(round_trip_ms));
            // At 1 Mbit/s one part takes longer than the queue that is aimed at.
            let part = Duration::from_secs_f64(MIN_WINDOW_BYTES as f64 * 8.0 / (mbit_per_s * 1e6));
            let bound = MAX_QUEUE * 2 + part * 3;
            assert!(
                queue <= bound,
                "{mbit_per_s} Mbit/s, {round_trip_ms} ms: {queue:?} of {bound:?}"
            );
        }
    }
}

#[test]
fn a_burst_at_the_start_leaves_no_long_queue() {
    for burst in [16, 64, 256, 1024] {
        let (took, queue) = transfer_with_burst(10.0, Duration::from_millis(1), burst * 1024);
        assert!(took < Duration::from_millis(4000), "{burst} KiB: {took:?}");
        assert!(queue < Duration::from_millis(100), "{burst} KiB: {queue:?}");
    }
}

/// A process that pauses finds all replies at once.
#[test]
fn replies_that_arrive_together_do_not_look_fast() {
    let mut window = TransferWindow::default();
    let ms = Duration::from_millis;
    for at in (0..100).step_by(10) {
        let sent = window.send(ms(at));
        window.receive(ms(at + 10), sent, 10_000);
    }
    let held_up: Vec<_> = (100..110).map(|at| window.send(ms(at))).collect();
    let (first, rest) = held_up.split_first().unwrap();
    window.receive(ms(200), *first, 10_000);
    let next = window.send(ms(200));
    for sent in rest {
        window.receive(ms(200), *sent, 10_000);
    }
    window.receive(ms(210), next, 10_000);
    assert!(window.bytes() < 80_000, "{}", window.bytes());
}

#[test]
fn a_lost_rate_is_forgotten() {
    let mut window = TransferWindow::default();
    for ms in 0..100 {
        let sent = window.send(Duration::from_millis(ms));
        window.receive(Duration::from_millis(ms + 1), sent, 100_000);
    }
    assert!(window.bytes() > 1_000_000);
    let sent = window.send(Duration::from_secs(10));
    window.receive(Duration::from_millis(10_100), sent, 1000);
    assert_eq!(window.bytes(), MIN_WINDOW_BYTES);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn blocks_cover_a_document_and_a_change_leaves_most_of_them(
        seed in any::<u64>(),
        length in 200_000..400_000_usize,
        at in 0.0..1.0_f64,
        inserted in 1..3000_usize,
    ) {
        let mut state = seed;
        let mut random = || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (state >> 33) as u8
        };
        let before: Vec<u8> = (0..length).map(|_| random()).collect();
        let at = (at * length as f64) as usize;
        let mut after = before.clone();
        after.splice(at..at, (0..inserted).map(|_| random()));
        let split = |document: &[u8]| {
            let lengths = blocks::cut(document);
            assert!(lengths.iter().all(|length| (1..=MAX_BLOCK_BYTES).contains(length)));
            let mut rest = document;
            let blocks: Vec<Vec<u8>> = lengths.iter().map(|length| {
                let (block, after) = rest.split_at(*length);
                rest = after;
                block.to_vec()
            }).collect();
            assert!(rest.is_empty());
            blocks
        };
        let held = split(&before);
        let changed: usize = split(&after).iter().filter(|block| !held.contains(block)).map(Vec::len).sum();
        prop_assert!(changed <= inserted + 8 * MAX_BLOCK_BYTES, "{changed} bytes changed");
    }
}
