//! The data folder: what was persisted is read back, and damage is found.

use flamingocroft::{
    adapters::disk::{LogStore, StoreError},
    domain::MemberId,
    replication::{HardState, Recovered},
    wire::Entry,
};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        kind: 1,
        data: format!("entry {index} of term {term}").into(),
    }
}

#[test]
fn what_was_persisted_is_read_back() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, recovered, member) = LogStore::open(folder.path()).unwrap();
    assert_eq!(recovered, Recovered::default());
    let hard_state = HardState {
        term: 3,
        vote: Some(MemberId(7)),
    };
    let entries = [entry(1, 2), entry(2, 2), entry(3, 3)];
    store
        .persist(Some(hard_state.clone()), &entries, None)
        .unwrap();
    store.persist(None, &[entry(3, 4)], None).unwrap();
    drop(store);
    let (_store, recovered, again) = LogStore::open(folder.path()).unwrap();
    assert_eq!(again, member);
    assert_eq!(recovered.hard_state, hard_state);
    assert_eq!(recovered.entries, [entry(1, 2), entry(2, 2), entry(3, 4)]);
}

#[test]
fn a_folder_belongs_to_one_process() {
    let folder = tempfile::tempdir().unwrap();
    let _first = LogStore::open(folder.path()).unwrap();
    let second = LogStore::open(folder.path());
    assert!(matches!(second, Err(StoreError::Locked(_))));
}
