//! The platform's list of upstreams as the leader last read it, and its recent changes. Gateways get the changes
//! since their version, and the full list only if they hold no version of this leader.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use prost::Message;

use super::stated_limits::StatedLimits;
use crate::{
    policy::{
        availability::MAX_LIST_LAG,
        origins::SoftwareHistory,
        quota::{BucketLimit, TokenBucket},
    },
    wire::{ListVersion, UpstreamLimitReport, UpstreamList, UpstreamRow},
};

/// Token bucket for full lists, in bytes per second and burst bytes. Hundreds of gateways without a list ask at the
/// same moment; if all replies were sent at once, they would arrive late and be requested again.
const FULL_LIST_BYTES: BucketLimit = BucketLimit {
    per_second: 12e6,
    capacity: 3e6,
};
/// Upstream changes kept for incremental updates: many times the number of changes between two follow requests.
const MAX_LIST_CHANGES: usize = 8192;

/// The list of upstreams and its recent changes.
#[derive(Debug, Default)]
pub struct ListHistory {
    list: UpstreamList,
    /// The encoded list for gateways that hold none of this term; encoded on first use.
    encoded: Option<Bytes>,
    /// Bytes of full lists that may be sent now.
    full_list_budget: Option<TokenBucket>,
    /// Upstreams that were added, changed or removed, each with the sequence of the list in this term that showed
    /// it. Changes up to sequence `discarded_through` are discarded.
    changes: VecDeque<(u64, String)>,
    discarded_through: u64,
    /// Upstreams that announced to a gateway that they leave, and when a gateway last reported it.
    leaving_reports: HashMap<String, Duration>,
    stated_limits: StatedLimits,
    software: SoftwareHistory,
    /// When a list was last read to its end; before that, when the first read began.
    read_at: Option<Duration>,
    rejected: usize,
}

impl ListHistory {
    /// Returns the upstreams, ordered by instance.
    pub fn rows(&self) -> &[UpstreamRow] {
        &self.list.rows
    }

    /// Returns the version, or `None` before a list was read.
    pub fn version(&self) -> Option<ListVersion> {
        self.list.version
    }

    /// Records that a read begins.
    pub fn begin_read(&mut self, now: Duration) {
        self.read_at.get_or_insert(now);
    }

    /// Records that a list was read to its end.
    pub fn end_read(&mut self, now: Duration) {
        self.read_at = Some(now);
    }

    /// Returns the time since a list was last read to its end; if there was none, the time since the first read began.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at.unwrap_or(now))
    }

    /// Records how many entries of the list name no upstream.
    pub fn set_rejected(&mut self, count: usize) {
        self.rejected = count;
    }

    /// Returns how many entries of the list read last name no upstream.
    pub fn rejected(&self) -> usize {
        self.rejected
    }

    /// Records the software versions in a list that was just read, or in a page of it.
    pub fn record_software(&mut self, term: u64, rows: &[UpstreamRow], now: Duration) {
        let rows = rows.iter().map(|row| (&*row.service, &*row.software));
        self.software.record(term, rows, now);
    }

    /// Returns the only software version of a service that can have begun a stream that may still be resumed; see
    /// [`SoftwareHistory::only_version`].
    pub fn only_software(&self, term: u64, service: &str, now: Duration) -> Option<&str> {
        self.software.only_version(term, service, now)
    }

    /// Replaces the list with one that was just read. Returns whether it differs from the previous one.
    pub fn replace(&mut self, term: u64, mut rows: Vec<UpstreamRow>) -> bool {
        rows.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        for row in &mut rows {
            row.reported_leaving = self.leaving_reports.contains_key(&row.instance);
            row.requests_per_1000_s = self.stated_limits.listed(&row.instance);
        }
        let held = self.list.version.unwrap_or_default();
        let same = held.term == term && are_same_rows(&self.list.rows, &rows);
        if same {
            return false;
        }
        let sequence = if held.term == term {
            held.sequence + 1
        } else {
            self.changes.clear();
            self.discarded_through = 1;
            1
        };
        self.record_changes(sequence, &rows);
        self.list = UpstreamList {
            version: Some(ListVersion { term, sequence }),
            rows,
            ..UpstreamList::default()
        };
        self.encoded = None;
        true
    }

    /// Merges one page of the list that was just read; upstreams on other pages stay. Returns whether any upstream is
    /// new or differs. A list of an earlier term stays until the full list was read.
    pub fn merge_page(&mut self, term: u64, page: &[UpstreamRow]) -> bool {
        if self.list.version.unwrap_or_default().term != term {
            return false;
        }
        let held = &self.list.rows;
        let changed: Vec<UpstreamRow> = page
            .iter()
            .filter(|row| is_new_or_changed(held, row))
            .cloned()
            .collect();
        if changed.is_empty() {
            return false;
        }
        let names: HashSet<&str> = changed.iter().map(|row| &*row.instance).collect();
        let unchanged = held.iter().filter(|row| !names.contains(&*row.instance));
        let mut rows: Vec<UpstreamRow> = unchanged.cloned().collect();
        rows.extend(changed);
        self.replace(term, rows)
    }

    /// Marks upstreams that announced to a gateway that they leave. Returns whether this changed the list.
    pub fn mark_leaving(&mut self, now: Duration, instances: &[String]) -> bool {
        let mut is_new = false;
        for instance in instances {
            let previous = self.leaving_reports.insert(instance.clone(), now);
            is_new |= previous.is_none();
        }
        is_new && self.refresh()
    }

    /// Merges the limits that upstreams stated to a gateway. Returns the upstreams whose limits changed, each with
    /// its requests per 1,000 seconds. Such a change counts as a change of the list.
    pub fn record_limits(
        &mut self,
        now: Duration,
        reports: &[UpstreamLimitReport],
    ) -> Vec<(String, Option<u64>)> {
        let changed = self.stated_limits.record(now, reports);
        if !changed.is_empty() {
            self.refresh();
        }
        changed
    }

    /// Forgets the limits of upstreams that are not in the list, which must have been read completely.
    pub fn forget_unlisted_limits(&mut self) {
        self.stated_limits.retain_listed(&self.list.rows);
    }

    /// Applies what gateways reported to the rows of the list. Returns whether this changed the list.
    fn refresh(&mut self) -> bool {
        let version = self.list.version;
        version.is_some_and(|version| self.replace(version.term, self.list.rows.clone()))
    }

    /// Drops leaving reports that are so old that the platform's list must include them.
    pub fn expire_leaving_reports(&mut self, now: Duration) {
        self.leaving_reports
            .retain(|_, last_report| now.saturating_sub(*last_report) < MAX_LIST_LAG);
    }

    /// Records which upstreams a new list adds, changes or removes.
    fn record_changes(&mut self, sequence: u64, rows: &[UpstreamRow]) {
        let held = &self.list.rows;
        let changed = rows.iter().filter(|row| is_new_or_changed(held, row));
        let gone = held
            .iter()
            .filter(|row| find_row(rows, &row.instance).is_none());
        let changes = changed.chain(gone);
        self.changes
            .extend(changes.map(|row| (sequence, row.instance.clone())));
        while self.changes.len() > MAX_LIST_CHANGES {
            if let Some((discarded, _)) = self.changes.pop_front() {
                self.discarded_through = discarded;
            }
        }
    }

    /// Returns the update for a gateway that holds a version: the changes since, or the full list if the version is of
    /// another term or too old. Returns `None` if the version is current, or while the byte budget of full lists is
    /// used up; the gateway then asks again.
    pub fn changes_since(&mut self, now: Duration, held: ListVersion) -> Option<UpstreamList> {
        let version = self.list.version.filter(|version| *version > held)?;
        if held.term != version.term || held.sequence < self.discarded_through {
            let encoded = self.encoded();
            let full = || TokenBucket::new(FULL_LIST_BYTES.capacity, now);
            let budget = self.full_list_budget.get_or_insert_with(full);
            budget
                .take(encoded.len() as f64, FULL_LIST_BYTES, now)
                .ok()?;
            return Some(UpstreamList {
                version: Some(version),
                encoded,
                ..UpstreamList::default()
            });
        }
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|(sequence, _)| *sequence > held.sequence);
        let names: BTreeSet<&str> = newer.map(|(_, instance)| &**instance).collect();
        let mut changed = UpstreamList {
            version: Some(version),
            is_delta: true,
            ..UpstreamList::default()
        };
        for name in names {
            match find_row(&self.list.rows, name) {
                Some(row) => changed.rows.push(row.clone()),
                None => changed.removed.push(name.to_owned()),
            }
        }
        Some(changed)
    }

    fn encoded(&mut self) -> Bytes {
        let rows = &self.list.rows;
        let encode = || {
            let list = UpstreamList {
                rows: rows.clone(),
                ..UpstreamList::default()
            };
            Bytes::from(list.encode_to_vec())
        };
        self.encoded.get_or_insert_with(encode).clone()
    }
}

/// Returns the fields of a row that count as a change. The remaining cold time is left out because it counts down
/// by itself; only whether the upstream is cold is compared.
fn compared_fields(row: &UpstreamRow) -> ([&str; 5], u32, [bool; 4], Option<u64>) {
    let row_is_cold = row.cold_left_ms > 0;
    (
        [
            &row.instance,
            &row.service,
            &row.address,
            &row.zone,
            &row.software,
        ],
        row.slots,
        [
            row.leaving,
            row.reported_leaving,
            row.reclaimable,
            row_is_cold,
        ],
        row.requests_per_1000_s,
    )
}

/// Finds an upstream by binary search; `rows` must be ordered by instance.
fn find_row<'a>(rows: &'a [UpstreamRow], instance: &str) -> Option<&'a UpstreamRow> {
    let found = rows.binary_search_by(|row| (*row.instance).cmp(instance));
    found.ok().map(|position| &rows[position])
}

/// Returns whether a row is missing in `held` or differs there.
fn is_new_or_changed(held: &[UpstreamRow], row: &UpstreamRow) -> bool {
    find_row(held, &row.instance).is_none_or(|held| compared_fields(held) != compared_fields(row))
}

fn are_same_rows(held: &[UpstreamRow], read: &[UpstreamRow]) -> bool {
    held.len() == read.len()
        && held
            .iter()
            .zip(read)
            .all(|(a, b)| compared_fields(a) == compared_fields(b))
}
