//! What earlier builds wrote, as `examples/record_build.rs` recorded it, is read by the current code.

#[path = "../examples/support/mod.rs"]
mod support;

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use bytes::BytesMut;
use flamingocroft::{
    adapters::disk::LogStore,
    replication::Recovered,
    settings::Settings,
    state::{Action, ClaimCommand, Command, Reply, State},
    wire::{Body, ClaimReply, ClaimRequest, ClaimStatus, Entry, EntryKind, Frame, ReplicaPayload},
};
use prost::Message;
use serde_json::{Value, json};
use support::{
    recorder::{frame_kind, length_codec},
    records::append_half_a_record,
};
use tempfile::TempDir;
use tokio_util::codec::Decoder;
use uuid::Uuid;

const BUILDS: [&str; 2] = ["6c49eb0", "536de28"];
/// The kinds of frames that both builds sent.
const KINDS: &[&str] = &[
    "Challenge",
    "Claim",
    "ClaimReply",
    "Follow",
    "FollowReply",
    "Heartbeat",
    "Hello",
    "JournalAck",
    "JournalPut",
    "JournalRemove",
    "Lease",
    "MemberQuery",
    "MemberReport",
    "NotLeader",
    "OriginAck",
    "OriginReport",
    "Outcome",
    "OutcomeReply",
    "Ping",
    "Replica.Append",
    "Replica.AppendReply",
    "Replica.InstallSnapshot",
    "Replica.InstallSnapshotReply",
    "Replica.Vote",
    "Replica.VoteReply",
    "View",
    "ViewRequest",
    "Welcome",
];
/// The kinds with which each of them sent documents: whole, and in blocks.
const DOCUMENT_KINDS: [&[&str]; 2] = [
    &["Document", "DocumentRequest"],
    &[
        "DocumentBlocks",
        "DocumentBlocksRequest",
        "DocumentIndex",
        "DocumentIndexRequest",
    ],
];
fn recorded(build: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    root.join("tests/recorded").join(build)
}

fn said(build: &str) -> Value {
    let text = fs::read_to_string(recorded(build).join("said.json")).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// Returns the recorded frames by kind. Each is decoded whole: encoded again, it has the same bytes.
fn frames(build: &str) -> BTreeMap<String, Body> {
    let bytes = fs::read(recorded(build).join("frames.bin")).unwrap();
    let mut bytes = BytesMut::from(&*bytes);
    let mut frames = BTreeMap::new();
    while let Some(bytes) = length_codec().decode(&mut bytes).unwrap() {
        let frame = Frame::decode(&*bytes).unwrap();
        let kind = frame_kind(&frame).unwrap_or_else(|| panic!("{build}: an unknown frame"));
        let again = frame.encode_to_vec();
        assert!(again == *bytes, "{build}: {kind} loses something");
        frames.insert(kind, frame.body.unwrap());
    }
    frames
}

#[test]
fn frames_of_earlier_builds_are_read_whole() {
    for (build, document_kinds) in BUILDS.into_iter().zip(DOCUMENT_KINDS) {
        let kinds: Vec<String> = frames(build).into_keys().collect();
        let mut expected = [KINDS, document_kinds].concat();
        expected.sort_unstable();
        assert_eq!(kinds, expected, "{build}");
    }
}

/// Copies a recorded data folder, so that it can be opened.
fn copy_of(build: &str, folder: &str) -> TempDir {
    let copy = TempDir::new().unwrap();
    for file in fs::read_dir(recorded(build).join(folder)).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), copy.path().join(file.file_name())).unwrap();
    }
    copy
}

/// Opens a folder and returns what it holds, and the state after all of its entries.
fn open(folder: &Path) -> (LogStore, Recovered, State) {
    let (store, recovered, member) = LogStore::open(folder).unwrap();
    assert!(recovered.snapshot.membership.voters.contains(&member.0));
    let mut state = State::decode(&recovered.snapshot.state).unwrap();
    for entry in &recovered.entries {
        match EntryKind::try_from(entry.kind).unwrap() {
            EntryKind::Command => {
                let command = Command::decode(&*entry.data).unwrap();
                assert_ne!(state.apply(entry.index, &command), Reply::Nothing);
            }
            EntryKind::Open | EntryKind::Membership => state.advance_index(entry.index),
        }
    }
    (store, recovered, state)
}

/// Asks a state for a claim that it holds.
fn ask(state: &mut State, request: ClaimRequest) -> ClaimReply {
    let key = Uuid::from_slice(&request.key).unwrap();
    let (seconds, nanos) = key.get_timestamp().unwrap().to_unix();
    let command = Command {
        at_unix_ms: seconds * 1000 + u64::from(nanos) / 1_000_000,
        action: Some(Action::Claim(ClaimCommand {
            request: Some(request),
            retention_ms: 60_000,
            skew_ms: 60_000,
        })),
    };
    match state.apply(state.index() + 1, &command) {
        Reply::Claim(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_folder_of_an_earlier_build_keeps_its_document_claims_members_and_vote() {
    for build in BUILDS {
        let said = &said(build)["platform"];
        let copy = copy_of(build, "platform");
        let (_store, recovered, mut state) = open(copy.path());
        assert!(
            recovered.snapshot.index > 16 * 1024,
            "{build}: the snapshot"
        );
        assert!(!recovered.entries.is_empty(), "{build}: the log");
        let voters = &recovered.snapshot.membership.voters;
        assert!(voters.len() >= 3, "{build}: {voters:?}");
        assert_eq!(json!(state.published().version), said["version"]);
        let document: Value = serde_json::from_slice(&state.published().document).unwrap();
        let expected: Value = serde_json::from_str(said["document"].as_str().unwrap()).unwrap();
        assert_eq!(document, expected, "{build}");
        for claim in said["claims"].as_array().unwrap() {
            let attempt = claim["attempt"].as_u64().unwrap();
            let request = ClaimRequest {
                account: "depot".into(),
                key: claim["key"]
                    .as_str()
                    .unwrap()
                    .parse::<Uuid>()
                    .unwrap()
                    .into(),
                digest: vec![attempt as u8; 32],
                gateway: "recorder".into(),
                incarnation: 1,
                attempt,
            };
            let reply = ask(&mut state, request);
            assert_eq!(json!(reply.status), claim["status"], "{build}: {claim}");
            let outcome = reply.outcome.map(|outcome| outcome.body.to_vec());
            let outcome = outcome.map(|body| String::from_utf8(body).unwrap());
            assert_eq!(json!(outcome), claim["outcome"], "{build}");
        }
    }
}

#[test]
fn a_folder_of_an_earlier_build_keeps_its_intent_and_instances_and_the_outcome_of_a_call() {
    for build in BUILDS {
        let said = &said(build)["own"];
        let copy = copy_of(build, "own");
        let (store, recovered, mut state) = open(copy.path());
        drop(store);
        let (_store, _, member) = LogStore::open(copy.path()).unwrap();
        assert!(recovered.hard_state.term > 0);
        let vote = recovered.hard_state.vote;
        assert_eq!(vote, Some(member), "{build}: the leader's vote for itself");
        assert_eq!(
            json!(recovered.snapshot.membership.voters.len()),
            said["voters"]
        );
        assert_eq!(json!(state.configuration().revision()), said["revision"]);
        assert!(!state.configuration().intent().services.is_empty());
        assert!(state.instances().present().count() > 0, "{build}");
        let Body::Claim(claim) = &frames(build)["Claim"] else {
            panic!("{build}: no claim was recorded");
        };
        let key = Uuid::from_slice(&claim.key).unwrap();
        assert_eq!(json!(key.to_string()), said["key"]);
        assert_eq!(json!(claim.account), said["account"]);
        let reply = ask(&mut state, claim.clone());
        assert_eq!(reply.status, ClaimStatus::Done as i32);
        let outcome = reply.outcome.unwrap();
        assert_eq!(
            json!(String::from_utf8_lossy(&outcome.body)),
            said["answer"]
        );
    }
}

#[test]
fn journal_entries_and_votes_of_earlier_builds_say_the_same() {
    for build in BUILDS {
        let frames = frames(build);
        let Body::JournalPut(put) = &frames["JournalPut"] else {
            panic!("{build}: no copy of a request was recorded");
        };
        let request = put.request.as_ref().unwrap();
        assert_eq!(request.prompt, "a draft");
        assert_eq!((request.max_tokens, request.seed), (200, 7));
        assert!(matches!(frames["JournalRemove"], Body::JournalRemove(_)));
        let Body::Replica(vote) = &frames["Replica.Vote"] else {
            panic!("{build}: no vote was recorded");
        };
        assert!(vote.term > 0 && vote.from != vote.to, "{vote:?}");
        assert!(matches!(vote.payload, Some(ReplicaPayload::Vote(_))));
    }
}

#[test]
fn a_folder_of_an_earlier_build_with_half_a_record_keeps_the_whole_ones_and_takes_more() {
    for build in BUILDS {
        for folder in ["own", "platform"] {
            let copy = copy_of(build, folder);
            append_half_a_record(copy.path());
            let (mut store, recovered, state) = open(copy.path());
            let last = recovered.entries.last().unwrap();
            let more = Entry {
                index: last.index + 1,
                term: last.term,
                kind: EntryKind::Open as i32,
                data: Vec::new().into(),
            };
            store
                .persist(None, std::slice::from_ref(&more), None)
                .unwrap();
            drop(store);
            let (_store, again, mut expected) = open(copy.path());
            assert_eq!(again.entries.last(), Some(&more));
            assert_eq!(again.entries[..recovered.entries.len()], recovered.entries);
            assert_eq!(again.hard_state, recovered.hard_state);
            expected.advance_index(state.index());
            assert_eq!(expected, state, "{build}");
        }
    }
}

/// Checks that each value of a file is in force.
fn check_settings(path: &str, written: &Value, read: &Value) {
    match written {
        Value::Object(fields) => {
            for (name, value) in fields {
                check_settings(&format!("{path}.{name}"), value, &read[name]);
            }
        }
        value => assert_eq!(value, read, "{path}"),
    }
}

#[test]
fn settings_of_earlier_builds_are_read_with_each_of_their_values() {
    for build in BUILDS {
        for name in [
            "own-controller",
            "own-gateway",
            "platform-controller",
            "platform-gateway",
        ] {
            let file = recorded(build).join(format!("{name}.jsonc"));
            let written = fs::read_to_string(&file).unwrap();
            let written: Value = serde_json::from_str(&written).unwrap();
            let settings = Settings::read_without_file_checks(&file).unwrap();
            let read = serde_json::to_value(settings).unwrap();
            check_settings(name, &written, &read);
        }
    }
}
