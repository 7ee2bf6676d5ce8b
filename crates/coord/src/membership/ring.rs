//! Random choice among members at a cost that does not depend on their number.

/// A generator of random numbers (`SplitMix64`), which only spreads probes and is not for secrets.
#[derive(Clone, Debug)]
pub(super) struct Random(u64);

impl Random {
    pub(super) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(super) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Returns a number below a bound, or 0 when the bound is 0.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        (self.next() % bound as u64) as usize
    }
}

/// Members in a random order, each of which is visited once per round.
#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    items: Vec<usize>,
    cursor: usize,
}

impl Ring {
    pub(super) fn insert(&mut self, item: usize, random: &mut Random) {
        self.items.push(item);
        let last = self.items.len() - 1;
        // A position in the part that was not visited yet, so the member is probed this round.
        let position = self.cursor + random.below(self.items.len() - self.cursor);
        self.items.swap(position, last);
    }

    pub(super) fn remove(&mut self, item: usize) {
        let Some(position) = self.items.iter().position(|&present| present == item) else {
            return;
        };
        self.items.remove(position);
        if position < self.cursor {
            self.cursor -= 1;
        }
    }

    /// Returns the next member of the round.
    pub(super) fn next(&mut self, random: &mut Random) -> Option<usize> {
        if self.items.is_empty() {
            return None;
        }
        if self.cursor >= self.items.len() {
            self.shuffle(random);
            self.cursor = 0;
        }
        let item = self.items[self.cursor];
        self.cursor += 1;
        Some(item)
    }

    fn shuffle(&mut self, random: &mut Random) {
        for position in (1..self.items.len()).rev() {
            let other = random.below(position + 1);
            self.items.swap(position, other);
        }
    }

    pub(super) fn items(&self) -> &[usize] {
        &self.items
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }
}
