//! Tests a controller's record of the ingress gateways that follow it.

use std::{collections::BTreeMap, time::Duration};

use flamingocroft::{
    controller::followers::Followers,
    policy::speed::PrefillStats,
    wire::{
        AccountCount, AccountWork, FollowRequest, IngressRecord, ListVersion, QuotaValue,
        ReserveRequest, Roster, ServiceLoad, ServiceRoom, UpstreamLimitReport, UpstreamRow,
        WindowCount,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn follow(name: &str, open: bool, demand: f64) -> FollowRequest {
    FollowRequest {
        gateway: Some(IngressRecord {
            name: name.into(),
            zone: "a".into(),
            caller_address: "10.0.0.1:80".into(),
            open,
            ..IngressRecord::default()
        }),
        demands: vec![QuotaValue {
            account: "depot".into(),
            value: demand,
        }],
        ..FollowRequest::default()
    }
}

fn quota_part(followers: &mut Followers, now: Duration, name: &str) -> f64 {
    let shares = followers.quota_parts(now, name);
    shares.first().map_or(0.0, |share| share.value)
}

#[test]
fn a_silent_gateway_is_removed_from_the_roster_until_it_reports_again() {
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

/// A gateway that holds a roster of this process gets the changes; one that holds a roster of another process gets
/// the whole roster.
#[test]
fn incremental_rosters_equal_the_whole_roster() {
    let mut followers = Followers::new(at(8000));
    let names: Vec<_> = (0..40).map(|i| format!("g{i}")).collect();
    let mut held = Roster::default();
    let mut now = 0;
    for round in 0..60 {
        now += 700;
        for (i, name) in names.iter().enumerate() {
            // Some gateways close, and some are silent for a while.
            if (i + round) % 7 < 3 || round % 20 < 15 {
                followers.handle_follow(at(now), &follow(name, (i * round) % 5 != 0, 0.0));
            }
        }
        let Some(update) = followers.roster_since(at(now), held.version) else {
            continue;
        };
        assert_eq!(
            update.is_delta,
            round > 0,
            "only the first reply is complete"
        );
        held.apply(update);
        held.gateways.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        assert_eq!(held.gateways, followers.roster(at(now)).gateways);
        assert_eq!(followers.roster_since(at(now), held.version), None);
    }
    let mut other = Followers::new(at(8000));
    other.handle_follow(at(now), &follow("g1", true, 0.0));
    let update = other.roster_since(at(now), held.version).unwrap();
    assert!(!update.is_delta);
    held.apply(update);
    assert_eq!(held.gateways.len(), 1);
}

#[test]
fn a_gateway_that_closes_changes_the_roster_immediately() {
    let mut followers = Followers::default();
    followers.handle_follow(at(0), &follow("g1", true, 0.0));
    assert!(followers.handle_follow(at(1), &follow("g1", false, 0.0)));
    assert!(!followers.roster(at(1)).gateways[0].open);
}

#[test]
fn quota_parts_follow_demand_and_sum_to_the_whole_quota() {
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
fn the_quota_part_of_an_unreachable_gateway_is_released_only_after_its_lease() {
    let held = FollowRequest {
        held_shares: vec![QuotaValue {
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
        "the minimum part of the other gateway is kept: {alone}"
    );
    followers.handle_follow(at(61_000), &follow("g2", true, 100.0));
    assert!((quota_part(&mut followers, at(61_000), "g2") - 1.0).abs() < 1e-9);
}

#[test]
fn usage_sums_the_newest_count_of_each_gateway() {
    let mut followers = Followers::default();
    let counted = |name: &str, count| FollowRequest {
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
fn a_restarted_gateway_adds_to_the_usage_of_its_earlier_incarnation() {
    let mut followers = Followers::default();
    let counted = |incarnation, count| FollowRequest {
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
fn the_load_of_unreachable_gateways_counts_until_the_quota_part_expires() {
    let mut followers = Followers::default();
    for name in ["g1", "g2"] {
        let loaded = FollowRequest {
            loads: vec![ServiceLoad {
                service: "app".into(),
                in_flight: 10.0,
                uncached_tokens_per_second: 0.0,
                prefill: Some(PrefillStats {
                    count: 30.0,
                    ..PrefillStats::default()
                }),
                upstreams: 7,
            }],
            ..follow(name, true, 0.0)
        };
        followers.handle_follow(at(0), &loaded);
    }
    let sum = followers.loads(at(10_000))["app"].clone();
    assert!((sum.in_flight - 20.0).abs() < 1e-9);
    assert!((sum.prefill.unwrap().count - 60.0).abs() < 1e-9);
    assert_eq!(sum.upstreams, 7, "both gateways hold the same list");
    assert!(followers.loads(at(11_000)).is_empty());
}

#[test]
fn only_a_changed_list_gets_a_new_version() {
    let row = |leaving, cold_left_ms| UpstreamRow {
        instance: "i-1".into(),
        leaving,
        cold_left_ms,
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
        "only the remaining cold time changed"
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

/// A gateway that holds a list of this term gets the changes; one with a list of another term gets the full list.
#[test]
fn incremental_lists_equal_the_full_list() {
    let mut followers = Followers::default();
    let mut rng = StdRng::seed_from_u64(5);
    // Two gateways; the second one sends requests rarely.
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
        for (gateway, interval) in [(0, 1), (1, 7)] {
            if round % interval != 0 {
                continue;
            }
            let Some(update) = followers
                .upstream_list_mut()
                .changes_since(at(round * 700), held[gateway])
            else {
                continue;
            };
            let update = update.decode_rows().unwrap();
            let version = update.version.unwrap();
            assert_eq!(update.is_delta, held[gateway].term == version.term);
            if !update.is_delta {
                rows[gateway].clear();
            }
            rows[gateway].retain(|instance, _| !update.removed.contains(instance));
            let updated = update
                .rows
                .into_iter()
                .map(|row| (row.instance.clone(), row));
            rows[gateway].extend(updated);
            held[gateway] = version;
            let expected: Vec<_> = rows[gateway].values().cloned().collect();
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

/// After a change of leader all gateways hold a list of another term. If all were answered at once, the replies would
/// arrive too late and be requested again.
#[test]
fn full_lists_are_spread_over_the_requests_of_many_gateways() {
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
    let mut max_sent = 0;
    for ms in (0..20_000).step_by(700) {
        let mut sent = 0;
        for held in &mut held {
            if let Some(update) = followers.upstream_list_mut().changes_since(at(ms), *held) {
                sent += update.encoded.len();
                *held = update.version.unwrap();
            }
        }
        max_sent = max_sent.max(sent);
    }
    assert!(
        held.iter().all(|held| held.term == 3),
        "every gateway gets the list"
    );
    // A gateway waits 1.5 s for a reply; a controller has a 1,000 Mbit/s link and 0.15 of a core.
    assert!(
        max_sent < 12_000_000,
        "{max_sent} bytes between two requests"
    );
}

/// A long list is read page by page; an upstream that leaves on the first page is published before the last page
/// arrived.
#[test]
fn a_page_of_the_list_changes_only_its_own_upstreams() {
    let row = |i: u32, leaving| UpstreamRow {
        instance: format!("i-{i:02}"),
        leaving,
        ..UpstreamRow::default()
    };
    let mut followers = Followers::default();
    let all: Vec<_> = (0..20).map(|i| row(i, false)).collect();
    assert!(
        !followers.upstream_list_mut().merge_page(3, &all[..10]),
        "the list is of another term"
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
    let update = followers
        .upstream_list_mut()
        .changes_since(at(0), held)
        .unwrap();
    assert_eq!(update.rows, [row(4, true), row(30, false)]);
    assert!(update.removed.is_empty());
    assert_eq!(followers.upstream_list().rows().len(), 21);
}

#[test]
fn the_reserve_of_a_new_term_starts_empty() {
    let mut followers = Followers::default();
    let request = ReserveRequest {
        account: "depot".into(),
        units: 10.0,
        per_second: 10.0,
        capacity: 20.0,
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

/// All gateways are informed, immediately and for as long as the platform's list may lag.
#[test]
fn an_upstream_that_announces_to_one_gateway_that_it_leaves_is_reported_to_all() {
    let mut followers = Followers::default();
    let row = |instance: &str| UpstreamRow {
        instance: instance.into(),
        ..UpstreamRow::default()
    };
    let rows = || vec![row("i-1"), row("i-2")];
    followers.upstream_list_mut().replace(3, rows());
    let held = followers.upstream_list().version().unwrap();
    let leaving = ["i-2".to_owned()];
    assert!(
        followers
            .upstream_list_mut()
            .mark_leaving(at(1_000), &leaving)
    );
    assert!(
        !followers
            .upstream_list_mut()
            .mark_leaving(at(1_700), &leaving),
        "already reported"
    );
    let update = followers
        .upstream_list_mut()
        .changes_since(at(1_700), held)
        .unwrap();
    let reported: Vec<_> = update
        .rows
        .iter()
        .map(|row| (&*row.instance, row.reported_leaving))
        .collect();
    assert_eq!(reported, [("i-2", true)]);
    // The list is read again and still shows the upstream as ready.
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
            .all(|row| !row.reported_leaving)
    );
}

fn limit_report(limit: Option<u64>, sent_ago_ms: u64) -> Vec<UpstreamLimitReport> {
    vec![UpstreamLimitReport {
        instance: "i-2".into(),
        requests_per_1000_s: limit,
        sent_ago_ms,
        received_ago_ms: sent_ago_ms / 2,
    }]
}

fn listed_limits(followers: &Followers) -> Vec<Option<u64>> {
    let rows = followers.upstream_list().rows();
    rows.iter().map(|row| row.requests_per_1000_s).collect()
}

/// All gateways get the newest statement, also one of an earlier leader's time, until the upstream lifts the limit.
#[test]
fn a_limit_that_an_upstream_states_to_one_gateway_is_listed_for_all() {
    let mut followers = Followers::default();
    let row = |instance: &str| UpstreamRow {
        instance: instance.into(),
        ..UpstreamRow::default()
    };
    let rows = || vec![row("i-1"), row("i-2")];
    // A controller that does not lead yet holds no list.
    followers
        .upstream_list_mut()
        .record_limits(at(500), &limit_report(Some(3_000), 100));
    followers.upstream_list_mut().replace(3, rows());
    assert_eq!(listed_limits(&followers), [None, Some(3_000)]);
    let held = followers.upstream_list().version().unwrap();
    assert!(
        !followers.upstream_list_mut().replace(3, rows()),
        "read again"
    );
    let older = limit_report(None, 2_000);
    assert_eq!(
        followers
            .upstream_list_mut()
            .record_limits(at(1_500), &older),
        []
    );
    let lifted = limit_report(None, 100);
    assert_eq!(
        followers
            .upstream_list_mut()
            .record_limits(at(2_000), &lifted),
        [("i-2".to_owned(), None)]
    );
    assert_eq!(listed_limits(&followers), [None, None]);
    let update = followers
        .upstream_list_mut()
        .changes_since(at(2_000), held)
        .unwrap();
    assert_eq!(update.rows, [row("i-2")]);
    assert!(update.is_delta);
}

/// A controller that led before holds an old list, and each change wakes all gateways that follow it.
#[test]
fn the_limit_of_an_unlisted_upstream_is_no_change_each_time_it_is_reported() {
    let mut followers = Followers::default();
    followers
        .upstream_list_mut()
        .replace(3, vec![UpstreamRow::default()]);
    let changes = (0..10).map(|i| {
        let stated = limit_report(Some(3_000), 0);
        let list = followers.upstream_list_mut();
        list.record_limits(at(1_000 * i), &stated).len()
    });
    assert_eq!(changes.sum::<usize>(), 1);
}

/// Each change of the list is sent to all gateways.
#[test]
fn an_upstream_that_states_another_limit_each_time_changes_the_list_rarely() {
    let mut followers = Followers::default();
    let row = UpstreamRow {
        instance: "i-2".into(),
        ..UpstreamRow::default()
    };
    followers.upstream_list_mut().replace(3, vec![row]);
    let mut changes = 0;
    for ms in (0..10_000).step_by(10) {
        let stated = limit_report(Some(1_000 + ms), 0);
        let changed = followers.upstream_list_mut().record_limits(at(ms), &stated);
        changes += changed.len();
    }
    assert!(changes <= 20, "{changes} changes in 10 s");
    // The last statement is listed with the next report of any gateway.
    followers.upstream_list_mut().record_limits(at(11_000), &[]);
    assert_eq!(listed_limits(&followers), [Some(10_990)]);
}

fn leave(name: &str) -> FollowRequest {
    let mut request = follow(name, false, 0.0);
    request.gateway.as_mut().unwrap().leaving = true;
    request
}

#[test]
fn a_gateway_that_leaves_is_not_opened_again_by_a_request_that_it_sent_before() {
    for count in [2, 200] {
        let mut followers = Followers::default();
        let names: Vec<_> = (0..count).map(|i| format!("g{i}")).collect();
        let of = |incarnation, request: FollowRequest| FollowRequest {
            incarnation,
            ..request
        };
        let mut now = 0;
        for name in &names {
            followers.handle_follow(at(now), &of(1, follow(name, true, 0.0)));
        }
        let open = |followers: &mut Followers, now| {
            let gateways = followers.roster(at(now)).gateways;
            gateways.iter().filter(|gateway| gateway.open).count()
        };
        for name in &names {
            now += 1;
            assert!(followers.handle_follow(at(now), &of(1, leave(name))));
            let held = followers.roster(at(now)).version;
            assert_eq!(open(&mut followers, now), count - 1);
            assert!(!followers.handle_follow(at(now), &of(1, follow(name, true, 0.0))));
            assert!(followers.roster_since(at(now), held).is_none());
            assert_eq!(open(&mut followers, now), count - 1);
            assert!(followers.handle_follow(at(now), &of(2, follow(name, true, 0.0))));
            assert_eq!(open(&mut followers, now), count);
        }
    }
}

#[test]
fn a_gateway_that_leaves_is_sent_to_all_sooner_than_one_that_opens() {
    for (count, open_delay, leave_delay) in [(2, at(4), at(4)), (200, at(400), at(50))] {
        let mut followers = Followers::default();
        for i in 0..count {
            followers.handle_follow(at(0), &follow(&format!("g{i}"), true, 0.0));
        }
        let mut delay_of = |request: &FollowRequest| {
            let held = followers.roster(at(1)).version;
            assert!(followers.handle_follow(at(1), request));
            let change = followers.roster_since(at(1), held).unwrap();
            followers.roster_delay(&change)
        };
        assert_eq!(delay_of(&follow("g0", false, 0.0)), open_delay);
        assert_eq!(delay_of(&leave("g1")), leave_delay);
    }
}

#[test]
fn the_demand_of_all_gateways_is_added_up_and_that_of_silent_ones_ends() {
    let mut followers = Followers::new(Duration::from_secs(1));
    let reporting = |name: &str, work, level| FollowRequest {
        rooms: vec![ServiceRoom {
            service: "engines".into(),
            level,
            admitted: work,
            accounts: vec![AccountWork {
                account: "depot".into(),
                work,
            }],
        }],
        ..follow(name, true, 0.0)
    };
    followers.handle_follow(at(0), &reporting("a", 3.0, 1.0));
    followers.handle_follow(at(2000), &reporting("b", 1.0, 0.0));
    let sums = followers.rooms(at(2500));
    assert_eq!((sums[0].level, sums[0].admitted), (0.75, 4.0));
    assert_eq!(sums[0].accounts[0].work, 4.0);
    // The gateway that is silent counts no more.
    let sums = followers.rooms(at(3500));
    assert_eq!((sums[0].level, sums[0].admitted), (0.0, 1.0));
}
