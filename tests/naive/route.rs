//! Round robin: the n-th request goes to the n-th instance, regardless of its load and cache.

use flamingocroft::policy::route::Candidate;

/// Returns the position of the next candidate.
pub fn choose(turn: u64, candidates: &[Candidate]) -> Option<usize> {
    (!candidates.is_empty()).then(|| (turn % candidates.len() as u64) as usize)
}
