//! Runs property tests with a reproducible seed.

use quickcheck::Gen;
use quickcheck::QuickCheck;

const DEFAULT_SEED: u64 = 20_261_204;
const GEN_SIZE: usize = 80;

/// Returns a `QuickCheck` runner for `tests` test cases, and prints its seed.
///
/// The seed is fixed unless the environment variable `ARBUTUS_SEED` sets another one.
pub fn checker(tests: u64) -> QuickCheck {
    let seed = std::env::var("ARBUTUS_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("ARBUTUS_SEED={seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, seed))
        .tests(tests)
}
