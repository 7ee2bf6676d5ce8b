//! A client that sees exactly what arrives on its connection.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::time::Duration;

use arbutus_platform::names;

/// How long the client waits for bytes.
const PATIENCE: Duration = Duration::from_secs(10);

/// A request.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The method.
    pub method: &'static str,
    /// The path and query.
    pub path: String,
    /// The headers beside those of a proper request.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

/// What arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// The status; 0 when the connection ended without an answer.
    pub status: u16,
    /// The headers in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body without the framing of chunks.
    pub body: String,
    /// Whether the answer ended as complete.
    pub is_complete: bool,
}

impl ClientRequest {
    /// Creates a proper request of a client with a key.
    #[must_use]
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        let mut call = Self {
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
            call = call.with_header(name, value);
        }
        call
    }

    /// Sets a header, or removes it where the value is empty.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
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

    /// Sends the request on a connection of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection can be opened.
    pub fn send(&self, address: SocketAddrV4) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.extend([name.as_str(), ": ", value.as_str(), "\r\n"]);
        }
        if !self.body.is_empty() {
            let length = self.body.len().to_string();
            text.extend(["content-length: ", length.as_str(), "\r\n"]);
        }
        text += "connection: close\r\n\r\n";
        stream.write_all(text.as_bytes())?;
        stream.write_all(self.body.as_bytes())?;
        Ok(stream)
    }

    /// Sends the request and reads until the connection ends.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection can be opened.
    pub fn call(&self, address: SocketAddrV4) -> io::Result<ClientResponse> {
        let mut stream = self.send(address)?;
        let mut bytes = Vec::new();
        // A reset ends what arrived; it is judged by what came before.
        let _reset = stream.read_to_end(&mut bytes);
        Ok(received(&bytes))
    }
}

fn received(bytes: &[u8]) -> ClientResponse {
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
        unchunked(rest)
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

/// Returns the content of chunks, and whether the last chunk arrived.
fn unchunked(mut rest: &[u8]) -> (Vec<u8>, bool) {
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
