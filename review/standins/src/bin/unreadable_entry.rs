//! Another writer leaves an entry with bytes that cannot be read among the servers in the store;
//! later a sound server reports that it drains.

use std::process::ExitCode;

use review_standins::drain;
use review_standins::record;

fn main() -> ExitCode {
    drain::main(|store, record| {
        if record::has_trouble() {
            store.put("servers", "x-other-writer", b"\"\xff\xfe\x80\"");
            record.line("another writer leaves an entry that cannot be read");
        }
        Ok(())
    })
}
