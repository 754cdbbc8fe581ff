//! Open-loop arrivals: conversations start at random, and the times of their turns do not depend on
//! the answers. Every variant gets the same arrivals.

use std::time::Duration;

use flamingocroft::policy::prefix::{BLOCK_BYTES, BYTES_PER_TOKEN, Prefix};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    scenario::{RUN_DURATION, Scenario},
    site::{AccountLoad, GATEWAYS, Site},
};

/// Tokens per block of a prompt.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u32;

const TURNS_PER_CONVERSATION: (u32, u32) = (2, 8);
const TURN_PAUSE_SECONDS: (f64, f64) = (4.0, 16.0);

/// One request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub account: usize,
    pub gateway: usize,
    pub conversation: u64,
    pub prefixes: Vec<Prefix>,
    pub prompt_tokens: u32,
    pub answer_tokens: u32,
}

/// Generates the arrivals of a run, ordered by time.
pub fn generate(site: &Site, scenario: Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (i, account) in site.accounts.iter().enumerate() {
        let source = AccountSource {
            site,
            scenario,
            account,
            position: i,
        };
        source.add_conversations(&mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

struct AccountSource<'a> {
    site: &'a Site,
    scenario: Scenario,
    account: &'a AccountLoad,
    position: usize,
}

impl AccountSource<'_> {
    /// Starts conversations as a Poisson process whose rate follows the scenario.
    fn add_conversations(&self, rng: &mut StdRng, arrivals: &mut Vec<Arrival>) {
        let max_turns = f64::from(TURNS_PER_CONVERSATION.1);
        let mean_turns = f64::from(TURNS_PER_CONVERSATION.0 + TURNS_PER_CONVERSATION.1) / 2.0;
        let rate = |seconds| {
            let load = self.scenario.load(self.account, seconds);
            load * self.site.capacity_per_second() / mean_turns
        };
        let highest = rate(RUN_DURATION.as_secs_f64()).max(rate(100.0));
        // Include conversations that began before the run, so that it starts under full load.
        let mut now = -max_turns * TURN_PAUSE_SECONDS.1;
        while now < RUN_DURATION.as_secs_f64() {
            now += -(1.0 - rng.random::<f64>()).ln() / highest;
            if rng.random::<f64>() < rate(now) / highest {
                self.add_turns(rng, now, arrivals);
            }
        }
    }

    fn add_turns(&self, rng: &mut StdRng, start: f64, arrivals: &mut Vec<Arrival>) {
        let conversation = rng.random::<u64>();
        let (mut now, mut prompt_tokens) = (start, self.account.system_tokens);
        for _ in 0..rng.random_range(TURNS_PER_CONVERSATION.0..=TURNS_PER_CONVERSATION.1) {
            prompt_tokens += between(rng, self.site.turn_tokens);
            let answer_tokens = between(rng, self.site.answer_tokens);
            let arrival = Arrival {
                at: Duration::from_secs_f64(now.max(0.0)),
                account: self.position,
                gateway: rng.random_range(0..GATEWAYS),
                conversation,
                prefixes: self.prefixes(conversation, prompt_tokens),
                prompt_tokens,
                answer_tokens,
            };
            if (0.0..RUN_DURATION.as_secs_f64()).contains(&now) {
                arrivals.push(arrival);
            }
            prompt_tokens += answer_tokens;
            now += rng.random_range(TURN_PAUSE_SECONDS.0..TURN_PAUSE_SECONDS.1);
        }
    }

    /// Splits the prompt into prefixes. Those within the account's system prompt are shared by all its
    /// conversations.
    fn prefixes(&self, conversation: u64, prompt_tokens: u32) -> Vec<Prefix> {
        (1..=prompt_tokens / BLOCK_TOKENS)
            .map(|block| {
                let tokens = block * BLOCK_TOKENS;
                let shared = tokens <= self.account.system_tokens;
                let owner = if shared {
                    self.position as u64
                } else {
                    conversation
                };
                Prefix {
                    hash: hash(owner, tokens),
                    tokens,
                }
            })
            .collect()
    }
}

fn between(rng: &mut StdRng, (least, most): (u32, u32)) -> u32 {
    rng.random_range(least..=most)
}

fn hash(owner: u64, tokens: u32) -> u64 {
    let mut x = owner.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(tokens);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
