//! Announcements of starting and stopping instances.
//!
//! An instance notifies all others by UDP when it starts to serve and when it shuts down, so that
//! all instances agree on the owners of stage queues within milliseconds. A lost datagram only
//! delays this: peers also notice that an owner is unreachable when their TCP connection to it
//! fails.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use log::debug;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::net::sleep;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::stage_client::StageClient;
use arbutus_coord::Millis;
use arbutus_wire::frame;

/// Maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 512;
/// Delay before an announcement is repeated, in case the first datagram was lost.
const REPEAT_DELAY_MS: Millis = Millis(150);

/// The message that an instance broadcasts; the string is the name of the sender.
#[derive(Debug, Serialize, Deserialize)]
enum Announcement {
    /// The sender has started to serve.
    Serving(String),
    /// The sender is shutting down.
    Leaving(String),
}

/// Sends the announcements of this instance and receives those of others.
#[derive(Debug)]
pub struct Announcer {
    shared: Rc<Shared>,
    stage_client: Rc<StageClient>,
    socket: UdpSocket,
    last_announced: RefCell<Option<Phase>>,
}

impl Announcer {
    /// Binds the UDP socket.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn bind(
        shared: Rc<Shared>,
        stage_client: Rc<StageClient>,
        address: SocketAddrV4,
    ) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(SocketAddr::V4(address)).await?;
        Ok(Rc::new(Self {
            shared,
            stage_client,
            socket,
            last_announced: RefCell::new(None),
        }))
    }

    /// Announces when this instance starts to serve and when it shuts down.
    ///
    /// # Errors
    ///
    /// Returns an error when the phase channel is closed.
    pub async fn announce(self: Rc<Self>) -> Result<(), String> {
        let mut phase = self.shared.subscribe_phase();
        loop {
            let current = match *phase.borrow_and_update() {
                Phase::Closing => Phase::Leaving,
                current => current,
            };
            let has_changed = *self.last_announced.borrow() != Some(current);
            if current != Phase::Starting && has_changed {
                *self.last_announced.borrow_mut() = Some(current);
                self.broadcast(current).await;
                sleep(REPEAT_DELAY_MS).await;
                self.broadcast(current).await;
            }
            phase.changed().await.map_err(|error| error.to_string())?;
        }
    }

    async fn broadcast(&self, phase: Phase) {
        let name = self.shared.settings.name.clone();
        let announcement = if phase == Phase::Leaving {
            Announcement::Leaving(name)
        } else {
            Announcement::Serving(name)
        };
        let bytes = match frame::encode(&announcement) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!(error:%; "cannot encode the announcement");
                return;
            }
        };
        for peer in self.shared.peers() {
            // A peer that misses the announcement notices the change on its TCP connections.
            if let Err(error) = self
                .socket
                .send_to(&bytes, SocketAddr::V4(peer.address))
                .await
            {
                debug!(peer = peer.name.as_str(), error:%; "cannot send the announcement");
            }
        }
    }

    /// Receives the announcements of other instances.
    ///
    /// # Errors
    ///
    /// Returns an error when the socket fails.
    pub async fn listen(self: Rc<Self>) -> Result<(), String> {
        let mut bytes = [0; MAX_ANNOUNCEMENT_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut bytes).await {
                Ok(received) => received,
                // An ICMP message reported that nobody listens where an earlier datagram was sent.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error.to_string()),
            };
            match frame::read(&mut &bytes[..length], MAX_ANNOUNCEMENT_BYTES) {
                Ok((Announcement::Serving(name), _)) => self.stage_client.handle_serving(&name),
                Ok((Announcement::Leaving(name), _)) => self.stage_client.handle_shutdown(&name),
                Err(error) => debug!(from:%, error:%; "received a malformed announcement"),
            }
        }
    }
}
