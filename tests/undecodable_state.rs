//! State that is a promise (the log, its members, the replicated state) is never read as empty: what can't be decoded
//! is refused, with the place and the remedy.

mod platform_support;
mod replication_support;

use std::{
    fs,
    path::Path,
    time::{Duration, Instant},
};

use flamingocroft::{
    adapters::disk::{LogStore, StoreError},
    domain::MemberId,
    replication::{Effect, Input, Recovered, Snapshot},
    state::State,
    wire::{Entry, EntryKind, InstallSnapshot, MembershipRecord, ReplicaPayload},
};
use platform_support::{PreparedInstallation, ServerAction};
use prost::Message;
use replication_support::single::{START, append_request, entry, receive, replica};

/// Entries that no version has ever written: members that can't be decoded, no voters, and an unknown kind.
fn undecodable_entries(index: u64, term: u64) -> [Entry; 3] {
    let entry = |kind, data: &'static [u8]| Entry {
        index,
        term,
        kind,
        data: data.into(),
    };
    let members = EntryKind::Membership as i32;
    [
        entry(members, b"\xff\xff\xff"),
        entry(members, b""),
        entry(9, b""),
    ]
}

fn segment_size(folder: &Path) -> u64 {
    let mut files = fs::read_dir(folder).unwrap().map(|file| file.unwrap());
    let segment = files.find(|file| file.file_name().to_string_lossy().starts_with("log-"));
    segment.unwrap().metadata().unwrap().len()
}

/// Time by which a started process has let go of a lock that it inherited.
const LOCK_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens a folder whose store was dropped. A process that another test starts at that moment inherits its lock until it runs.
fn open_unlocked(folder: &Path) -> Result<(LogStore, Recovered, MemberId), StoreError> {
    let begun = Instant::now();
    loop {
        match LogStore::open(folder) {
            Err(StoreError::Locked(_)) if begun.elapsed() < LOCK_TIMEOUT => {
                std::thread::sleep(Duration::from_millis(10));
            }
            opened => return opened,
        }
    }
}

#[test]
fn an_undecodable_entry_on_disk_is_named_by_file_and_offset() {
    for undecodable in undecodable_entries(2, 1) {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, ..) = LogStore::open(folder.path()).unwrap();
        store.persist(None, &[entry(1, 1)], None).unwrap();
        let offset = segment_size(folder.path());
        store.persist(None, &[undecodable], None).unwrap();
        drop(store);
        let opened = open_unlocked(folder.path()).map(|(_, recovered, _)| recovered);
        let Err(e @ StoreError::Damaged { .. }) = opened else {
            panic!("{opened:?}");
        };
        let message = e.to_string();
        assert!(message.contains("log-"), "{message}");
        assert!(message.contains(&format!("byte {offset}:")), "{message}");
        assert!(message.contains("start with an empty one"), "{message}");
    }
}

#[test]
fn a_snapshot_on_disk_without_voters_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    let snapshot = Snapshot {
        index: 4,
        term: 1,
        ..Snapshot::default()
    };
    store.persist(None, &[], Some(&snapshot)).unwrap();
    drop(store);
    let opened = open_unlocked(folder.path()).map(|(_, recovered, _)| recovered);
    let Err(e @ StoreError::Damaged { .. }) = opened else {
        panic!("{opened:?}");
    };
    assert!(e.to_string().contains("snapshot"), "{e}");
}

#[test]
fn a_follower_takes_no_entry_that_it_cannot_decode() {
    for undecodable in undecodable_entries(4, 2) {
        let mut replica = replica(2, vec![entry(2, 2)]);
        let members = replica.membership().clone();
        let sent = vec![entry(3, 2), undecodable.clone(), entry(5, 2)];
        let request = append_request(entry(2, 2), sent);
        let effects = receive(&mut replica, START, 2, 2, request);
        assert_eq!(replica.membership(), &members);
        assert_eq!(replica.last_index(), 3, "{undecodable:?}");
        let acknowledged = effects.iter().find_map(|effect| match effect {
            Effect::Send(message) => match &message.payload {
                Some(ReplicaPayload::AppendReply(reply)) => Some((reply.matched, reply.index)),
                _ => None,
            },
            _ => None,
        });
        assert_eq!(acknowledged, Some((true, 3)), "the entry before it counts");
        let again = append_request(entry(3, 2), vec![undecodable]);
        let effects = receive(&mut replica, START, 2, 2, again);
        assert!(
            effects.is_empty(),
            "it would be sent again at once: {effects:?}"
        );
        // The sound entry, as a correct leader sends it again, is taken.
        let again = append_request(entry(3, 2), vec![entry(4, 2)]);
        receive(&mut replica, START, 2, 2, again);
        assert_eq!(replica.last_index(), 4);
    }
}

#[test]
fn a_follower_installs_no_snapshot_without_voters() {
    for membership in [None, Some(MembershipRecord::default())] {
        let mut replica = replica(2, vec![entry(2, 2)]);
        let members = replica.membership().clone();
        let state = State::default().encode();
        let part = |membership| {
            ReplicaPayload::InstallSnapshot(InstallSnapshot {
                index: 40,
                term: 2,
                membership,
                total: state.len() as u64,
                state: state.clone(),
                ..InstallSnapshot::default()
            })
        };
        receive(&mut replica, START, 2, 2, part(membership));
        assert_eq!(replica.membership(), &members);
        assert_eq!(replica.commit(), 1);
        receive(&mut replica, START, 2, 2, part(Some(members.clone())));
        assert_eq!(replica.commit(), 40);
        replica.step(START, Input::Tick);
    }
}

/// A state of which only the index is left.
#[derive(Clone, PartialEq, prost::Message)]
struct OnlyIndex {
    #[prost(uint64, tag = "1")]
    index: u64,
}

#[test]
fn a_state_that_lacks_a_part_is_not_read_as_an_empty_one() {
    let whole = State::default().encode();
    assert_eq!(State::decode(&whole).unwrap(), State::default());
    let lacking = OnlyIndex { index: 7 }.encode_to_vec();
    let e = State::decode(&lacking).expect_err("read as an empty state");
    assert!(e.to_string().contains("join as a new member"), "{e}");
}

#[tokio::test]
async fn a_controller_with_a_state_that_lacks_a_part_ends_and_names_the_file() {
    for state in [OnlyIndex { index: 7 }.encode_to_vec(), Vec::new()] {
        let prepared = PreparedInstallation::prepare(1, 0, |_, _| ServerAction::Silent).await;
        let folder = prepared.data_folder(0);
        let (mut store, _, member) = LogStore::open(&folder).unwrap();
        let snapshot = Snapshot {
            index: 7,
            term: 1,
            membership: MembershipRecord {
                voters: vec![member.0],
                learners: Vec::new(),
            },
            state: state.into(),
        };
        store.persist(None, &[], Some(&snapshot)).unwrap();
        drop(store);
        let said = end_of_controller(&prepared.controller_files[0]).await;
        let file = folder.join("snapshot").display().to_string();
        assert!(said.contains(&file), "{said}");
        assert!(said.contains("is damaged at byte 0"), "{said}");
        assert!(said.contains("move the data folder away"), "{said}");
    }
}

#[tokio::test]
async fn a_controller_ends_at_a_command_without_a_known_action() {
    let prepared = PreparedInstallation::prepare(1, 0, |_, _| ServerAction::Silent).await;
    let (mut store, _, member) = LogStore::open(&prepared.data_folder(0)).unwrap();
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        membership: MembershipRecord {
            voters: vec![member.0],
            learners: Vec::new(),
        },
        ..Snapshot::default()
    };
    store.persist(None, &[], Some(&snapshot)).unwrap();
    let command = Entry {
        data: Vec::new().into(),
        ..entry(2, 1)
    };
    store.persist(None, &[command], None).unwrap();
    drop(store);
    let said = end_of_controller(&prepared.controller_files[0]).await;
    assert!(said.contains("entry 2 of the log"), "{said}");
    assert!(said.contains("start the newest version"), "{said}");
}

/// Runs a controller that must end by itself with an error, and returns what it said.
async fn end_of_controller(settings: &Path) -> String {
    let controller = tokio::process::Command::new(env!("CARGO_BIN_EXE_flamingocroftd"))
        .arg("--settings")
        .arg(settings)
        .kill_on_drop(true)
        .output();
    let ended = tokio::time::timeout(Duration::from_secs(10), controller).await;
    let ended = ended.expect("it runs with an empty state").unwrap();
    assert!(!ended.status.success());
    String::from_utf8_lossy(&ended.stderr).into_owned() + &String::from_utf8_lossy(&ended.stdout)
}
