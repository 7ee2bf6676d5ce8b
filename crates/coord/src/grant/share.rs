//! Fair division of slots by demand.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What one holder asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The calls that run or wait.
    pub needed: u32,
    /// The slots that the holder would like, at least `needed`.
    pub wanted: u32,
    /// The holder's place in the turn; slots that cannot be divided go to the lowest.
    pub turn: u64,
}

/// Returns the max-min fair division of slots, one number for each demand.
///
/// Needs are met first, and what is left is divided by wishes. The sum is the lower of the slots
/// and the sum of the wishes.
#[must_use]
pub fn divide(slots: u32, demands: &[Demand]) -> Vec<u32> {
    let mut shares = vec![0; demands.len()];
    let left = fill(slots, demands, &mut shares, |demand| demand.needed);
    fill(left, demands, &mut shares, |demand| {
        demand.wanted.max(demand.needed)
    });
    shares
}

/// Raises the shares towards a goal, the lowest share first, and returns what is left.
fn fill(slots: u32, demands: &[Demand], shares: &mut [u32], goal: impl Fn(&Demand) -> u32) -> u32 {
    let mut left = slots;
    let mut queue: BinaryHeap<Reverse<(u32, u64, usize)>> = demands
        .iter()
        .enumerate()
        .filter(|&(index, demand)| shares[index] < goal(demand))
        .map(|(index, demand)| Reverse((shares[index], demand.turn, index)))
        .collect();
    while left > 0 {
        let Some(Reverse((share, turn, index))) = queue.pop() else {
            break;
        };
        shares[index] = share + 1;
        left -= 1;
        if shares[index] < goal(&demands[index]) {
            queue.push(Reverse((share + 1, turn, index)));
        }
    }
    left
}
