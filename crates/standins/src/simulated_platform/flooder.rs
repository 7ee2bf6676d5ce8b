//! A target that writes bytes without end, until the instance closes the connection.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use arbutus_platform::names;

const WRITE_BYTES: usize = 64 * 1024;
const REQUEST_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;

/// What the target writes without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::VariantArray)]
pub enum Flood {
    /// A header of the response.
    Head,
    /// Interim responses, which precede the response.
    InterimResponses,
    /// A body that ends with its connection.
    Body,
    /// A body in chunks.
    Chunks,
    /// A chunk extension, in place of the first chunk.
    ChunkExtension,
    /// Trailers after an empty body in chunks.
    Trailers,
    /// Bytes after a complete response.
    BytesAfterResponse,
}

impl Flood {
    /// Returns what precedes the endless bytes, and the bytes that are repeated.
    fn content(self, request_id: &str) -> (String, Vec<u8>) {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {request_id}\r\n{}: stamp\r\n",
            names::REQUEST_ID,
            names::STAMP
        );
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::Head => (head + "x-endless: ", b"x".to_vec()),
            Self::InterimResponses => {
                let interim = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
                (String::new(), interim.to_vec())
            }
            Self::Body => (head + "\r\n", b"x".to_vec()),
            Self::Chunks => (chunked, b"8\r\nxxxxxxxx\r\n".to_vec()),
            Self::ChunkExtension => (chunked + "8;", b"x".to_vec()),
            Self::Trailers => (chunked + "0\r\n", b"x-trailer: x\r\n".to_vec()),
            Self::BytesAfterResponse => (head + "content-length: 2\r\n\r\nok", b"x".to_vec()),
        }
    }
}

/// A running target.
#[derive(Clone, Debug)]
pub struct Flooder {
    /// Address that the target listens on.
    pub address: SocketAddrV4,
    written_bytes: Arc<AtomicU64>,
}

impl Flooder {
    /// Starts a target that responds to each connection in this way, in threads of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(flood: Flood) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
        let flooder = Self {
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port()),
            written_bytes: Arc::default(),
        };
        let written_bytes = Arc::clone(&flooder.written_bytes);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let written_bytes = Arc::clone(&written_bytes);
                // Ends with an error when the instance closes the connection.
                thread::spawn(move || write_without_end(flood, stream, &written_bytes));
            }
        });
        Ok(flooder)
    }

    /// Returns how many bytes were written to all connections.
    #[must_use]
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }
}

fn write_without_end(
    flood: Flood,
    mut stream: TcpStream,
    written_bytes: &AtomicU64,
) -> io::Result<()> {
    let mut request = vec![0; REQUEST_BYTES];
    let length = stream.read(&mut request)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    head.parse(&request[..length]).map_err(io::Error::other)?;
    let id_header = head
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(names::REQUEST_ID.as_str()));
    // Calls of stages have no identifier.
    let request_id = id_header.map_or(&b""[..], |header| header.value);
    let (begin, repeated) = flood.content(&String::from_utf8_lossy(request_id));
    stream.write_all(begin.as_bytes())?;
    let repeated = repeated.repeat(WRITE_BYTES / repeated.len());
    loop {
        stream.write_all(&repeated)?;
        written_bytes.fetch_add(repeated.len() as u64, Ordering::Relaxed);
    }
}
