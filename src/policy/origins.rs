//! Which software version of a service began a stream. Versions of an upstream's software write streams that do not fit
//! together, so a stream goes on only at the version that began it; see docs/DECISIONS.md.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use super::route::rendezvous_rank;
use crate::domain::{AccountName, BodyDigest, ServiceName, SoftwareVersion};

/// Time after its first event for which a stream may be resumed; longer than the callers' deadlines.
pub const ORIGIN_LIFETIME: Duration = Duration::from_secs(60);
/// Controllers that each record is sent to.
const COPIES: usize = 2;

/// Identifies a stream by the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the identifier of the stream that a request of an account began.
    pub fn new(account: Option<&AccountName>, request: &str) -> Self {
        let account = account.map_or("", |account| account.as_str());
        Self(BodyDigest::of(account, request, &[]).short())
    }

    /// Returns whether a controller is one of those that records of the stream are sent to.
    pub fn is_kept_by<'a>(
        self,
        controller: &str,
        controllers: impl Iterator<Item = &'a str>,
    ) -> bool {
        rendezvous_rank(self.0, controller, controllers) < COPIES
    }
}

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The service.
    pub service: ServiceName,
    /// The version of its software.
    pub software: SoftwareVersion,
}

#[derive(Debug)]
struct Record {
    stream: StreamId,
    origin: Origin,
    at: Duration,
}

/// The origins of the streams of the last [`ORIGIN_LIFETIME`], up to a number of streams; the oldest are forgotten first.
#[derive(Debug)]
pub struct OriginLedger {
    capacity: usize,
    /// Number of the first record.
    first: u64,
    records: VecDeque<Record>,
    /// The number of each stream's record; `None` if reports contradict each other.
    index: HashMap<StreamId, Option<u64>>,
}

impl OriginLedger {
    /// Creates an empty ledger for a number of streams.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            first: 0,
            records: VecDeque::new(),
            index: HashMap::new(),
        }
    }

    /// Records the origin of a stream. A stream with two origins has none.
    pub fn record(&mut self, stream: StreamId, origin: Origin, now: Duration) {
        self.expire(now);
        match self.index.get(&stream) {
            Some(Some(number)) => {
                let known = self.get(*number).map(|record| &record.origin);
                if known != Some(&origin) {
                    self.index.insert(stream, None);
                }
                return;
            }
            Some(None) => return,
            None => {}
        }
        if self.records.len() >= self.capacity {
            self.remove_first();
        }
        self.index.insert(stream, Some(self.end()));
        self.records.push_back(Record {
            stream,
            origin,
            at: now,
        });
    }

    /// Returns the origin of a stream.
    pub fn find(&mut self, stream: StreamId, now: Duration) -> Option<&Origin> {
        self.expire(now);
        let number = (*self.index.get(&stream)?)?;
        self.get(number).map(|record| &record.origin)
    }

    /// Returns the number of the next record.
    pub fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Returns the records from a number on, with their numbers.
    pub fn since(&self, number: u64) -> impl Iterator<Item = (u64, StreamId, &Origin)> {
        let start = number.max(self.first);
        let skipped = usize::try_from(start - self.first).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skipped);
        records
            .zip(start..)
            .map(|(record, number)| (number, record.stream, &record.origin))
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn get(&self, number: u64) -> Option<&Record> {
        let position = usize::try_from(number.checked_sub(self.first)?).ok()?;
        self.records.get(position)
    }

    fn expire(&mut self, now: Duration) {
        while let Some(record) = self.records.front()
            && now.saturating_sub(record.at) > ORIGIN_LIFETIME
        {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some(record) = self.records.pop_front() {
            self.index.remove(&record.stream);
            self.first += 1;
        }
    }
}

/// The software versions that the list of upstreams showed in the last [`ORIGIN_LIFETIME`], as one leader read it. Gateways
/// use only upstreams that a leader's list shows.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// The leader's term, and when it read its first list.
    term: Option<(u64, Duration)>,
    /// When each version was last listed.
    listed: BTreeMap<String, BTreeMap<String, Duration>>,
}

impl SoftwareHistory {
    /// Records the services and software versions in a list, or in a part of one.
    pub fn record<'a>(
        &mut self,
        term: u64,
        rows: impl Iterator<Item = (&'a str, &'a str)>,
        now: Duration,
    ) {
        if self.term.is_none_or(|(held, _)| held != term) {
            self.term = Some((term, now));
            self.listed.clear();
        }
        for (service, software) in rows {
            let versions = match self.listed.get_mut(service) {
                Some(versions) => versions,
                None => self.listed.entry(service.to_owned()).or_default(),
            };
            match versions.get_mut(software) {
                Some(at) => *at = now,
                None => drop(versions.insert(software.to_owned(), now)),
            }
        }
        self.listed.retain(|_, versions| {
            versions.retain(|_, at| now.saturating_sub(*at) <= ORIGIN_LIFETIME);
            !versions.is_empty()
        });
    }

    /// Returns the software version that began every stream of a service that may still be resumed, if there was only one
    /// and this leader of the given term can know it.
    pub fn only_version(&self, term: u64, service: &str, now: Duration) -> Option<&str> {
        let (held, since) = self.term?;
        if held != term || now.saturating_sub(since) <= ORIGIN_LIFETIME {
            return None;
        }
        let mut versions = self.listed.get(service)?.keys();
        let only = versions.next()?;
        (versions.next().is_none() && !only.is_empty()).then_some(only)
    }
}
