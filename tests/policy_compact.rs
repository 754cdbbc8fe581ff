//! When a snapshot is due: by the number of entries applied since the last one, or by their size.

use flamingocroft::policy::compact::SinceSnapshot;

const MIB: u64 = 1024 * 1024;

#[test]
fn a_snapshot_is_due_by_entries_or_by_bytes_and_both_grow_with_its_cost() {
    let due = |entries, bytes, claims, snapshot_bytes| {
        let since = SinceSnapshot {
            entries,
            bytes,
            claims,
            snapshot_bytes,
        };
        since.is_due()
    };
    assert!(!due(16 * 1024 - 1, 4 * MIB - 1, 0, 0));
    assert!(due(16 * 1024, 0, 0, 0));
    assert!(!due(16 * 1024, 0, 100_000, 0) && due(100_000, 0, 100_000, 0));
    assert!(due(1, 4 * MIB, 0, 0), "one entry of the largest size");
    assert!(!due(8, 16 * MIB - 1, 0, 8 * MIB) && due(8, 16 * MIB, 0, 8 * MIB));
}
