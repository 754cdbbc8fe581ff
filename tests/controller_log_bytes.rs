//! The log on disk is bounded by the size of the state, not by the number of its changes.

mod controllers;

use std::{fs, path::Path};

use controllers::{Cluster, intent};
use flamingocroft::domain::{Intent, Zone};

const MIB: u64 = 1024 * 1024;
const CHANGES: u32 = 20;

/// Returns an intent of about 1 MiB.
fn large_intent(max_instances: u32) -> Intent {
    let zone = |number| Zone {
        name: format!("z{number}").as_str().into(),
        region: format!("region-{}", "r".repeat(1000)).as_str().into(),
    };
    Intent {
        zones: (0..1000).map(zone).collect(),
        ..intent(max_instances)
    }
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap();
    files
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn large_changes_are_compacted_and_survive_a_restart_of_all() {
    let mut cluster = Cluster::start(3).await;
    let mut largest = 0;
    for change in 1..=CHANGES {
        cluster.plan_and_confirm(&large_intent(change)).await;
        let folders = (0..3).map(|index| folder_bytes(cluster.data_folder(index)));
        largest = folders.fold(largest, u64::max);
    }
    cluster.stop_all().await;
    assert!(largest >= 2 * MIB, "the intent is large");
    assert!(largest < 16 * MIB, "{largest} bytes on the disk");
    for index in 0..3 {
        cluster.start_controller(index).await;
    }
    let (leader, _) = cluster.leader().await;
    let plan = cluster.plan(leader, &large_intent(CHANGES + 1)).await;
    assert_eq!(plan.base_revision.0, u64::from(CHANGES));
    cluster.stop_all().await;
}
