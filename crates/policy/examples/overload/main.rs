//! Measures goodput and attainment under overload, with and without admission control and limits.
//!
//! Goodput is the rate of the requests that complete within their deadlines. Attainment is the
//! share of an organisation's requests that do so.
//!
//! Run this example with `cargo run --release -p arbutus-policy --example overload [-- SEED]`.

mod model;

use model::Measurements;
use model::Policies;

const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 2.0];
const DURATION_MS: u64 = 60_000;
const DEFAULT_SEED: u64 = 1;

fn print_row(load: f64, name: &str, measured: &Measurements) {
    let attainment: Vec<String> = measured
        .attainment
        .iter()
        .map(|share| format!("{:5.1}", share * 100.0))
        .collect();
    println!(
        "{load:>4}  {name:<9}  {:>7.1}  {:>7.1}  {:>5.1}  {}  {:>11.1}",
        measured.goodput * 100.0,
        measured.refused * 100.0,
        measured.late * 100.0,
        attainment.join(" "),
        measured.non_urgent_attainment * 100.0
    );
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|argument| argument.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!(
        "seed {seed}, {DURATION_MS} ms, all figures in percent; goodput relative to the capacity"
    );
    println!("organisation 0 sends the load that the others do not send, all of it urgent");
    println!(
        "load  policy     goodput  refused   late  attainment by organisation      non-urgent"
    );
    for load in LOADS {
        for (name, admission, limits) in [
            ("baseline", false, false),
            ("limits", false, true),
            ("admission", true, false),
            ("both", true, true),
        ] {
            let policies = Policies { admission, limits };
            print_row(load, name, &model::run(load, policies, seed, DURATION_MS));
        }
    }
}
