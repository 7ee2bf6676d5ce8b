//! HTTP/1.1 messages.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was complete.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message head; `None` if the connection ended before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces, and passes on each part as it arrives. An answer without a
/// length ends with its connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    is_answer: bool,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                message.is_complete = true;
                return Ok(());
            }
            chunk.truncate(size);
            on_part(&chunk);
            message.body.extend(chunk);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|value| value.parse::<usize>().ok());
    let length = match length {
        Some(length) => length,
        None if is_answer => {
            reader.read_to_end(&mut message.body)?;
            message.is_complete = true;
            return Ok(());
        }
        None => 0,
    };
    let mut left = length;
    let mut part = vec![0; 16 * 1024];
    while left > 0 {
        let end = left.min(part.len());
        let count = reader.read(&mut part[..end])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        on_part(&part[..count]);
        message.body.extend(&part[..count]);
        left -= count;
    }
    message.is_complete = true;
    Ok(())
}
