//! A target that responds with fixed bytes, before it has read the body of the request, and then
//! ends the connection.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use arbutus_platform::names;

const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time between the end of the response and the end of the connection.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// How the connection ends after the bytes of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::VariantArray)]
pub enum ConnectionEnd {
    /// The target closes it. If it has not read the whole request, the kernel resets the connection.
    Close,
    /// The target ends its side, and closes the connection some time later.
    EndThenClose,
}

/// Starts a target that writes `response` to each connection after it has read a request head, in
/// threads of its own. `{id}` in the response stands for the identifier of the request. Returns its
/// address.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub fn start(response: &str, end: ConnectionEnd) -> io::Result<SocketAddrV4> {
    let listener = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
    let response = response.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let response = response.clone();
            // Ends with an error when the instance closes the connection.
            thread::spawn(move || respond(stream, &response, end));
        }
    });
    Ok(address)
}

/// Returns a response head with this status line and the headers of a response to the request.
#[must_use]
pub fn head(status_line: &str) -> String {
    let (id, stamp) = (names::REQUEST_ID, names::STAMP);
    format!("{status_line}\r\n{id}: {{id}}\r\n{stamp}: stamp\r\n")
}

fn respond(mut stream: TcpStream, response: &str, end: ConnectionEnd) -> io::Result<()> {
    let head = read_head(&mut stream)?;
    let id_name = format!("{}: ", names::REQUEST_ID);
    let id_line = head
        .lines()
        .find_map(|line| line.strip_prefix(id_name.as_str()));
    let response = response.replace("{id}", id_line.unwrap_or_default());
    stream.write_all(response.as_bytes())?;
    if end == ConnectionEnd::EndThenClose {
        stream.shutdown(Shutdown::Write)?;
        thread::sleep(CLOSE_DELAY);
    }
    Ok(())
}

/// Reads a request head byte by byte, so that nothing of the body is read.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && head.len() < MAX_HEAD_BYTES {
        stream.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
