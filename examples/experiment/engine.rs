//! A queueing model of an engine: slots, a priority queue, one prefill at a time and a bounded cache.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::Duration,
};

use flamingocroft::{domain::InstanceName, policy::prefix::Prefix, ports::CacheEvent};

use super::{arrivals::BLOCK_TOKENS, site::PREFILL_PER_THOUSAND};

/// Length of an engine's queue per slot, beyond which it refuses requests as busy.
const QUEUED_PER_SLOT: u32 = 2;

/// Fixed cost of a prefill, before any token.
const PREFILL_BASE: Duration = Duration::from_millis(10);

/// One attempt of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    pub request: usize,
    pub attempt: u32,
    /// Whether it is queued ahead of jobs without priority.
    pub prioritized: bool,
}

/// The load at a point in time.
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
    /// Creates an idle engine.
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

    /// Queues a job behind those of the same or higher priority.
    pub fn enqueue(&mut self, job: Job) {
        let ahead = self
            .queue
            .iter()
            .filter(|other| other.prioritized || !job.prioritized)
            .count();
        self.queue.insert(ahead, job);
    }

    /// Moves the next queued job into a free slot.
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
        let previous = self.running.len() + self.queue.len();
        self.running.retain(|other| *other != job);
        self.queue.retain(|other| *other != job);
        previous > self.running.len() + self.queue.len()
    }

    /// Stops the engine and returns the jobs that it loses.
    pub fn stop(&mut self) -> Vec<Job> {
        self.alive = false;
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }

    /// Records the current load for later reports.
    pub fn record_load(&mut self, now: Duration) {
        self.loads.push(Load {
            at: now,
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
        });
    }

    /// Returns the load at an earlier time, as a delayed report shows it.
    pub fn load_at(&self, at: Duration) -> Option<Load> {
        let count = self.loads.partition_point(|load| load.at <= at);
        self.loads[..count].last().copied()
    }

    /// Prefills the uncached tokens of a prompt. Returns when the prefill ends and how many of the
    /// tokens had already been computed, on this engine or another.
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
        let recomputed = prompt[cached..]
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
        (self.prefill_free_at, recomputed as u32 * BLOCK_TOKENS)
    }
}

/// An LRU cache of blocks.
#[derive(Debug)]
struct Cache {
    capacity_blocks: usize,
    use_count: u64,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl Cache {
    fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            use_count: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    fn holds(&self, hash: u64) -> bool {
        self.last_use.contains_key(&hash)
    }

    /// Inserts a block. Returns the hashes that were stored (`true`) and evicted (`false`).
    fn store(&mut self, hash: u64) -> Vec<(u64, bool)> {
        self.use_count += 1;
        self.by_use.insert(self.use_count, hash);
        if let Some(previous) = self.last_use.insert(hash, self.use_count) {
            self.by_use.remove(&previous);
            return Vec::new();
        }
        let mut changes = vec![(hash, true)];
        if self.last_use.len() > self.capacity_blocks
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.last_use.remove(&oldest);
            changes.push((oldest, false));
        }
        changes
    }
}
