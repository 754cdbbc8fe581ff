//! How many callers each gateway is given, by its capacity.

use std::time::Duration;

use flamingocroft::{
    ingress::select_addresses,
    policy::capacity::{MIN_ADDRESSES, Strain, draw, rated},
    settings::Machine,
    wire::IngressRecord,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const MAX: usize = 64;
const TICK: Duration = Duration::from_millis(100);
const FAST: Duration = Duration::from_millis(1);
const SLOW: Duration = Duration::from_millis(60);

/// Shares of callers that pick an address of an answer at random, over many answers.
fn shares(capacities: &[u32]) -> Vec<f64> {
    const ANSWERS: usize = 20_000;
    let mut rng = StdRng::seed_from_u64(1);
    let mut shares = vec![0.0; capacities.len()];
    for _ in 0..ANSWERS {
        let drawn = draw(capacities, MAX, rng.random());
        assert!(drawn.len() >= MIN_ADDRESSES.min(capacities.len()));
        assert!(drawn.len() <= MAX);
        for index in &drawn {
            shares[*index] += 1.0 / (drawn.len() * ANSWERS) as f64;
        }
    }
    shares
}

#[test]
fn shares_of_callers_follow_the_capacities() {
    let mut rng = StdRng::seed_from_u64(2);
    for count in [12, 18, 111, 333] {
        let capacities: Vec<u32> = (0..count).map(|_| rng.random_range(75..=250)).collect();
        let sum = f64::from(capacities.iter().sum::<u32>());
        for (share, capacity) in shares(&capacities).into_iter().zip(&capacities) {
            let due = f64::from(*capacity) / sum;
            assert!(
                (share / due - 1.0).abs() < 0.2,
                "{share} for {due} of {count}"
            );
        }
    }
}

#[test]
fn equal_or_unknown_capacities_give_all_gateways() {
    for capacity in [0, 1, 250] {
        for count in [0, 1, 3, 18, 64, 80] {
            let all: Vec<usize> = (0..count.min(MAX)).collect();
            assert_eq!(draw(&vec![capacity; count], MAX, 0.7), all);
        }
    }
}

#[test]
fn a_gateway_of_unknown_capacity_counts_as_average() {
    let mut capacities = vec![100; 10];
    capacities.extend([200; 10]);
    capacities.push(0);
    let share = shares(&capacities)[20];
    assert!((share * 21.0 - 1.0).abs() < 0.2, "{share}");
}

#[test]
fn few_gateways_are_all_in_the_answer() {
    assert_eq!(draw(&[1, 250, 250], MAX, 0.999), [0, 1, 2]);
    for draw_at in [0.0, 0.3, 0.999] {
        let drawn = draw(&[1, 1, 1, 250], MAX, draw_at);
        assert_eq!(drawn.len(), MIN_ADDRESSES);
        assert!(
            drawn.contains(&3),
            "one that is far larger is in each answer"
        );
        let drawn = draw(&[1, 250, 250, 250], MAX, draw_at);
        assert!(
            [1, 2, 3].iter().all(|large| drawn.contains(large)),
            "a small one takes no large one out of an answer: {drawn:?}"
        );
    }
}

#[test]
fn the_scarcest_part_rates_a_machine() {
    let small = Machine {
        memory_mb: Some(120),
        cores: Some(0.09),
        descriptors: Some(3075),
        link_mbps: Some(7.5),
    };
    let large = Machine {
        memory_mb: Some(400),
        cores: Some(0.3),
        descriptors: Some(10_250),
        link_mbps: Some(25.0),
    };
    let (small_rate, large_rate) = (rated(&small).unwrap(), rated(&large).unwrap());
    let ratio = f64::from(large_rate) / f64::from(small_rate);
    assert!((ratio / (0.3 / 0.09) - 1.0).abs() < 0.05, "{ratio}");
    let thin_link = Machine {
        link_mbps: Some(2.5),
        ..large
    };
    assert!(rated(&thin_link).unwrap() < small_rate);
    assert_eq!(rated(&Machine::default()), None);
}

/// Lets a loop be as late as `delay` says for the capacity left, and returns the times and values of the changes.
fn play(
    strain: &mut Strain,
    from: u32,
    ticks: u32,
    delay: impl Fn(u32) -> Duration,
) -> Vec<(u32, u32)> {
    let mut changes = Vec::new();
    for tick in from..from + ticks {
        if strain.observe(delay(strain.apply(100)), TICK * tick) {
            changes.push((tick, strain.apply(100)));
        }
    }
    changes
}

#[test]
fn a_strained_gateway_is_given_fewer_callers_and_recovers() {
    let mut strain = Strain::default();
    assert_eq!(strain.apply(100), 100);
    assert_eq!(play(&mut strain, 0, 600, |_| FAST), []);
    let falls = play(&mut strain, 600, 600, |_| SLOW);
    assert!(falls[0].0 < 600 + 50, "reacts within 5 s");
    assert_eq!(strain.apply(100), 25, "some callers are always left");
    let mut capacities = vec![100; 12];
    capacities[0] = strain.apply(100);
    assert!(shares(&capacities)[0] < 0.5 / 12.0);
    play(&mut strain, 1200, 600, |_| FAST);
    assert_eq!(strain.apply(100), 100, "all of it returns within a minute");
}

#[test]
fn a_capacity_at_its_limit_does_not_oscillate() {
    let mut strain = Strain::default();
    // The machine bears three quarters of its callers.
    let changes = play(&mut strain, 0, 6000, |left| match left > 75 {
        true => SLOW,
        false => FAST,
    });
    assert!(changes.iter().all(|(_, left)| *left >= 75), "{changes:?}");
    let late = changes.iter().filter(|(tick, _)| *tick >= 3000);
    assert!(late.count() <= 2 * 300 / 90, "{changes:?}");
    for pair in changes.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= 60, "{changes:?}");
    }
}

#[test]
fn a_single_pause_changes_nothing() {
    let mut strain = Strain::default();
    assert!(!strain.observe(Duration::from_secs(9), Duration::from_secs(9)));
    assert_eq!(play(&mut strain, 100, 600, |_| FAST), []);
}

fn gateway(number: u16, zone: &str, capacity: u32) -> IngressRecord {
    IngressRecord {
        name: format!("g{number}"),
        zone: zone.into(),
        caller_address: format!("10.0.0.{number}:80"),
        open: true,
        capacity,
        ..IngressRecord::default()
    }
}

#[test]
fn the_directory_draws_from_the_open_gateways_of_the_zone() {
    let mut roster: Vec<_> = (1..=8)
        .map(|number| gateway(number, "a", if number <= 4 { 100 } else { 200 }))
        .collect();
    roster[7].open = false;
    roster.push(gateway(9, "b", 1000));
    let own = gateway(10, "a", 200);
    let mut rng = StdRng::seed_from_u64(3);
    let mut told = [0u32; 11];
    const ANSWERS: u32 = 4000;
    for _ in 0..ANSWERS {
        for address in select_addresses(&roster, &own, "a", rng.random()) {
            let std::net::IpAddr::V4(ip) = address.ip() else {
                panic!("{address}")
            };
            told[usize::from(ip.octets()[3])] += 1;
        }
    }
    assert_eq!((told[8], told[9]), (0, 0), "closed, and of another zone");
    assert_eq!(told[10], ANSWERS, "a largest one is in each answer");
    assert!((f64::from(told[1]) / f64::from(ANSWERS) - 0.5).abs() < 0.05);
    for record in &mut roster {
        record.capacity = 0;
    }
    let own = gateway(10, "a", 0);
    assert_eq!(select_addresses(&roster, &own, "a", 0.4).len(), 8);
    assert_eq!(select_addresses(&roster, &own, "b", 0.4).len(), 9);
}
