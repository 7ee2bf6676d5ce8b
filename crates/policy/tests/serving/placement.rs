//! Guards against traffic of megabytes between failure domains. It arises when each piece of a
//! stage reads all results of the previous stage, but is computed in the domain where its own small
//! result is read.

use arbutus_policy::serving::placement::StageTraffic;
use arbutus_policy::serving::placement::select_domain;

#[test]
fn pieces_are_computed_where_the_fewest_bytes_cross_domains() {
    let remote = [("y", 60_000); 8];
    let mixed = [("x", 60_000), ("y", 60_000), ("y", 60_000)];
    let selected = |inputs: &[(&'static str, u64)], result_bytes| {
        let stage = StageTraffic {
            inputs,
            pieces: 6,
            result_bytes,
        };
        select_domain(&stage, "x").to_owned()
    };
    assert_eq!(selected(&remote, 6_000), "y");
    assert_eq!(selected(&mixed, 6_000), "y");
    // Pieces with a large result are computed where it is read.
    assert_eq!(selected(&remote, 800_000), "x");
    assert_eq!(selected(&[("x", 100), ("y", 100)], 0), "x");
    // A stage that depends on no other has no inputs.
    assert_eq!(selected(&[], 8_000), "x");
}
