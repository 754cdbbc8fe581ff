//! The platform's list of servers when other writers put entries into it that can't be read.

mod metric_text;
mod platform_support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use flamingocroft::{
    platform::{Api, read_page},
    ports::{CloudError, ListedPage, Platform},
    settings::Timing,
};
use hyper::{Method, StatusCode};
use metric_text::value;
use platform_support::{Installation, ServerAction, document, requests_per_server, wait_until};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};

/// Serves one body for every request over HTTP.
async fn serve_body(body: Arc<Mutex<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let body = body.lock().unwrap().clone();
            let mut head = [0; 4096];
            let _ = stream.read(&mut head).await;
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
                body.len()
            );
            let _ = stream.write_all(&[answer.as_bytes(), &body].concat()).await;
        }
    });
    address
}

fn sound(id: &str) -> Vec<u8> {
    format!(
        r#"{{"Service":"app","Address":"10.0.0.9:8080","Zone":"a","Version":"v1","Slots":4,"State":"ready",
            "ColdLeftMs":0,"Stage":"hybrid","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Id":"{id}"}}"#
    )
    .into_bytes()
}

/// Returns a page with a foreign entry between two sound ones.
fn page_with(foreign: &[u8]) -> Vec<u8> {
    page(&[&sound("i-1"), foreign, &sound("i-2")])
}

fn page(entries: &[&[u8]]) -> Vec<u8> {
    let mut body = b"{\"Instances\":[".to_vec();
    body.extend(entries.join(&b", "[..]));
    body.extend(b"],\"Next\":\"p-50\"}");
    body
}

fn names(page: &ListedPage) -> Vec<String> {
    let names = page.upstreams.iter().map(|row| row.instance.to_string());
    names.collect()
}

#[tokio::test]
async fn an_unreadable_entry_hides_no_other_entry() {
    let deep = [&b"[".repeat(50_000)[..], &b"]".repeat(50_000)].concat();
    let foreign: [&[u8]; 17] = [
        b"{\"Service\":\"app\",\"Id\":\"\xff\xfe\x80\",\"State\":\"ready\"}",
        b"{\"Id\":\"\\ud800\",\"Service\":\"app\"}",
        b"{\"Id\":\"i-odd\",\"Slots\":1e999}",
        b"{\"Id\":\"i-odd\",\"Slots\":-1}",
        b"{\"Id\":7,\"Service\":[],\"Address\":{}}",
        b"null",
        b"\"i-odd\"",
        b"",
        b"{}",
        b"nul",
        &deep,
        b"{\"Id\":\"i-odd\",\"Models\":[{\"Name\":[[[{}]]]}]}",
        // Cut at several places.
        b"{\"Id\":\"i-odd\",\"Serv",
        b"{\"Id\":\"i-odd\",\"Models\":[{\"Name\":\"m\"",
        b"{\"Id\":\"i-odd\",\"Models\":[1",
        b"{\"Id\":\"i-odd\\",
        b"{\"Id\":\"i-odd\",\"Slots\":4}]}",
    ];
    let body = Arc::new(Mutex::new(Vec::new()));
    let api = Api::new(serve_body(Arc::clone(&body)).await, &Timing::default());
    let mut hidden = Vec::new();
    for entry in foreign {
        *body.lock().unwrap() = page_with(entry);
        let got = api.list_upstreams(None).await;
        let seen = got.as_ref().map(|got| (names(got), got.next.as_deref()));
        let expected = (vec!["i-1".to_owned(), "i-2".to_owned()], Some("p-50"));
        if seen.as_ref().ok() != Some(&expected) {
            let entry = String::from_utf8_lossy(&entry[..entry.len().min(60)]).into_owned();
            hidden.push((entry, format!("{seen:?}")));
        }
    }
    assert!(
        hidden.is_empty(),
        "{} hide others: {hidden:#?}",
        hidden.len()
    );
}

#[test]
fn a_rejected_entry_is_named_with_its_place_and_reason() {
    let foreign = b"{\"Id\":\"i-odd\",\"Service\":7}";
    let body = page_with(foreign);
    let read = read_page(&body).unwrap();
    let [rejected] = &read.rejected.described[..] else {
        panic!("{:?}", read.rejected);
    };
    assert_eq!(rejected.position, 1);
    assert!(body[rejected.offset..].starts_with(foreign));
    assert_eq!(rejected.name.as_deref(), Some("i-odd"));
    assert_eq!(
        rejected.reason,
        "invalid type: integer `7`, expected a string"
    );
    let many = page(&[&b"null"[..]; 5000]);
    let read = read_page(&many).unwrap();
    assert_eq!(
        (read.rejected.count, read.rejected.described.len()),
        (5000, 32)
    );
}

#[test]
fn a_page_without_an_end_is_no_last_page() {
    let whole = page(&[&sound("i-1"), &sound("i-2")]);
    let first_entry_ends = whole.windows(2).position(|pair| pair == b"},").unwrap() + 1;
    for length in 0..whole.len() {
        match read_page(&whole[..length]) {
            Ok(read) => {
                assert!(read.cut.is_some() && read.next.is_none(), "{length}");
                assert_eq!(
                    names(&read).is_empty(),
                    length < first_entry_ends,
                    "{length} {first_entry_ends} {read:?}"
                );
            }
            Err(e) => assert!(matches!(e, CloudError::Unreadable(_)), "{e}"),
        }
    }
    for next in ["7", "{}", "\"\\ud800\""] {
        let body = format!("{{\"Instances\":[],\"Next\":{next}}}");
        assert!(read_page(body.as_bytes()).unwrap().cut.is_some(), "{next}");
    }
}

/// Each attempt to read on behind a damaged entry may read the rest of the page, and a page may hold a million places
/// where an entry could begin.
#[test]
fn a_damaged_page_is_read_in_time_that_grows_with_its_size() {
    let nested = [&b"{\"Instances\":["[..], &b"[{\"a\":".repeat(150_000)].concat();
    let started = std::time::Instant::now();
    assert!(read_page(&nested).unwrap().cut.is_some());
    // Without a limit: 150,000 attempts at up to a megabyte, which takes minutes.
    assert!(started.elapsed() < Duration::from_secs(10));
}

fn sound_list(installation: &Installation) -> Vec<Vec<u8>> {
    let listed = installation.listed.lock().unwrap();
    listed
        .iter()
        .map(|entry| entry.to_string().into_bytes())
        .collect()
}

fn set_raw_list(installation: &Installation, entries: &[Vec<u8>], end: &[u8]) {
    let body = [b"{\"Instances\":[", &entries.join(&b","[..])[..], end].concat();
    *installation.raw_list.lock().unwrap() = Some(body);
}

/// Returns which servers get requests.
async fn serving(installation: &Installation) -> Vec<usize> {
    installation.log.requests.lock().unwrap().clear();
    for i in 0..12 {
        let id = format!("r{i}");
        let res = installation.send(Method::GET, "/safe/x", &id, "").await;
        assert_eq!(res.status, StatusCode::OK);
    }
    let counts = requests_per_server(&installation.log.requests());
    let mut servers: Vec<usize> = counts.into_keys().collect();
    servers.sort_unstable();
    servers
}

#[tokio::test]
async fn a_draining_server_gets_no_request_though_another_entry_cannot_be_read() {
    let respond = |_: usize, _: &_| ServerAction::Respond(StatusCode::OK, b"done".to_vec());
    let installation = Installation::start(2, respond).await;
    installation.publish(&document(1)).await;
    assert_eq!(serving(&installation).await, [0, 1]);
    let before = installation.metrics[0].render();
    installation.listed.lock().unwrap()[0]["State"] = "draining".into();
    let mut entries = sound_list(&installation);
    entries.push(b"{\"Id\":\"\xff\xfe\x80\",\"Service\":\"app\",\"State\":\"ready\"}".to_vec());
    set_raw_list(&installation, &entries, b"],\"Next\":null}");
    wait_until("the draining server gets no requests", || async {
        serving(&installation).await == [1]
    })
    .await;
    // Many reads later.
    sleep(Duration::from_millis(500)).await;
    let after = installation.metrics[0].render();
    let counter = "controller_list_entries_rejected_total";
    assert_eq!(value(&after, counter) - value(&before, counter), 1.0);
    // The entry of the test's platform that describes no server, and this one.
    assert_eq!(value(&after, "controller_list_rejected"), 2.0);
}

#[tokio::test]
async fn a_list_without_an_end_changes_what_it_shows_and_takes_nothing_away() {
    let respond = |_: usize, _: &_| ServerAction::Respond(StatusCode::OK, b"done".to_vec());
    let installation = Installation::start(3, respond).await;
    installation.publish(&document(1)).await;
    assert_eq!(serving(&installation).await, [0, 1, 2]);
    assert_eq!(
        value(
            &installation.metrics[0].render(),
            "controller_list_age_seconds"
        ),
        0.0
    );
    installation.listed.lock().unwrap()[0]["State"] = "draining".into();
    let entries = sound_list(&installation);
    set_raw_list(&installation, &entries[..1], b",{\"Id\":\"i-");
    wait_until("the draining server gets no requests", || async {
        serving(&installation).await == [1, 2]
    })
    .await;
    wait_until("the age of the list grows", || async {
        value(
            &installation.metrics[0].render(),
            "controller_list_age_seconds",
        ) >= 1.0
    })
    .await;
    assert_eq!(serving(&installation).await, [1, 2]);
    *installation.raw_list.lock().unwrap() = None;
    wait_until("the list is read again", || async {
        value(
            &installation.metrics[0].render(),
            "controller_list_age_seconds",
        ) == 0.0
    })
    .await;
}

/// Returns a foreign entry: a sound one with some bytes changed or its end cut off, or other bytes.
fn foreign_entry() -> impl Strategy<Value = Vec<u8>> {
    let changes = vec((any::<prop::sample::Index>(), any::<u8>()), 1..4);
    let changed = (changes, any::<prop::sample::Index>(), any::<bool>()).prop_map(
        |(changes, end, is_cut)| {
            let mut entry = sound("i-odd");
            for (at, byte) in changes {
                let at = at.index(entry.len());
                entry[at] = byte;
            }
            if is_cut {
                entry.truncate(end.index(entry.len()));
            }
            entry
        },
    );
    prop_oneof![
        changed,
        vec(any::<u8>(), 0..40),
        "[\\[\\]{}\",:a1\\\\]{0,12}".prop_map(String::into_bytes)
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(49),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn one_foreign_entry_hides_no_sound_one(foreign in foreign_entry(), at in 0..4usize) {
        let mut entries: Vec<_> = (0..3).map(|i| sound(&format!("i-{i}"))).collect();
        entries.insert(at, foreign);
        let read = read_page(&page(&entries.iter().map(|entry| &entry[..]).collect::<Vec<_>>()));
        let read = read.unwrap();
        let seen = names(&read);
        for i in 0..3 {
            prop_assert!(seen.contains(&format!("i-{i}")), "{read:?}");
        }
    }

    #[test]
    fn no_bytes_stop_the_reading_of_a_page(bytes in vec(any::<u8>(), 0..300), at in any::<prop::sample::Index>()) {
        let _ = read_page(&bytes);
        let mut body = page_with(&bytes);
        body.truncate(at.index(body.len()));
        let _ = read_page(&body);
    }
}
