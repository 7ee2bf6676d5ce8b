//! Where the pieces of a stage are made.
//!
//! Each piece reads all results of the stages before, so these bytes travel as often as there are
//! pieces, while its own result travels once. Bytes between failure domains are slow and charged.

use std::collections::BTreeMap;

/// What the pieces of a stage read and make.
#[derive(Clone, Copy, Debug)]
pub struct StageTraffic<'a> {
    /// The failure domain and the size of each input.
    pub inputs: &'a [(&'a str, u64)],
    /// The number of pieces.
    pub pieces: u64,
    /// The size of the result of a piece.
    pub result_bytes: u64,
}

/// Returns the failure domain that lets the fewest bytes cross domains.
///
/// `final_domain` is where the results of the last stages are wanted.
#[must_use]
pub fn select_domain<'a>(stage: &StageTraffic<'a>, final_domain: &'a str) -> &'a str {
    let mut input_bytes: BTreeMap<&str, u64> = BTreeMap::new();
    for &(domain, bytes) in stage.inputs {
        *input_bytes.entry(domain).or_default() += bytes;
    }
    // Bytes that stay within a domain are saved there.
    let saved = |domain: &str| {
        let inputs = input_bytes.get(domain).copied().unwrap_or_default();
        let result = if domain == final_domain {
            stage.result_bytes
        } else {
            0
        };
        stage.pieces * (inputs + result)
    };
    let best = input_bytes.keys().copied().max_by_key(|&name| saved(name));
    match best {
        Some(best) if saved(best) > saved(final_domain) => best,
        _ => final_domain,
    }
}
