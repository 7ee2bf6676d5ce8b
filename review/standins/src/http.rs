//! HTTP/1.1 messages over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads the start line and the headers.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        start: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let length = usize::from_str_radix(&read_line(reader)?, 16)
        .map_err(|_error| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

/// Reads a whole message; one without a length has no body.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Encodes a message with the length of its body.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    bytes
}

/// Writes a response with the length of its body.
pub fn respond(
    mut stream: &TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    stream.write_all(&encode(&format!("HTTP/1.1 {status}"), headers, body))
}

/// Serves connections in threads. `serve` handles one connection until it returns an error.
pub fn listen<F>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _no_delay = stream.set_nodelay(true);
                // The end of a connection is no fault of the stand-in.
                let _ended = serve(stream);
            });
        }
    });
}

/// Returns a buffered reader of a connection.
pub fn reader(stream: &TcpStream) -> io::Result<BufReader<TcpStream>> {
    stream.try_clone().map(BufReader::new)
}
