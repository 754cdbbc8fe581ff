//! Controllers that are replaced, with and without notice: once the pages allow the next loss, it ends no quorum.

mod platform_support;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use hyper::{Method, StatusCode};
use platform_support::{
    PreparedInstallation, ReceivedRequest, ServerAction, TEST_TIMEOUT,
    daemons::{
        Daemon, call_any, call_following_redirect, current_program, earlier_program, version_of,
    },
    document, wait_until,
};
use tokio::time::{Instant, sleep};

/// The `CatchUpS` of the smallest deployments: time after which a new controller counts as present.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Pause between an unplanned removal and the start of the successor, and between losses that follow each other.
const PAUSE: Duration = Duration::from_secs(1);
/// The `GraceS` of the smallest deployments: a process that still runs this long after SIGTERM is killed.
const GRACE: Duration = Duration::from_secs(8);

/// A controller and its process, until it is removed.
struct Place {
    daemon: Daemon,
    control: SocketAddr,
    folder: PathBuf,
}

/// The controllers of an installation.
struct Core {
    prepared: PreparedInstallation,
    places: Vec<Place>,
    version: u64,
}

impl Core {
    /// Starts controllers and publishes the first table.
    async fn start(controllers: usize) -> Self {
        let script = |_: usize, _: &ReceivedRequest| ServerAction::Silent;
        let prepared = PreparedInstallation::prepare(controllers, 1, script).await;
        let files = prepared.controller_files.iter().zip(prepared.controls());
        let places = files.enumerate().map(|(at, (file, control))| Place {
            daemon: Daemon::start(file),
            control,
            folder: prepared.data_folder(at),
        });
        let mut core = Self {
            places: places.collect(),
            prepared,
            version: 0,
        };
        core.publish().await;
        core
    }

    /// Starts three controllers and further ones, and waits until those have caught up.
    async fn start_with(successors: usize) -> Self {
        let mut core = Self::start(3).await;
        for _ in 0..successors {
            core.add(current_program());
        }
        sleep(CATCH_UP).await;
        core
    }

    /// Starts a further controller of a build.
    fn add(&mut self, program: &Path) {
        let (file, control, folder) = self.prepared.add_controller_file();
        self.places.push(Place {
            daemon: Daemon::start_program(program, &file, "info", Stdio::null()),
            control,
            folder,
        });
    }

    fn controls(&self) -> Vec<SocketAddr> {
        self.places.iter().map(|place| place.control).collect()
    }

    /// Publishes the next table until it is acknowledged.
    async fn publish(&mut self) {
        self.version += 1;
        let text = document(self.version).to_string();
        let path = "/api/config/put";
        call_any(&self.controls(), Method::POST, path, &text).await;
    }

    /// Reads the last acknowledged table back, and publishes one more.
    async fn check(&mut self) {
        let read = call_any(&self.controls(), Method::GET, "/api/config/get", "").await;
        assert_eq!(version_of(&read), self.version, "an acknowledged table");
        self.publish().await;
    }

    /// Returns the position of the controller that leads: it answers without a redirect.
    async fn leader(&self) -> usize {
        let begun = Instant::now();
        loop {
            for (at, place) in self.places.iter().enumerate() {
                let text = document(self.version).to_string();
                let call = platform_support::post(place.control, "/api/config/put", text);
                if call.await.is_some_and(|res| res.status == StatusCode::OK) {
                    return at;
                }
            }
            assert!(begun.elapsed() < TEST_TIMEOUT, "no controller leads");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the position of a controller of the first ones that leads, or of one that does not.
    async fn find(&self, leads: bool) -> usize {
        let leader = self.leader().await;
        match leads {
            true => leader,
            false => usize::from(leader == 0),
        }
    }

    /// Stops a controller with notice and removes it once it has ended, or after the grace.
    async fn stop(&mut self, at: usize) {
        self.places[at].daemon.terminate();
        self.wait_for_end(at).await;
    }

    async fn wait_for_end(&mut self, at: usize) {
        let begun = Instant::now();
        while !self.places[at].daemon.has_ended_well() && begun.elapsed() < GRACE {
            sleep(Duration::from_millis(5)).await;
        }
        println!("a controller ended {:?} after SIGTERM", begun.elapsed());
        self.places.remove(at);
    }

    /// Removes a controller without notice.
    fn kill(&mut self, at: usize) {
        self.places.remove(at);
    }

    /// The leader acknowledges a table, loses its disk right after that, and comes back.
    async fn lose_a_disk(&mut self) {
        let at = self.leader().await;
        self.version += 1;
        let text = document(self.version).to_string();
        let control = self.places[at].control;
        let res = call_following_redirect(control, Method::POST, "/api/config/put", &text).await;
        assert!(res.is_some_and(|res| res.status == StatusCode::OK));
        self.places[at].wipe();
        sleep(PAUSE).await;
        self.places[at].daemon.restart();
    }

    /// Waits until the controllers bear a number of losses more, as the leader's metrics say.
    async fn wait_until_borne(&self, losses: u64) {
        wait_until("the losses are borne", || async {
            for place in &self.places {
                let borne = place.metric("controller_losses_borne ").await;
                if borne.is_some_and(|borne| borne >= losses) {
                    return true;
                }
            }
            false
        })
        .await;
    }
}

impl Place {
    /// Kills the process and empties its disk.
    fn wipe(&mut self) {
        self.daemon.kill();
        std::fs::remove_dir_all(&self.folder).unwrap();
    }

    /// Returns the whole number behind a prefix in the process's metrics, if it is there.
    async fn metric(&self, prefix: &str) -> Option<u64> {
        let metrics = SocketAddr::new(self.control.ip(), 9464);
        let answer = platform_support::call(metrics, Method::GET, "/metrics", &[], "").await?;
        let text = answer.text();
        let value = text.lines().find_map(|line| line.strip_prefix(prefix))?;
        value.parse().ok()
    }
}

/// Replaces a controller with notice, its successor first, and loses a disk right after it has ended.
async fn replace_as_planned(leads: bool) {
    let mut core = Core::start_with(1).await;
    let old = core.find(leads).await;
    core.stop(old).await;
    core.lose_a_disk().await;
    core.check().await;
}

/// Guards against a quorum that ended with the first loss after a planned replacement of the leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_loss_right_after_the_leader_was_replaced_as_planned_ends_no_quorum() {
    replace_as_planned(true).await;
}

/// Guards against a quorum that ended with the first loss after a planned replacement of a follower.
#[tokio::test(flavor = "multi_thread")]
async fn a_loss_right_after_a_follower_was_replaced_as_planned_ends_no_quorum() {
    replace_as_planned(false).await;
}

/// Guards against a quorum that ended with the second of two planned replacements.
#[tokio::test(flavor = "multi_thread")]
async fn two_controllers_that_are_replaced_as_planned_in_a_row_end_no_quorum() {
    let mut core = Core::start_with(2).await;
    for leads in [true, false] {
        let old = core.find(leads).await;
        core.stop(old).await;
    }
    core.check().await;
    core.lose_a_disk().await;
    core.check().await;
}

/// Guards against a quorum that ended when two controllers were stopped at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn two_controllers_that_are_replaced_as_planned_at_once_end_no_quorum() {
    let mut core = Core::start_with(2).await;
    for at in [0, 1] {
        core.places[at].daemon.terminate();
    }
    core.wait_for_end(1).await;
    core.wait_for_end(0).await;
    core.check().await;
    core.lose_a_disk().await;
    core.check().await;
}

/// Guards against a vote that was replaced later than the next loss was to be borne after a leader was lost for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_loss_after_the_leader_was_lost_and_its_successor_caught_up_ends_no_quorum() {
    let mut core = Core::start(3).await;
    for leads in [true, false] {
        let lost = core.find(leads).await;
        core.kill(lost);
        sleep(PAUSE).await;
        core.add(current_program());
        sleep(CATCH_UP).await;
    }
    core.lose_a_disk().await;
    core.check().await;
}

/// Guards against a promotion that can never be committed: a controller comes back with an empty disk, gets the log, and loses
/// its disk again before its promotion is committed.
#[tokio::test(flavor = "multi_thread")]
async fn a_controller_that_loses_its_disk_again_as_it_is_promoted_ends_no_quorum() {
    let mut core = Core::start(3).await;
    sleep(CATCH_UP).await;
    let lost = core.find(false).await;
    for _ in 0..3 {
        core.places[lost].wipe();
        core.publish().await;
        sleep(PAUSE).await;
        core.places[lost].daemon.restart();
        let begun = Instant::now();
        while core.places[lost].metric("controller_table_version ").await < Some(core.version) {
            assert!(begun.elapsed() < TEST_TIMEOUT, "it does not get the log");
            sleep(Duration::from_millis(2)).await;
        }
    }
    core.places[lost].wipe();
    sleep(PAUSE).await;
    core.places[lost].daemon.restart();
    core.check().await;
    core.wait_until_borne(1).await;
}

/// Guards against a controller that waits for a successor that can't come.
#[tokio::test(flavor = "multi_thread")]
async fn a_controller_without_a_successor_stops_at_once() {
    let mut core = Core::start(3).await;
    let old = core.find(true).await;
    let begun = Instant::now();
    core.stop(old).await;
    assert!(begun.elapsed() < PAUSE, "{:?}", begun.elapsed());
    core.check().await;
}

/// Guards against a build that waits for answers that the build before does not give. By hand, `EARLIER_DAEMON` names that build.
#[tokio::test(flavor = "multi_thread")]
async fn controllers_of_two_builds_replace_each_other() {
    let earlier = earlier_program();
    let mut core = Core::start(3).await;
    for program in [earlier.as_path(), current_program(), earlier.as_path()] {
        core.add(program);
        sleep(CATCH_UP).await;
        core.stop(0).await;
        // An earlier build replaces a vote once it has been silent.
        sleep(CATCH_UP + PAUSE).await;
        core.check().await;
    }
}

/// Guards against a loss that is borne again later than the pages allow: the leader knows it within the time of a successor.
#[tokio::test(flavor = "multi_thread")]
async fn standing_by_controllers_restore_what_is_borne_after_each_loss() {
    let mut core = Core::start_with(4).await;
    core.wait_until_borne(1).await;
    for leads in [true, false, true, false] {
        let lost = core.find(leads).await;
        core.kill(lost);
        sleep(CATCH_UP).await;
    }
    core.check().await;
    core.lose_a_disk().await;
    core.check().await;
}

/// Guards against a quorum that ended when two controllers were lost at once without notice though both successors stood by.
#[tokio::test(flavor = "multi_thread")]
async fn two_controllers_that_are_lost_at_once_after_their_successors_caught_up_end_no_quorum() {
    let mut core = Core::start_with(2).await;
    core.wait_until_borne(2).await;
    core.kill(1);
    core.kill(0);
    core.check().await;
    core.wait_until_borne(1).await;
    core.lose_a_disk().await;
    core.check().await;
}
