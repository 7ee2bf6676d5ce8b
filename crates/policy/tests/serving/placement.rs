//! The pattern: stages whose pieces each read all results of the stage before. Placed beside the
//! reader of their own small results, they moved megabytes between failure domains.

use arbutus_policy::serving::placement::StageTraffic;
use arbutus_policy::serving::placement::select_domain;

#[test]
fn pieces_are_made_where_fewest_bytes_cross_domains() {
    let near = [("y", 60_000); 8];
    let mixed = [("x", 60_000), ("y", 60_000), ("y", 60_000)];
    let placed = |inputs: &[(&'static str, u64)], result_bytes| {
        let stage = StageTraffic {
            inputs,
            pieces: 6,
            result_bytes,
        };
        select_domain(&stage, "x").to_owned()
    };
    assert_eq!(placed(&near, 6_000), "y");
    assert_eq!(placed(&mixed, 6_000), "y");
    // A large result is made where it is read.
    assert_eq!(placed(&near, 800_000), "x");
    assert_eq!(placed(&[("x", 100), ("y", 100)], 0), "x");
    // A stage that comes after none has no inputs.
    assert_eq!(placed(&[], 8_000), "x");
}
