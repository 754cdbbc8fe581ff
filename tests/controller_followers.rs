//! What a controller knows of the ingress gateways that follow it.

use std::{collections::BTreeMap, time::Duration};

use flamingocroft::{
    controller::followers::Followers,
    policy::speed::Reading,
    wire::{
        AccountCount, Follow, IngressRecord, ListVersion, QuotaPart, ReserveRequest, Roster,
        ServiceLoad, UpstreamRow, WindowCount,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn follow(name: &str, open: bool, demand: f64) -> Follow {
    Follow {
        gateway: Some(IngressRecord {
            name: name.into(),
            zone: "a".into(),
            caller_address: "10.0.0.1:80".into(),
            open,
            ..IngressRecord::default()
        }),
        demands: vec![QuotaPart {
            account: "depot".into(),
            value: demand,
        }],
        ..Follow::default()
    }
}

fn quota_part(followers: &mut Followers, now: Duration, name: &str) -> f64 {
    let shares = followers.quota_parts(now, name);
    shares.first().map_or(0.0, |share| share.value)
}

#[test]
fn a_silent_gateway_leaves_the_roster_and_comes_back() {
    let mut followers = Followers::default();
    assert!(followers.handle_follow(at(0), &follow("g1", true, 0.0)));
    assert!(!followers.handle_follow(at(700), &follow("g1", true, 0.0)));
    let roster = followers.roster(at(2700));
    assert_eq!(roster.gateways.len(), 1);
    let later = followers.roster(at(2701));
    assert_eq!(later.gateways.len(), 0);
    assert_ne!(later.version, roster.version);
    assert!(followers.handle_follow(at(4000), &follow("g1", true, 0.0)));
    let back = followers.roster(at(4000));
    assert_eq!(back.gateways, roster.gateways);
    assert_ne!(back.version, later.version);
}

/// A gateway that holds a roster is told what changed, and one that holds another process's is told all.
#[test]
fn changes_of_the_roster_add_up_to_the_whole() {
    let mut followers = Followers::new(at(8000));
    let names: Vec<_> = (0..40).map(|i| format!("g{i}")).collect();
    let mut held = Roster::default();
    let mut now = 0;
    for round in 0..60 {
        now += 700;
        for (i, name) in names.iter().enumerate() {
            // Some close, and some are silent for a while.
            if (i + round) % 7 < 3 || round % 20 < 15 {
                followers.handle_follow(at(now), &follow(name, (i * round) % 5 != 0, 0.0));
            }
        }
        let Some(news) = followers.roster_since(at(now), held.version) else {
            continue;
        };
        assert_eq!(news.changes, round > 0, "only the first answer tells all");
        held.take(news);
        held.gateways.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        assert_eq!(held.gateways, followers.roster(at(now)).gateways);
        assert_eq!(followers.roster_since(at(now), held.version), None);
    }
    let mut other = Followers::new(at(8000));
    other.handle_follow(at(now), &follow("g1", true, 0.0));
    let news = other.roster_since(at(now), held.version).unwrap();
    assert!(!news.changes);
    held.take(news);
    assert_eq!(held.gateways.len(), 1);
}

#[test]
fn a_gateway_that_closes_changes_the_roster_at_once() {
    let mut followers = Followers::default();
    followers.handle_follow(at(0), &follow("g1", true, 0.0));
    assert!(followers.handle_follow(at(1), &follow("g1", false, 0.0)));
    assert!(!followers.roster(at(1)).gateways[0].open);
}

#[test]
fn parts_of_a_quota_follow_demand_and_add_up_to_the_whole() {
    let mut followers = Followers::default();
    followers.handle_follow(at(0), &follow("g1", true, 300.0));
    followers.handle_follow(at(0), &follow("g2", true, 100.0));
    let (first, second) = (
        quota_part(&mut followers, at(1), "g1"),
        quota_part(&mut followers, at(1), "g2"),
    );
    assert!((first + second - 1.0).abs() < 1e-9);
    assert!((first - 0.7).abs() < 1e-9, "{first}");
}

#[test]
fn the_part_of_a_gateway_that_was_cut_off_is_given_away_only_after_its_lease() {
    let held = Follow {
        held_shares: vec![QuotaPart {
            account: "depot".into(),
            value: 0.7,
        }],
        ..follow("g1", true, 100.0)
    };
    let mut followers = Followers::default();
    followers.handle_follow(at(0), &held);
    followers.handle_follow(at(0), &follow("g2", true, 100.0));
    assert!((quota_part(&mut followers, at(1), "g2") - 0.5).abs() < 1e-9);
    for silent in [2100, 10_400] {
        followers.handle_follow(at(silent), &follow("g2", true, 100.0));
        let left = quota_part(&mut followers, at(silent), "g2");
        assert!((left - 0.3).abs() < 1e-9, "after {silent} ms: {left}");
    }
    followers.handle_follow(at(10_600), &follow("g2", true, 100.0));
    let alone = quota_part(&mut followers, at(10_600), "g2");
    assert!(
        (alone - 0.9).abs() < 1e-9,
        "the floor of the other stays its own: {alone}"
    );
    followers.handle_follow(at(61_000), &follow("g2", true, 100.0));
    assert!((quota_part(&mut followers, at(61_000), "g2") - 1.0).abs() < 1e-9);
}

#[test]
fn usage_is_summed_over_gateways_and_the_newest_count_of_each_counts() {
    let mut followers = Followers::default();
    let counted = |name: &str, count| Follow {
        usage: vec![WindowCount {
            window: 7,
            counts: vec![AccountCount {
                account: "depot".into(),
                count,
            }],
        }],
        ..follow(name, true, 0.0)
    };
    followers.handle_follow(at(0), &counted("g1", 3));
    followers.handle_follow(at(1), &counted("g1", 5));
    followers.handle_follow(at(1), &counted("g2", 10));
    assert_eq!(followers.usage(7)[0].count, 15);
    assert!(followers.usage(8).is_empty());
}

#[test]
fn a_gateway_that_is_started_anew_adds_to_what_it_counted_before() {
    let mut followers = Followers::default();
    let counted = |incarnation, count| Follow {
        incarnation,
        usage: vec![WindowCount {
            window: 7,
            counts: vec![AccountCount {
                account: "depot".into(),
                count,
            }],
        }],
        ..follow("g1", true, 0.0)
    };
    followers.handle_follow(at(0), &counted(1, 9));
    followers.handle_follow(at(1000), &counted(2, 1));
    followers.handle_follow(at(1700), &counted(2, 2));
    assert_eq!(followers.usage(7)[0].count, 11);
}

#[test]
fn the_load_of_gateways_that_are_cut_off_counts_for_a_while() {
    let mut followers = Followers::default();
    for name in ["g1", "g2"] {
        let loaded = Follow {
            loads: vec![ServiceLoad {
                service: "app".into(),
                in_flight: 10.0,
                prompt_tokens: 0.0,
                reading: Some(Reading {
                    count: 30.0,
                    ..Reading::default()
                }),
                upstreams: 7,
            }],
            ..follow(name, true, 0.0)
        };
        followers.handle_follow(at(0), &loaded);
    }
    let sum = followers.loads(at(10_000))["app"].clone();
    assert!((sum.in_flight - 20.0).abs() < 1e-9);
    assert!((sum.reading.unwrap().count - 60.0).abs() < 1e-9);
    assert_eq!(sum.upstreams, 7, "both know the same list");
    assert!(followers.loads(at(11_000)).is_empty());
}

#[test]
fn only_a_list_that_differs_gets_a_new_version() {
    let row = |leaving, cold_ms| UpstreamRow {
        instance: "i-1".into(),
        leaving,
        cold_ms,
        ..UpstreamRow::default()
    };
    let mut followers = Followers::default();
    assert!(
        followers
            .upstream_list_mut()
            .replace(3, vec![row(false, 900)])
    );
    assert!(
        !followers
            .upstream_list_mut()
            .replace(3, vec![row(false, 400)]),
        "it only warms up"
    );
    let first = followers.upstream_list().version();
    assert!(
        followers
            .upstream_list_mut()
            .replace(3, vec![row(true, 400)])
    );
    assert!(followers.upstream_list().version() > first);
    let second = followers.upstream_list().version();
    assert!(
        followers
            .upstream_list_mut()
            .replace(4, vec![row(true, 400)]),
        "a new leader's list is newer"
    );
    assert!(followers.upstream_list().version() > second);
}

/// A gateway that holds a list is told what changed, and one of another term is told all.
#[test]
fn changes_of_the_list_add_up_to_the_whole() {
    let mut followers = Followers::default();
    let mut rng = StdRng::seed_from_u64(5);
    // Two gateways; the second asks rarely.
    let mut held = [ListVersion::default(), ListVersion::default()];
    let mut rows = [BTreeMap::new(), BTreeMap::new()];
    for round in 0..400_u64 {
        let term = 3 + round / 150;
        let mut listed = Vec::new();
        for i in 0..60 {
            if rng.random_range(0..10) > 0 {
                listed.push(UpstreamRow {
                    instance: format!("i-{i:02}"),
                    leaving: rng.random_range(0..10) == 0,
                    ..UpstreamRow::default()
                });
            }
        }
        followers.upstream_list_mut().replace(term, listed.clone());
        for (place, every) in [(0, 1), (1, 7)] {
            if round % every != 0 {
                continue;
            }
            let Some(news) = followers
                .upstream_list_mut()
                .changes_since(at(round * 700), held[place])
            else {
                continue;
            };
            let news = news.decoded().unwrap();
            let version = news.version.unwrap();
            assert_eq!(news.changes, held[place].term == version.term);
            if !news.changes {
                rows[place].clear();
            }
            rows[place].retain(|instance, _| !news.gone.contains(instance));
            let told = news.rows.into_iter().map(|row| (row.instance.clone(), row));
            rows[place].extend(told);
            held[place] = version;
            let expected: Vec<_> = rows[place].values().cloned().collect();
            assert_eq!(expected, listed, "round {round}");
            assert_eq!(
                followers
                    .upstream_list_mut()
                    .changes_since(at(round * 700), version),
                None
            );
        }
    }
}

/// After a new leader took over, all gateways hold a list of another term. Were all answered at once, the answers
/// would come too late and be asked for again.
#[test]
fn whole_lists_are_spread_over_the_questions_of_many_gateways() {
    let mut followers = Followers::default();
    let rows: Vec<_> = (0..3000)
        .map(|i| UpstreamRow {
            instance: format!("i-{i:08}"),
            address: "10.128.0.9:8080".into(),
            service: "assistant-llm".into(),
            zone: "medenine".into(),
            slots: 8,
            ..UpstreamRow::default()
        })
        .collect();
    followers.upstream_list_mut().replace(3, rows);
    let mut held = [ListVersion::default(); 300];
    let mut most = 0;
    for ms in (0..20_000).step_by(700) {
        let mut sent = 0;
        for held in &mut held {
            if let Some(news) = followers.upstream_list_mut().changes_since(at(ms), *held) {
                sent += news.encoded.len();
                *held = news.version.unwrap();
            }
        }
        most = most.max(sent);
    }
    assert!(
        held.iter().all(|held| held.term == 3),
        "all have it in the end"
    );
    // A gateway waits 1.5 s for an answer, and a controller has a link of 1,000 Mbit/s and 0.15 of a core.
    assert!(most < 12_000_000, "{most} bytes between two questions");
}

/// A long list is read page by page; what leaves on the first page is told before the last one came.
#[test]
fn a_part_of_the_list_changes_only_what_it_tells() {
    let row = |i: u32, leaving| UpstreamRow {
        instance: format!("i-{i:02}"),
        leaving,
        ..UpstreamRow::default()
    };
    let mut followers = Followers::default();
    let all: Vec<_> = (0..20).map(|i| row(i, false)).collect();
    assert!(
        !followers.upstream_list_mut().merge_page(3, &all[..10]),
        "not of this term"
    );
    followers.upstream_list_mut().replace(3, all.clone());
    let held = followers.upstream_list().version().unwrap();
    assert!(
        !followers.upstream_list_mut().merge_page(3, &all[..10]),
        "nothing differs"
    );
    let mut page = all[..10].to_vec();
    page[4].leaving = true;
    page.push(row(30, false));
    assert!(followers.upstream_list_mut().merge_page(3, &page));
    let news = followers
        .upstream_list_mut()
        .changes_since(at(0), held)
        .unwrap();
    assert_eq!(news.rows, [row(4, true), row(30, false)]);
    assert!(news.gone.is_empty());
    assert_eq!(followers.upstream_list().rows().len(), 21);
}

#[test]
fn the_reserve_of_a_new_term_begins_empty() {
    let mut followers = Followers::default();
    let request = ReserveRequest {
        account: "depot".into(),
        units: 10.0,
        per_second: 10.0,
        saved: 20.0,
        ..ReserveRequest::default()
    };
    assert_eq!(followers.reserve(at(0), 1, "g1", &request), Err(at(1000)));
    assert_eq!(followers.reserve(at(2000), 1, "g1", &request), Ok(()));
    assert_eq!(followers.reserve(at(2000), 1, "g1", &request), Ok(()));
    assert!(followers.reserve(at(2000), 1, "g1", &request).is_err());
    assert_eq!(
        followers.reserve(at(60_000), 2, "g1", &request),
        Err(at(1000))
    );
}

/// All gateways are told, at once and for as long as the platform's list may not show it.
#[test]
fn an_upstream_that_said_to_one_gateway_that_it_leaves_is_told_to_all() {
    let mut followers = Followers::default();
    let row = |instance: &str| UpstreamRow {
        instance: instance.into(),
        ..UpstreamRow::default()
    };
    let rows = || vec![row("i-1"), row("i-2")];
    followers.upstream_list_mut().replace(3, rows());
    let held = followers.upstream_list().version().unwrap();
    let said = ["i-2".to_owned()];
    assert!(followers.upstream_list_mut().mark_leaving(at(1_000), &said));
    assert!(
        !followers.upstream_list_mut().mark_leaving(at(1_700), &said),
        "told already"
    );
    let news = followers
        .upstream_list_mut()
        .changes_since(at(1_700), held)
        .unwrap();
    let told: Vec<_> = news
        .rows
        .iter()
        .map(|row| (&*row.instance, row.said_leaving))
        .collect();
    assert_eq!(told, [("i-2", true)]);
    // The list is read again and still says that it is ready.
    followers
        .upstream_list_mut()
        .expire_leaving_reports(at(6_000));
    assert!(!followers.upstream_list_mut().replace(3, rows()));
    followers
        .upstream_list_mut()
        .expire_leaving_reports(at(7_000));
    assert!(followers.upstream_list_mut().replace(3, rows()));
    assert!(
        followers
            .upstream_list()
            .rows()
            .iter()
            .all(|row| !row.said_leaving)
    );
}
