//! Max-min fair division of slots by demand.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The slots that one holder requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The number of calls that run or wait.
    pub needed: u32,
    /// The number of slots that the holder requests, at least `needed`.
    pub wanted: u32,
    /// The holder's place in the round-robin order. Slots that cannot be divided equally go to the
    /// lowest numbers.
    pub turn: u64,
}

/// Returns the max-min fair division of slots, one number for each demand.
///
/// Slots are divided by `needed` first, and the remaining ones by `wanted`. The sum of the shares
/// is the lower of `slots` and the sum over all `wanted`.
#[must_use]
pub fn divide(slots: u32, demands: &[Demand]) -> Vec<u32> {
    let mut shares = vec![0; demands.len()];
    let remaining = raise_shares(slots, demands, &mut shares, |demand| demand.needed);
    raise_shares(remaining, demands, &mut shares, |demand| {
        demand.wanted.max(demand.needed)
    });
    shares
}

/// Increases the shares up to a limit for each demand, the lowest share first, and returns the
/// remaining slots.
fn raise_shares(
    slots: u32,
    demands: &[Demand],
    shares: &mut [u32],
    limit: impl Fn(&Demand) -> u32,
) -> u32 {
    let mut remaining = slots;
    let mut queue: BinaryHeap<Reverse<(u32, u64, usize)>> = demands
        .iter()
        .enumerate()
        .filter(|&(index, demand)| shares[index] < limit(demand))
        .map(|(index, demand)| Reverse((shares[index], demand.turn, index)))
        .collect();
    while remaining > 0 {
        let Some(Reverse((share, turn, index))) = queue.pop() else {
            break;
        };
        shares[index] = share + 1;
        remaining -= 1;
        if shares[index] < limit(&demands[index]) {
            queue.push(Reverse((share + 1, turn, index)));
        }
    }
    remaining
}
