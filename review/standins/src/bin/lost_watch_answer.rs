//! The store loses the answer to one watch of the servers; later a server reports that it drains.

use std::process::ExitCode;

use review_standins::drain;
use review_standins::record;
use review_standins::site;

fn main() -> ExitCode {
    drain::main(|store, record| {
        if record::has_trouble() {
            store.lose_next_watch_answer("servers");
        }
        // The change that the answer tells of: one more stage server.
        let results = Default::default();
        let fault = Default::default();
        site::start_stage(store, record, "i-glaze-1", "arita", &results, fault)?;
        record.line("i-glaze-1 has registered");
        Ok(())
    })
}
