//! Which request bodies hold memory when a process has little of it.
//!
//! Load: many callers that send large bodies and stay, while others send small ones. See docs/design/CALLER_MEMORY.md.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Size up to which a body counts as small, in bytes; most requests of callers are below it.
pub const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// Time without a byte after which a body gives its memory up to any other. A caller on the slowest link sends several chunks
/// meanwhile.
pub const STALLED_TIME: Duration = Duration::from_secs(1);

const MIB: u64 = 1024 * 1024;
/// Memory of a machine that states none, in MiB.
const DEFAULT_MEMORY_MIB: u64 = 1024;
/// Part of the machine's memory for bodies: connections get as much, and the program, its tables and its lists the rest.
const BODIES_DIVISOR: u64 = 4;
/// Least budget, in bytes: a body of 4 MiB, the largest that tables allow, fits beside the reserve.
const MIN_BUDGET_BYTES: u64 = 6 * MIB;
/// Part of the budget that only small bodies use.
const RESERVE_DIVISOR: u64 = 8;

/// The memory for the request bodies of a process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// For all bodies together.
    pub total: u64,
    /// The part of it that only small bodies use.
    pub small_reserve: u64,
}

impl MemoryBudget {
    /// Returns the budget of a process on a machine with this memory, in MiB.
    pub fn of_machine(memory_mb: Option<u64>) -> Self {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MIB).saturating_mul(MIB);
        let total = (memory / BODIES_DIVISOR).max(MIN_BUDGET_BYTES);
        Self {
            total,
            small_reserve: total / RESERVE_DIVISOR,
        }
    }

    /// Returns whether a body may grow to `size` while all bodies then hold `used` bytes.
    pub fn has_room(&self, size: u64, used: u64) -> bool {
        let limit = match size <= SMALL_BODY_BYTES {
            true => self.total,
            false => self.total - self.small_reserve,
        };
        used <= limit
    }
}

/// A body that holds memory.
#[derive(Clone, Copy, Debug)]
pub struct HeldBody<'a> {
    /// Its number.
    pub id: u64,
    /// The account of its request; requests without one share the empty name.
    pub account: &'a str,
    /// Bytes that it holds.
    pub bytes: u64,
    /// Time since its last byte arrived.
    pub silence: Duration,
    /// Whether it is whole. Its request may then have run, so it keeps its memory.
    pub is_whole: bool,
    /// Whether it gives its memory up already.
    pub is_leaving: bool,
}

/// A body that needs more memory.
#[derive(Clone, Copy, Debug)]
pub struct Growth<'a> {
    /// Its number, if it holds memory already.
    pub id: Option<u64>,
    /// The account of its request.
    pub account: &'a str,
    /// Bytes that it would hold.
    pub size: u64,
    /// How many of them it does not hold yet.
    pub added: u64,
}

/// Where the memory for a growing body comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Room {
    /// It is free once these bodies have given theirs up; none if it is free now or others give theirs up already.
    From(Vec<u64>),
    /// There is none.
    Full,
}

/// Decides which unfinished bodies give their memory up for a growing one.
///
/// First those of the account that holds most, there the stalled ones, then the largest. A body that still arrives gives its
/// memory up only to a smaller one of its account, or to an account that would then hold less than its own, so that two bodies
/// do not end each other in turn.
pub fn make_room(budget: &MemoryBudget, growth: &Growth<'_>, held: &[HeldBody<'_>]) -> Room {
    let staying = || held.iter().filter(|body| !body.is_leaving);
    let mut used = staying().map(|body| body.bytes).sum::<u64>() + growth.added;
    if budget.has_room(growth.size, used) {
        return Room::From(Vec::new());
    }
    let mut by_account: HashMap<&str, u64> = HashMap::new();
    for body in staying() {
        *by_account.entry(body.account).or_default() += body.bytes;
    }
    let own = by_account.get(growth.account).copied().unwrap_or_default() + growth.added;
    let gives_up = |body: &&HeldBody<'_>| {
        let holds_more = match body.account == growth.account {
            true => body.bytes > growth.size,
            false => by_account[body.account] > own,
        };
        !body.is_whole && growth.id != Some(body.id) && (holds_more || body.silence >= STALLED_TIME)
    };
    let mut candidates: Vec<_> = staying().filter(gives_up).collect();
    candidates.sort_by_key(|body| {
        let is_stalled = body.silence >= STALLED_TIME;
        Reverse((by_account[body.account], is_stalled, body.bytes))
    });
    let mut given_up = Vec::new();
    for body in candidates {
        used -= body.bytes;
        given_up.push(body.id);
        if budget.has_room(growth.size, used) {
            return Room::From(given_up);
        }
    }
    Room::Full
}
