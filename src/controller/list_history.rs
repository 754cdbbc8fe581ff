//! The platform's list of upstreams as the leader read it, and what changed in it lately: gateways are told
//! changes, and the whole list only if they hold none of this leader's.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use prost::Message;

use crate::{
    policy::{
        availability::LIST_MAY_LAG,
        quota::{Bucket, Limit},
    },
    wire::{ListVersion, UpstreamList, UpstreamRow},
};

/// Bytes of whole lists that are sent in a second, and at once: hundreds of gateways that hold none ask at the same
/// moment, and answers that all come late are all asked for again.
const WHOLE_LISTS: Limit = Limit {
    per_second: 12e6,
    saved: 3e6,
};
/// Changes of the list that are remembered, so that gateways are told them: many times what changes between two
/// questions.
const MOST_LIST_CHANGES: usize = 8192;

/// The list and its latest changes.
#[derive(Debug, Default)]
pub struct ListHistory {
    list: UpstreamList,
    /// The list encoded for gateways that hold none of this term, once one asked.
    encoded: Option<Bytes>,
    /// Bytes of whole lists that may be sent now.
    whole_lists: Option<Bucket>,
    /// Upstreams that were new, changed or gone, by the change of this term's list that told it; changes up to
    /// `forgotten` are forgotten.
    changes: VecDeque<(u64, String)>,
    forgotten: u64,
    /// Upstreams that said to a gateway that they leave, and when it was heard last.
    said_leaving: HashMap<String, Duration>,
}

impl ListHistory {
    /// Returns the upstreams, ordered by instance.
    pub fn rows(&self) -> &[UpstreamRow] {
        &self.list.rows
    }

    /// Returns the version, if a list was read.
    pub fn version(&self) -> Option<ListVersion> {
        self.list.version
    }

    /// Keeps a list of upstreams that was read now. Returns whether it differs from the last one.
    pub fn take(&mut self, term: u64, mut rows: Vec<UpstreamRow>) -> bool {
        rows.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        for row in &mut rows {
            row.said_leaving = self.said_leaving.contains_key(&row.instance);
        }
        let held = self.list.version.unwrap_or_default();
        let same = held.term == term && same_rows(&self.list.rows, &rows);
        if same {
            return false;
        }
        let sequence = if held.term == term {
            held.sequence + 1
        } else {
            self.changes.clear();
            self.forgotten = 1;
            1
        };
        self.note_changes(sequence, &rows);
        self.list = UpstreamList {
            version: Some(ListVersion { term, sequence }),
            rows,
            ..UpstreamList::default()
        };
        self.encoded = None;
        true
    }

    /// Takes upstreams of a part of the list that was read now; the others stay. Returns whether any is new or
    /// differs. A list of an earlier term stays until the whole one was read.
    pub fn take_part(&mut self, term: u64, told: &[UpstreamRow]) -> bool {
        if self.list.version.unwrap_or_default().term != term {
            return false;
        }
        let held = &self.list.rows;
        let news: Vec<UpstreamRow> = told
            .iter()
            .filter(|row| is_news(held, row))
            .cloned()
            .collect();
        if news.is_empty() {
            return false;
        }
        let names: HashSet<&str> = news.iter().map(|row| &*row.instance).collect();
        let stay = held.iter().filter(|row| !names.contains(&*row.instance));
        let mut rows: Vec<UpstreamRow> = stay.cloned().collect();
        rows.extend(news);
        self.take(term, rows)
    }

    /// Takes upstreams that said to a gateway that they leave. Returns whether the list differs by it.
    pub fn note_leaving(&mut self, now: Duration, said: &[String]) -> bool {
        let mut is_new = false;
        for instance in said {
            let known = self.said_leaving.insert(instance.clone(), now);
            is_new |= known.is_none();
        }
        match self.list.version.filter(|_| is_new) {
            Some(version) => self.take(version.term, self.list.rows.clone()),
            None => false,
        }
    }

    /// Forgets what upstreams said once the platform's list must show it.
    pub fn forget_words(&mut self, now: Duration) {
        self.said_leaving
            .retain(|_, heard| now.saturating_sub(*heard) < LIST_MAY_LAG);
    }

    /// Notes which upstreams a change tells anew, or no more.
    fn note_changes(&mut self, sequence: u64, rows: &[UpstreamRow]) {
        let held = &self.list.rows;
        let changed = rows.iter().filter(|row| is_news(held, row));
        let gone = held
            .iter()
            .filter(|row| find(rows, &row.instance).is_none());
        let changes = changed.chain(gone);
        self.changes
            .extend(changes.map(|row| (sequence, row.instance.clone())));
        while self.changes.len() > MOST_LIST_CHANGES {
            if let Some((forgotten, _)) = self.changes.pop_front() {
                self.forgotten = forgotten;
            }
        }
    }

    /// Returns what is new in the list for a gateway that holds a version of it: what changed, or all of it if
    /// the version is of another term or too old. While too many ask for all of it, nothing; the gateway asks again.
    pub fn since(&mut self, now: Duration, held: ListVersion) -> Option<UpstreamList> {
        let version = self.list.version.filter(|version| *version > held)?;
        if held.term != version.term || held.sequence < self.forgotten {
            let encoded = self.encoded();
            let full = || Bucket::new(WHOLE_LISTS.saved, now);
            let budget = self.whole_lists.get_or_insert_with(full);
            budget.take(encoded.len() as f64, WHOLE_LISTS, now).ok()?;
            return Some(UpstreamList {
                version: Some(version),
                encoded,
                ..UpstreamList::default()
            });
        }
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|(sequence, _)| *sequence > held.sequence);
        let names: BTreeSet<&str> = newer.map(|(_, instance)| &**instance).collect();
        let mut news = UpstreamList {
            version: Some(version),
            changes: true,
            ..UpstreamList::default()
        };
        for name in names {
            match find(&self.list.rows, name) {
                Some(row) => news.rows.push(row.clone()),
                None => news.gone.push(name.to_owned()),
            }
        }
        Some(news)
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

/// Returns all of a row but the time for which the upstream stays slow, which runs down by itself.
fn fixed(row: &UpstreamRow) -> (&str, &str, &str, &str, u32, [bool; 4]) {
    let row_is_cold = row.cold_ms > 0;
    (
        &row.instance,
        &row.service,
        &row.address,
        &row.zone,
        row.slots,
        [row.leaving, row.said_leaving, row.reclaimable, row_is_cold],
    )
}

/// Finds an upstream in rows, which are ordered by instance.
fn find<'a>(rows: &'a [UpstreamRow], instance: &str) -> Option<&'a UpstreamRow> {
    let found = rows.binary_search_by(|row| (*row.instance).cmp(instance));
    found.ok().map(|place| &rows[place])
}

/// Returns whether a row is new to those held, or tells something else than they do.
fn is_news(held: &[UpstreamRow], row: &UpstreamRow) -> bool {
    find(held, &row.instance).is_none_or(|held| fixed(held) != fixed(row))
}

fn same_rows(held: &[UpstreamRow], read: &[UpstreamRow]) -> bool {
    held.len() == read.len() && held.iter().zip(read).all(|(a, b)| fixed(a) == fixed(b))
}
