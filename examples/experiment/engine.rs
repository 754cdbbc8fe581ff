//! A model engine as a queue: slots, a priority queue, one prefill at a time and a bounded cache.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::Duration,
};

use flamingocroft::{domain::InstanceName, policy::prefix::Prefix, ports::CacheEvent};

use super::{arrivals::BLOCK_TOKENS, site::PREFILL_PER_THOUSAND};

/// Requests that wait in an engine for each of its slots before it answers that it is busy.
const QUEUED_PER_SLOT: u32 = 2;

/// Time of a prefill without any token.
const PREFILL_BASE: Duration = Duration::from_millis(10);

/// One attempt of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    pub request: usize,
    pub attempt: u32,
    /// Whether it goes before the others.
    pub first: bool,
}

/// The load at a time.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub at: Duration,
    pub running: u32,
    pub queued: u32,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    pub name: InstanceName,
    pub zone: usize,
    pub reclaimable: bool,
    pub alive: bool,
    pub slots: u32,
    pub running: Vec<Job>,
    pub queue: VecDeque<Job>,
    pub loads: Vec<Load>,
    pub events: Vec<(Duration, CacheEvent)>,
    prefill_free_at: Duration,
    cache: Cache,
}

impl Engine {
    /// Makes an idle engine.
    pub fn new(number: usize, zone: usize, reclaimable: bool, slots: u32, tokens: usize) -> Self {
        Self {
            name: format!("engine-{number}").into(),
            zone,
            reclaimable,
            alive: true,
            slots,
            running: Vec::new(),
            queue: VecDeque::new(),
            loads: Vec::new(),
            events: Vec::new(),
            prefill_free_at: Duration::ZERO,
            cache: Cache::new(tokens / BLOCK_TOKENS as usize),
        }
    }

    /// Returns whether another job would be refused.
    pub fn busy(&self) -> bool {
        self.queue.len() as u32 >= self.slots * QUEUED_PER_SLOT
    }

    /// Queues a job behind those that go before it.
    pub fn enqueue(&mut self, job: Job) {
        let ahead = self
            .queue
            .iter()
            .filter(|other| other.first || !job.first)
            .count();
        self.queue.insert(ahead, job);
    }

    /// Takes the next job into a free slot.
    pub fn next(&mut self) -> Option<Job> {
        if self.running.len() as u32 >= self.slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running.push(job);
        Some(job)
    }

    /// Removes a job; returns whether it was there.
    pub fn remove(&mut self, job: Job) -> bool {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|other| *other != job);
        self.queue.retain(|other| *other != job);
        before > self.running.len() + self.queue.len()
    }

    /// Loses everything that it holds.
    pub fn stop(&mut self) -> Vec<Job> {
        self.alive = false;
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }

    /// Records its load for later reports.
    pub fn record(&mut self, now: Duration) {
        self.loads.push(Load {
            at: now,
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
        });
    }

    /// Returns the load that a report of an age shows.
    pub fn load_at(&self, at: Duration) -> Option<Load> {
        let count = self.loads.partition_point(|load| load.at <= at);
        self.loads[..count].last().copied()
    }

    /// Computes the tokens of a prompt that are not cached. Returns when they are computed, and how
    /// many of them had been computed before, here or elsewhere.
    pub fn prefill(
        &mut self,
        now: Duration,
        prompt: &[Prefix],
        prompt_tokens: u32,
        computed: &mut HashSet<u64>,
    ) -> (Duration, u32) {
        let cached = prompt
            .iter()
            .take_while(|p| self.cache.holds(p.hash))
            .count();
        let uncached = prompt_tokens - cached as u32 * BLOCK_TOKENS;
        let again = prompt[cached..]
            .iter()
            .filter(|p| !computed.insert(p.hash))
            .count();
        for prefix in prompt {
            for (hash, stored) in self.cache.store(prefix.hash) {
                let tokens = prefix.tokens;
                let event = CacheEvent {
                    prefix: hash,
                    tokens,
                    stored,
                };
                self.events.push((now, event));
            }
        }
        let time = PREFILL_BASE + PREFILL_PER_THOUSAND * uncached / 1000;
        self.prefill_free_at = self.prefill_free_at.max(now) + time;
        (self.prefill_free_at, again as u32 * BLOCK_TOKENS)
    }
}

/// Cached blocks; the least recently used one goes first.
#[derive(Debug)]
struct Cache {
    blocks: usize,
    uses: u64,
    used: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl Cache {
    fn new(blocks: usize) -> Self {
        Self {
            blocks,
            uses: 0,
            used: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    fn holds(&self, hash: u64) -> bool {
        self.used.contains_key(&hash)
    }

    /// Stores a block; returns what was stored and what was evicted for it.
    fn store(&mut self, hash: u64) -> Vec<(u64, bool)> {
        self.uses += 1;
        self.by_use.insert(self.uses, hash);
        if let Some(before) = self.used.insert(hash, self.uses) {
            self.by_use.remove(&before);
            return Vec::new();
        }
        let mut changes = vec![(hash, true)];
        if self.used.len() > self.blocks
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.used.remove(&oldest);
            changes.push((oldest, false));
        }
        changes
    }
}
