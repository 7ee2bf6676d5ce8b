//! Links with a limited bandwidth, which relay connections to a server.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::local_address;

/// Bytes that are sent in one piece. Connections take turns after each piece.
const CHUNK_BYTES: usize = 8 * 1024;
/// Receive buffer of a relay, so that little is sent ahead of the link.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// A link that several connections share. Only what servers send is limited.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_s: u64,
    free_at: Arc<Mutex<Instant>>,
    sent_bytes: Arc<AtomicU64>,
}

impl Link {
    /// Creates a link; `sent_bytes` counts what is sent over it.
    #[must_use]
    pub fn new(bytes_per_s: u64, sent_bytes: Arc<AtomicU64>) -> Self {
        Self {
            bytes_per_s,
            free_at: Arc::new(Mutex::new(Instant::now())),
            sent_bytes,
        }
    }

    /// Waits until the link has sent a number of bytes.
    async fn send(&self, bytes: usize) {
        let mut free_at = self.free_at.lock().await;
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        *free_at = (*free_at).max(Instant::now()) + duration;
        sleep_until(*free_at).await;
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Listens on a free port and relays its connections to a server, in a task of the current
    /// runtime. Returns the address to connect to.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn relay(self, server: SocketAddrV4) -> io::Result<SocketAddrV4> {
        let listener = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).await?;
        let address = local_address(&listener)?;
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let link = self.clone();
                // A connection that fails ends for both sides.
                tokio::spawn(async move { link.relay_connection(client, server).await });
            }
        });
        Ok(address)
    }

    async fn relay_connection(self, client: TcpStream, server: SocketAddrV4) -> io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let server = socket.connect(server.into()).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (mut client_reader, mut client_writer) = client.into_split();
        let (mut server_reader, mut server_writer) = server.into_split();
        let from_server = async {
            let mut chunk = [0; CHUNK_BYTES];
            loop {
                let bytes = server_reader.read(&mut chunk).await?;
                if bytes == 0 {
                    return Ok(());
                }
                self.send(bytes).await;
                client_writer.write_all(&chunk[..bytes]).await?;
            }
        };
        tokio::select! {
            result = from_server => result,
            result = tokio::io::copy(&mut client_reader, &mut server_writer) => result.map(|_| ()),
        }
    }
}
