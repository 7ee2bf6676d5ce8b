//! An HTTP client that reads the raw bytes of its connection, so that tests can examine incomplete
//! responses.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use arbutus_platform::names;

/// How long a read waits for bytes before the response counts as ended.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BUFFER_BYTES: usize = 16_384;
/// Time for the reset that responds to a request on a connection that the server has closed.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// A request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers except `content-length` and `connection`.
    pub headers: Vec<(String, String)>,
    /// Body; an empty one is sent without `content-length`.
    pub body: String,
}

/// What a client has received of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// Status; 0 if the connection ended before a complete response head.
    pub status: u16,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body as far as received, without chunk framing.
    pub body: String,
    /// Whether the body has its announced length or its last chunk.
    pub is_complete: bool,
}

impl ClientRequest {
    /// Creates a valid request with the API key `key` and a deadline of 4 seconds.
    ///
    /// `id` is the request identifier.
    #[must_use]
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        let mut request = Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: String::new(),
        };
        for (name, value) in [
            ("host", "a.example"),
            (names::REQUEST_ID.as_str(), id),
            (names::DEADLINE.as_str(), "4000"),
            (names::API_KEY.as_str(), "key"),
        ] {
            request = request.with_header(name, value);
        }
        request
    }

    /// Sets a header; an empty value removes it.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(existing, _)| existing != name);
        if !value.is_empty() {
            self.headers.push((name.to_owned(), value.to_owned()));
        }
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends the request on a new connection and returns the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened or the request cannot be written.
    pub fn send(&self, address: SocketAddrV4) -> io::Result<TcpStream> {
        let mut connection = ClientConnection::open(address)?;
        connection.write(self, false)?;
        Ok(connection.stream)
    }

    /// Returns the request head, which asks the server to close the connection unless `keep_open`.
    fn head(&self, keep_open: bool) -> String {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.extend([name.as_str(), ": ", value.as_str(), "\r\n"]);
        }
        if !self.body.is_empty() {
            let length = self.body.len().to_string();
            text.extend(["content-length: ", length.as_str(), "\r\n"]);
        }
        if !keep_open {
            text += "connection: close\r\n";
        }
        text += "\r\n";
        text
    }

    /// Sends the request on a new connection and reads until the connection ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened or the request cannot be written.
    pub fn call(&self, address: SocketAddrV4) -> io::Result<ClientResponse> {
        let mut stream = self.send(address)?;
        let mut bytes = Vec::new();
        // After a reset or a timeout, the bytes received until then are parsed.
        let _end = stream.read_to_end(&mut bytes);
        Ok(parse_response(&bytes))
    }
}

/// A connection of a client, which can carry several requests.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
}

impl ClientConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened.
    pub fn open(address: SocketAddrV4) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { stream })
    }

    /// Sends a request and reads its response; returns `None` if the connection ended before the
    /// first byte of a response. Without `keep_open`, the request asks the server to close the
    /// connection after the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ended within the response, or if nothing arrived before
    /// the timeout.
    pub fn call(
        &mut self,
        request: &ClientRequest,
        keep_open: bool,
    ) -> io::Result<Option<ClientResponse>> {
        // If the server has ended the connection, the read below finds out what it sent before.
        let _ended = self.write(request, keep_open);
        let mut bytes = Vec::new();
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let length = match self.stream.read(&mut buffer) {
                Ok(length) => length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Err(error),
                // The connection was reset.
                Err(_) => 0,
            };
            if length == 0 && bytes.is_empty() {
                return Ok(None);
            }
            if length == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            bytes.extend_from_slice(&buffer[..length]);
            let response = parse_response(&bytes);
            if response.is_complete {
                return Ok(Some(response));
            }
        }
    }

    /// Sends a request and reads until the connection ends or, with `keep_open`, until the response
    /// is complete. Returns what has arrived, and whether the server closed the connection without
    /// having read the request: the kernel then resets it, and otherwise ends it in order.
    pub fn exchange(&mut self, request: &ClientRequest, keep_open: bool) -> (ClientResponse, bool) {
        let mut is_reset = self.write(request, keep_open).is_err();
        let mut bytes = Vec::new();
        let mut buffer = [0; READ_BUFFER_BYTES];
        while !(keep_open && parse_response(&bytes).is_complete) {
            match self.stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => bytes.extend_from_slice(&buffer[..length]),
                Err(error) => {
                    is_reset |= error.kind() != io::ErrorKind::WouldBlock;
                    break;
                }
            }
        }
        if bytes.is_empty() && !is_reset {
            // The server may have closed the connection just before the request was written.
            thread::sleep(RESET_DELAY);
            is_reset = !matches!(self.stream.take_error(), Ok(None));
        }
        (parse_response(&bytes), is_reset && bytes.is_empty())
    }

    /// Writes the head and the body at once, so that a server reads both or neither.
    fn write(&mut self, request: &ClientRequest, keep_open: bool) -> io::Result<()> {
        let text = request.head(keep_open) + &request.body;
        self.stream.write_all(text.as_bytes())
    }
}

fn parse_response(bytes: &[u8]) -> ClientResponse {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(length)) = response.parse(bytes) else {
        return ClientResponse {
            status: 0,
            headers: BTreeMap::new(),
            body: String::new(),
            is_complete: false,
        };
    };
    let status = response.code.unwrap_or(0);
    let headers: BTreeMap<String, String> = response
        .headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_ascii_lowercase(), value)
        })
        .collect();
    let rest = &bytes[length..];
    let (body, is_complete) = if headers.contains_key("transfer-encoding") {
        decode_chunks(rest)
    } else {
        let announced = headers
            .get("content-length")
            .and_then(|text| text.parse().ok());
        (rest.to_vec(), announced == Some(rest.len()))
    };
    ClientResponse {
        status,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
        is_complete,
    }
}

/// Returns the content of the chunks, and whether the last chunk has arrived.
fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut content = Vec::new();
    while let Ok(httparse::Status::Complete((start, size))) = httparse::parse_chunk_size(rest) {
        if size == 0 {
            return (content, true);
        }
        let end = start + size as usize;
        let Some(chunk) = rest.get(start..end) else {
            break;
        };
        content.extend_from_slice(chunk);
        rest = rest.get(end + 2..).unwrap_or_default();
    }
    (content, false)
}
