//! A client that reads a large response slowly.

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

/// More than the send and receive buffers of a connection hold.
pub const BODY_BYTES: usize = 24_000_000;
/// The client reads this part of the response in each interval.
const READ_BYTES: usize = 240_000;
const RECEIVE_BUFFER_BYTES: usize = 100_000;

/// Receives a response until its connection ends, and returns the length of its body.
///
/// # Panics
///
/// Panics if no response head arrives.
#[must_use]
pub fn receive_body(mut connection: TcpStream, read_interval: Duration) -> usize {
    SockRef::from(&connection)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("the buffer size can be set");
    let mut response = Vec::new();
    let started_at = Instant::now();
    let mut interval_count = 0;
    loop {
        let length = (&mut connection)
            .take(READ_BYTES as u64)
            .read_to_end(&mut response);
        if length.is_err() || length.is_ok_and(|length| length == 0) {
            break;
        }
        interval_count += 1;
        let next_read_at = started_at + read_interval * interval_count;
        thread::sleep(next_read_at.saturating_duration_since(Instant::now()));
    }
    let head_end = response
        .windows(4)
        .position(|bytes| bytes == b"\r\n\r\n")
        .expect("the response has a head");
    response.len() - head_end - 4
}
