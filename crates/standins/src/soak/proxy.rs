//! A proxy on the loopback network that harms the connections that go through it.

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

/// What a proxy does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Behaviour {
    /// Bytes pass.
    Pass,
    /// Bytes pass after a time.
    Delay(Duration),
    /// Connections are reset, new ones too.
    Reset,
    /// No byte passes until the behaviour changes; connections stay open.
    Silent,
    /// Requests pass, answers do not.
    AnswersLost,
}

/// A proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddrV4,
    behaviour: watch::Sender<Behaviour>,
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be used.
    pub fn start(runtime: &Handle, upstream: SocketAddrV4) -> io::Result<Self> {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let listener = runtime.block_on(TcpListener::bind(any))?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::ErrorKind::Unsupported.into());
        };
        let behaviour = watch::Sender::new(Behaviour::Pass);
        runtime.spawn(accept(listener, upstream, behaviour.subscribe()));
        Ok(Self { address, behaviour })
    }

    /// Changes what happens to connections, also to open ones.
    pub fn set(&self, behaviour: Behaviour) {
        self.behaviour.send_replace(behaviour);
    }
}

async fn accept(
    listener: TcpListener,
    upstream: SocketAddrV4,
    behaviour: watch::Receiver<Behaviour>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let behaviour = behaviour.clone();
        tokio::spawn(async move {
            // Both sides see how a harmed connection ends.
            let _ended = pass(client, upstream, behaviour).await;
        });
    }
}

async fn pass(
    client: TcpStream,
    upstream: SocketAddrV4,
    behaviour: watch::Receiver<Behaviour>,
) -> io::Result<()> {
    if *behaviour.borrow() == Behaviour::Reset {
        return client.set_zero_linger();
    }
    let server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (requests, to_client) = client.into_split();
    let (answers, to_server) = server.into_split();
    let both = async {
        tokio::try_join!(
            forward(requests, to_server, behaviour.clone(), false),
            forward(answers, to_client, behaviour.clone(), true),
        )
    };
    let mut reset = behaviour.clone();
    tokio::select! {
        ended = both => ended.map(|_| ()),
        _reset = async { reset.wait_for(|&now| now == Behaviour::Reset).await.is_ok() } => {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    }
}

async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut behaviour: watch::Receiver<Behaviour>,
    carries_answers: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = reader.read(&mut buffer).await?;
        let present = *behaviour.borrow();
        if let Behaviour::Delay(time) = present {
            sleep(time).await;
        }
        let waiting = behaviour.wait_for(|&now| {
            now != Behaviour::Silent && (now != Behaviour::AnswersLost || !carries_answers)
        });
        // The proxy has ended when nobody can change its behaviour.
        drop(waiting.await.map_err(io::Error::other)?);
        if length == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..length]).await?;
    }
}
