//! A relay in front of a target that writes an earlier response once more on a kept connection.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

/// What the relay does with responses.
#[derive(Debug, Default)]
struct State {
    /// The response that is written once more, without its end if it is cut.
    recorded: Option<Vec<u8>>,
    /// Whether the next response is recorded.
    records_next: bool,
    /// Number of bytes of the recorded response to write before the next response on a connection
    /// that had a response before; `None` writes nothing.
    repeated_bytes: Option<usize>,
    repeat_count: usize,
}

/// A relay that tests control while it runs.
#[derive(Clone, Debug, Default)]
pub struct Repeater {
    state: Arc<Mutex<State>>,
}

impl Repeater {
    /// Listens on a free port and relays its connections to a target, in threads of their own.
    /// Requests must arrive in one piece. Returns the address to connect to.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn relay(&self, target: SocketAddrV4) -> io::Result<SocketAddrV4> {
        let listener = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
        let repeater = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let repeater = repeater.clone();
                // A connection that fails ends for both sides.
                thread::spawn(move || repeater.relay_connection(client, target));
            }
        });
        Ok(address)
    }

    /// Records the next response.
    pub fn record_next(&self) {
        self.lock().records_next = true;
    }

    /// Writes the recorded response, or its first `max_bytes`, before the next response on a
    /// connection that had a response before.
    pub fn repeat(&self, max_bytes: usize) {
        self.lock().repeated_bytes = Some(max_bytes);
    }

    /// Returns how often a response was repeated.
    #[must_use]
    pub fn repeat_count(&self) -> usize {
        self.lock().repeat_count
    }

    fn relay_connection(&self, mut client: TcpStream, target: SocketAddrV4) -> io::Result<()> {
        let mut target = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let mut request = vec![0; 64 * 1024];
        let mut had_response = false;
        loop {
            let length = client.read(&mut request)?;
            if length == 0 {
                return Ok(());
            }
            target.write_all(&request[..length])?;
            if let Some(copy) = self.take_copy(had_response) {
                client.write_all(&copy)?;
            }
            let response = read_response(&mut target)?;
            self.record(&response);
            client.write_all(&response)?;
            had_response = true;
        }
    }

    fn take_copy(&self, had_response: bool) -> Option<Vec<u8>> {
        let mut state = self.lock();
        if !had_response || state.recorded.is_none() {
            return None;
        }
        let max_bytes = state.repeated_bytes.take()?;
        state.repeat_count += 1;
        let mut copy = state.recorded.clone()?;
        copy.truncate(max_bytes);
        Some(copy)
    }

    fn record(&self, response: &[u8]) {
        let mut state = self.lock();
        if state.records_next {
            state.records_next = false;
            state.recorded = Some(response.to_vec());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads one response with a length or in chunks.
fn read_response(target: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut response = Vec::new();
    let mut chunk = [0; 16 * 1024];
    while !is_complete(&response) {
        let length = target.read(&mut chunk)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        response.extend_from_slice(&chunk[..length]);
    }
    Ok(response)
}

fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    let length = head.lines().find_map(|line| {
        let value = line.strip_prefix("content-length:")?;
        value.trim().parse::<usize>().ok()
    });
    match length {
        Some(length) => body.len() >= length,
        None => body.ends_with("0\r\n\r\n"),
    }
}
