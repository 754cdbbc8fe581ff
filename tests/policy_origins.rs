//! The records of which software version began a stream.

use std::{collections::HashMap, time::Duration};

use flamingocroft::policy::origins::{
    ORIGIN_LIFETIME, Origin, OriginLedger, SoftwareHistory, StreamId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn origin(software: &str) -> Origin {
    Origin {
        service: "llm".into(),
        software: software.into(),
    }
}

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("controller-{i}")).collect()
}

fn keepers(stream: StreamId, names: &[String]) -> Vec<&str> {
    let all = || names.iter().map(String::as_str);
    all()
        .filter(|name| stream.is_kept_by(name, all()))
        .collect()
}

#[test]
fn streams_of_different_accounts_with_the_same_request_differ() {
    let [a, b] = ["a", "b"].map(|account| StreamId::new(Some(&account.into()), "r1"));
    assert_ne!(a, b);
    assert_ne!(a, StreamId::new(Some(&"a".into()), "r2"));
    assert_eq!(a, StreamId::new(Some(&"a".into()), "r1"));
}

#[test]
fn a_full_ledger_forgets_the_oldest_streams() {
    let mut ledger = OriginLedger::new(100);
    for number in 0..1000 {
        ledger.record(StreamId(number), origin("v1"), at(1));
        assert!(ledger.len() <= 100);
    }
    assert_eq!(ledger.find(StreamId(899), at(1)), None);
    for number in 900..1000 {
        assert!(ledger.find(StreamId(number), at(1)).is_some(), "{number}");
    }
    let known: Vec<(u64, u64)> = ledger.since(0).map(|(i, id, _)| (i, id.0)).collect();
    assert_eq!(known, (900..1000).map(|i| (i, i)).collect::<Vec<_>>());
    assert_eq!(ledger.since(990).count(), 10);
    assert_eq!((ledger.end(), ledger.since(1000).count()), (1000, 0));
}

#[test]
fn a_stream_is_forgotten_after_its_lifetime() {
    let mut ledger = OriginLedger::new(100);
    ledger.record(StreamId(1), origin("v1"), at(0));
    assert!(ledger.find(StreamId(1), ORIGIN_LIFETIME).is_some());
    assert_eq!(ledger.find(StreamId(1), ORIGIN_LIFETIME + at(1)), None);
    assert!(ledger.is_empty());
}

#[test]
fn a_stream_with_two_origins_has_none() {
    let mut ledger = OriginLedger::new(100);
    for software in ["v1", "v1"] {
        ledger.record(StreamId(1), origin(software), at(0));
    }
    assert_eq!(ledger.find(StreamId(1), at(0)), Some(&origin("v1")));
    for software in ["v2", "v1"] {
        ledger.record(StreamId(1), origin(software), at(1));
        assert_eq!(ledger.find(StreamId(1), at(1)), None);
    }
}

#[test]
fn every_stream_is_kept_by_two_controllers_and_evenly() {
    for count in [1, 2, 3, 5, 9] {
        let names = names(count);
        let mut kept: HashMap<&str, u32> = HashMap::new();
        for number in 0..9000 {
            let keepers = keepers(StreamId(number), &names);
            assert_eq!(keepers.len(), count.min(2));
            for name in keepers {
                *kept.entry(name).or_default() += 1;
            }
        }
        let mean = 9000 * count.min(2) as u32 / count as u32;
        for (name, streams) in kept {
            assert!(
                (mean * 9 / 10..=mean * 11 / 10).contains(&streams),
                "{name}: {streams}"
            );
        }
    }
}

/// Plays gateways that begin streams and are all lost, together with one controller.
#[test]
fn origins_outlast_all_gateways_and_one_controller() {
    for gateways in [2, 200] {
        let names = names(5);
        let mut controllers: HashMap<&str, OriginLedger> = names
            .iter()
            .map(|name| (name.as_str(), OriginLedger::new(10_000)))
            .collect();
        let streams = 4000;
        let software = |number: u64| ["v1", "v2", "v3"][(number % 3) as usize];
        for gateway in 0..gateways {
            let mut own = OriginLedger::new(10_000);
            for number in (0..streams).filter(|number| number % gateways == gateway) {
                own.record(StreamId(number), origin(software(number)), at(1));
            }
            for (_, stream, origin) in own.since(0) {
                for name in keepers(stream, &names) {
                    let controller = controllers.get_mut(name).unwrap();
                    controller.record(stream, origin.clone(), at(1));
                }
            }
        }
        controllers.remove(names[0].as_str());
        for number in 0..streams {
            let found: Vec<Origin> = controllers
                .values_mut()
                .filter_map(|controller| controller.find(StreamId(number), at(2)).cloned())
                .collect();
            assert!(!found.is_empty(), "{number}");
            let expected = origin(software(number));
            assert!(found.iter().all(|origin| *origin == expected), "{number}");
        }
    }
}

#[test]
fn the_only_version_is_known_once_a_leader_has_led_for_a_lifetime() {
    let mut history = SoftwareHistory::default();
    for s in 0..=70 {
        history.record(3, [("llm", "v1"), ("app", "v7")].into_iter(), at(s));
        let expected = (s > 60).then_some("v1");
        assert_eq!(history.only_version(3, "llm", at(s)), expected, "{s} s");
    }
    assert_eq!(history.only_version(3, "other", at(70)), None);
    assert_eq!(
        history.only_version(4, "llm", at(70)),
        None,
        "of another term"
    );
    history.record(4, [("llm", "v1")].into_iter(), at(71));
    assert_eq!(history.only_version(4, "llm", at(71)), None);
}

#[test]
fn an_unlisted_software_version_is_no_version() {
    let mut history = SoftwareHistory::default();
    for s in 0..=70 {
        history.record(1, [("llm", "")].into_iter(), at(s));
    }
    assert_eq!(history.only_version(1, "llm", at(70)), None);
}

#[test]
fn the_only_version_is_never_named_if_another_was_listed_within_a_lifetime() {
    let mut rng = StdRng::seed_from_u64(40);
    for _ in 0..200 {
        let mut history = SoftwareHistory::default();
        let mut reads: Vec<(u64, Vec<&str>)> = Vec::new();
        let (mut known, mut listed) = (0, vec!["v1"]);
        for s in 0..400 {
            if rng.random_bool(0.01) {
                listed = [vec!["v1"], vec!["v2"], vec!["v1", "v2"]][rng.random_range(0..3)].clone();
            }
            history.record(1, listed.iter().map(|software| ("llm", *software)), at(s));
            reads.push((s, listed.clone()));
            let recent = reads.iter().filter(|(read, _)| s - read <= 60);
            let mut versions: Vec<&str> = recent.flat_map(|(_, listed)| listed.clone()).collect();
            versions.sort_unstable();
            versions.dedup();
            let expected = (s > 60 && versions.len() == 1).then(|| versions[0]);
            assert_eq!(history.only_version(1, "llm", at(s)), expected, "{s} s");
            known += u32::from(expected.is_some());
        }
        assert!(known < 400);
    }
}
