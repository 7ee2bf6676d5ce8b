//! The source of random numbers of the property tests.

use quickcheck::Gen;
use quickcheck::QuickCheck;

const DEFAULT_SEED: u64 = 20_261_204;
const GEN_SIZE: usize = 80;

/// Returns a test driver with a fixed seed, which `ARBUTUS_SEED` replaces, and prints the seed.
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
