//! Requesters.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::site::HOST;
use crate::site::KEY;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new identifier of a request.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A connection of a requester.
pub struct Requester {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    record: Record,
}

impl Requester {
    pub fn connect(record: &Record, address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = http::reader(&stream)?;
        let record = record.clone();
        Ok(Self {
            stream,
            reader,
            record,
        })
    }

    /// Sends a request and waits for its whole answer, at most for its time limit.
    pub fn call(
        &mut self,
        id: &str,
        request_line: &str,
        limit: Duration,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        let limit_ms = limit.as_millis().to_string();
        let mut all = vec![
            ("Host", HOST),
            ("X-Arbutushaven-Request-Id", id),
            ("X-Arbutushaven-Deadline-Ms", limit_ms.as_str()),
            ("X-Api-Key", KEY),
        ];
        all.extend(headers);
        self.record
            .line(&format!("requester sends {id} {request_line} {headers:?}"));
        let bytes = http::encode(&format!("{request_line} HTTP/1.1"), &all, body);
        let answer = self.exchange(&bytes, limit);
        match &answer {
            Ok(answer) => self
                .record
                .line(&format!("requester gets {id} {}", answer.start)),
            Err(error) => self
                .record
                .line(&format!("requester gets no whole answer to {id}: {error}")),
        }
        answer
    }

    fn exchange(&mut self, bytes: &[u8], limit: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.write_all(bytes)?;
        http::read_message(&mut self.reader)
    }
}
