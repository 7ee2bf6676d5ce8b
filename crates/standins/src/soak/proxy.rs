//! A TCP proxy on the loopback interface that injects faults into the connections through it.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16_384;

/// What a proxy does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ProxyMode {
    /// Forwards bytes in both directions.
    Pass,
    /// Forwards bytes in both directions after a delay.
    Delay(Duration),
    /// Resets open and new connections.
    Reset,
    /// Holds the bytes of both directions until the mode changes; connections stay open.
    #[strum(serialize = "silent")]
    HoldAll,
    /// Forwards requests, and holds responses until the mode changes.
    #[strum(serialize = "answers_lost")]
    HoldResponses,
}

/// A proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddrV4,
    mode: watch::Sender<ProxyMode>,
}

impl Proxy {
    /// Starts a proxy on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(runtime: &Handle, upstream: SocketAddrV4) -> io::Result<Self> {
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let listener = runtime.block_on(TcpListener::bind(any_port))?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let mode = watch::Sender::new(ProxyMode::Pass);
        runtime.spawn(accept_connections(listener, upstream, mode.subscribe()));
        Ok(Self { address, mode })
    }

    /// Changes the mode for open and new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept_connections(
    listener: TcpListener,
    upstream: SocketAddrV4,
    mode: watch::Receiver<ProxyMode>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let mode = mode.clone();
        tokio::spawn(async move {
            // Errors need no report: the client and the server see that the connection has ended.
            let _result = proxy_connection(client, upstream, mode).await;
        });
    }
}

async fn proxy_connection(
    client: TcpStream,
    upstream: SocketAddrV4,
    mode: watch::Receiver<ProxyMode>,
) -> io::Result<()> {
    if *mode.borrow() == ProxyMode::Reset {
        return client.set_zero_linger();
    }
    let server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let both_directions = async {
        tokio::try_join!(
            forward(from_client, to_server, mode.clone(), false),
            forward(from_server, to_client, mode.clone(), true),
        )
    };
    let mut reset_mode = mode.clone();
    tokio::select! {
        result = both_directions => result.map(|_| ()),
        _reset = async { reset_mode.wait_for(|&mode| mode == ProxyMode::Reset).await.is_ok() } => {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    }
}

/// Forwards one direction of a connection until it ends, as the mode allows.
async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut mode: watch::Receiver<ProxyMode>,
    carries_responses: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = reader.read(&mut buffer).await?;
        let current = *mode.borrow();
        if let ProxyMode::Delay(delay) = current {
            sleep(delay).await;
        }
        let forwarding_allowed = mode.wait_for(|&mode| {
            mode != ProxyMode::HoldAll && (mode != ProxyMode::HoldResponses || !carries_responses)
        });
        // The wait fails once the proxy has been dropped.
        drop(forwarding_allowed.await.map_err(io::Error::other)?);
        if length == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..length]).await?;
    }
}
