//! Stand-ins for the platform's store, its engines and its requesters, and the start of instances.
//! They need only the standard library. All addresses are loopback addresses.

pub mod client;
pub mod engine;
pub mod http;
pub mod instance;
pub mod record;
pub mod store;

use std::net::Ipv4Addr;

/// The loopback addresses of one run: 127.a.b.0/24, taken from the process identifier, so that
/// fixed ports of instances do not conflict with those of other runs.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    a: u8,
    b: u8,
}

impl Network {
    pub fn of_this_process() -> Self {
        let pid = std::process::id();
        Self {
            a: (pid / 250 % 100 + 120) as u8,
            b: (pid % 250) as u8,
        }
    }

    pub fn host(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, number)
    }
}

/// Returns whether the run has the disruption; `TROUBLE=0` turns it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;
