//! Changes of a large document leave no history behind in the memory or on the disks of controllers, and a controller
//! that lost its disk votes again soon.

mod platform_support;

use std::{env, fs, path::Path, time::Duration};

use platform_support::{
    PreparedInstallation, ServerAction,
    daemons::{Daemon, Daemons},
    document,
};
use serde_json::json;
use tokio::time::sleep;

const MIB: u64 = 1024 * 1024;
/// Size of the document; the largest one that an installation accepts is a little smaller than 4 MiB.
const PADDING_BYTES: usize = 4 * 1024 * 1024 - 4096;
/// Number of changes, unless the environment names another one for a measurement.
const CHANGES: u64 = 40;
/// Time after a restart within which a controller without a disk votes again.
const CATCH_UP: Duration = Duration::from_secs(4);
const MAX_PEAK_BYTES: u64 = 128 * MIB;
const MAX_DISK_BYTES: u64 = 32 * MIB;
const CHANGES_VARIABLE: &str = "LOG_BYTES_CHANGES";

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).unwrap();
    // A temporary file may be renamed meanwhile.
    let sizes = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len()));
    sizes.sum()
}

/// Returns the peak memory of a process.
fn peak_bytes(daemon: &Daemon) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", daemon.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kib = line.unwrap().trim().strip_suffix("kB").unwrap();
    kib.trim().parse::<u64>().unwrap() * 1024
}

fn largest_peak(daemons: &Daemons) -> u64 {
    daemons.controllers.iter().map(peak_bytes).max().unwrap()
}

async fn publish(daemons: &Daemons, version: u64, padding: &str) {
    let mut document = document(version);
    document["Padding"] = json!(padding);
    daemons.publish(&document).await;
}

/// Prints and checks the largest memory and disk use so far.
fn check_sizes(when: &str, daemons: &Daemons, disk: u64) {
    let peak = largest_peak(daemons);
    println!(
        "{when}: memory at most {:.1} MiB, disk at most {:.1} MiB",
        peak as f64 / MIB as f64,
        disk as f64 / MIB as f64
    );
    assert!(peak < MAX_PEAK_BYTES, "{when}: {peak} bytes of memory");
    assert!(disk < MAX_DISK_BYTES, "{when}: {disk} bytes on the disk");
}

#[tokio::test]
async fn a_history_of_large_documents_outgrows_no_controller() {
    let changes = env::var(CHANGES_VARIABLE).map_or(CHANGES, |text| text.parse().unwrap());
    let padding = "x".repeat(PADDING_BYTES);
    let prepared = PreparedInstallation::prepare(3, 1, |_, _| ServerAction::Silent).await;
    let mut daemons = Daemons::start(prepared);
    let mut disk = 0;
    for version in 1..=changes {
        publish(&daemons, version, &padding).await;
        let folders = daemons.folders.iter().map(|folder| folder_bytes(folder));
        disk = folders.fold(disk, u64::max);
    }
    check_sizes("running", &daemons, disk);
    for controller in &mut daemons.controllers {
        controller.kill();
    }
    for controller in &mut daemons.controllers {
        controller.restart();
    }
    assert_eq!(
        daemons.document_version().await,
        changes,
        "after a restart of all"
    );
    check_sizes("start", &daemons, disk);
    for (number, lost) in [0, 1, 2, 0].into_iter().enumerate() {
        daemons.controllers[lost].kill();
        fs::remove_dir_all(&daemons.folders[lost]).unwrap();
        let version = changes + number as u64;
        assert_eq!(
            daemons.document_version().await,
            version,
            "without the disk of {lost}"
        );
        publish(&daemons, version + 1, &padding).await;
        daemons.controllers[lost].restart();
        // The next disk may be lost once this controller has had this time.
        sleep(CATCH_UP).await;
    }
    let folders = daemons.folders.iter().map(|folder| folder_bytes(folder));
    check_sizes("catch-up", &daemons, folders.fold(disk, u64::max));
}
