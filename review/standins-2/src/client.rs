//! Requesters.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

use crate::http;
use crate::http::Message;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// A kept connection of a requester.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Makes the window of the connection small, as on the platform's links.
    pub fn set_small_window(&self, bytes: i32) -> io::Result<()> {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        // SAFETY: the descriptor is open, and the value is an integer of the given length.
        let result =
            unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
        if result == 0 {
            Ok(())
        } else {
            Err(io::Error::last_os_error())
        }
    }

    pub fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request)
    }

    /// Reads the answer to the last request; `on_part` gets each part of its body.
    pub fn receive(
        &mut self,
        timeout: Duration,
        on_part: impl FnMut(&[u8]),
    ) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        let head = http::read_head(&mut self.reader)?;
        let mut answer = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        match http::read_body(&mut self.reader, &mut answer, true, on_part) {
            Ok(()) => Ok(answer),
            // An answer that ended early is returned as it is.
            Err(_) => Ok(answer),
        }
    }
}

/// Builds a request; `extra` holds further header lines, each with its line end.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    extra: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Arbutushaven-Request-Id: {id}\r\nX-Arbutushaven-Deadline-Ms: {deadline_ms}\r\n{extra}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    bytes
}

/// Sends a request on a new connection and returns the answer.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(address)?;
    connection.send(request)?;
    connection.receive(timeout, |_| {})
}

pub fn get_status(address: SocketAddr, path: &str, timeout: Duration) -> Option<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: platform\r\nContent-Length: 0\r\n\r\n");
    call(address, request.as_bytes(), timeout)
        .ok()
        .map(|answer| answer.status())
}
