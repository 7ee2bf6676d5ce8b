//! Selection of the failure domain that computes a stage.
//!
//! Each piece reads all results of the stages that its stage depends on. These results are
//! therefore transferred once per piece of the stage, whereas the result of a piece is transferred
//! only once. Traffic between failure domains is slow and charged.

use std::collections::BTreeMap;

/// Sizes of what the pieces of a stage read and produce.
#[derive(Clone, Copy, Debug)]
pub struct StageTraffic<'a> {
    /// Failure domain and size in bytes of each input.
    pub inputs: &'a [(&'a str, u64)],
    /// Number of pieces.
    pub pieces: u64,
    /// Size of the result of a piece.
    pub result_bytes: u64,
}

/// Returns the failure domain in which to compute a stage, so that the least traffic crosses
/// domains.
///
/// `final_domain` is the failure domain in which the request needs the results of its final stages.
#[must_use]
pub fn select_domain<'a>(stage: &StageTraffic<'a>, final_domain: &'a str) -> &'a str {
    let mut input_bytes: BTreeMap<&str, u64> = BTreeMap::new();
    for &(domain, bytes) in stage.inputs {
        *input_bytes.entry(domain).or_default() += bytes;
    }
    // Placing the stage in a domain saves the transfer of all bytes that are local to the domain.
    let local_bytes = |domain: &str| {
        let inputs = input_bytes.get(domain).copied().unwrap_or_default();
        let result = if domain == final_domain {
            stage.result_bytes
        } else {
            0
        };
        stage.pieces * (inputs + result)
    };
    let best = input_bytes
        .keys()
        .copied()
        .max_by_key(|&domain| local_bytes(domain));
    match best {
        Some(best) if local_bytes(best) > local_bytes(final_domain) => best,
        _ => final_domain,
    }
}
