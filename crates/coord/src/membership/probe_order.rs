//! The random order in which members are probed.

/// A pseudorandom number generator (`SplitMix64`), which must not be used for secrets.
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

    /// Returns a number below the bound, or 0 when the bound is 0.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        (self.next() % bound as u64) as usize
    }
}

/// The table slots of a group of members in a random order, which is shuffled again after each
/// round through all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeOrder {
    slots: Vec<usize>,
    next_position: usize,
}

impl ProbeOrder {
    pub(super) fn insert(&mut self, slot: usize, random: &mut Random) {
        self.slots.push(slot);
        let last = self.slots.len() - 1;
        // The position is among those not returned yet, so the member is probed in this round.
        let position = self.next_position + random.below(self.slots.len() - self.next_position);
        self.slots.swap(position, last);
    }

    pub(super) fn remove(&mut self, slot: usize) {
        let Some(position) = self.slots.iter().position(|&other| other == slot) else {
            return;
        };
        self.slots.remove(position);
        if position < self.next_position {
            self.next_position -= 1;
        }
    }

    /// Returns the slot of the next member of the round, and starts a new round after the last one.
    pub(super) fn next(&mut self, random: &mut Random) -> Option<usize> {
        if self.slots.is_empty() {
            return None;
        }
        if self.next_position >= self.slots.len() {
            self.shuffle(random);
            self.next_position = 0;
        }
        let slot = self.slots[self.next_position];
        self.next_position += 1;
        Some(slot)
    }

    fn shuffle(&mut self, random: &mut Random) {
        for position in (1..self.slots.len()).rev() {
            let other = random.below(position + 1);
            self.slots.swap(position, other);
        }
    }

    pub(super) fn slots(&self) -> &[usize] {
        &self.slots
    }

    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }
}
