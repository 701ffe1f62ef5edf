//! One WebSocket connection with heartbeats both ways and detection of silence.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::adapters::forward::limited_read::{HeadArrived, LimitedRead};
use crate::settings::Timing;
use crate::wire::codec::{DecodeError, decode, encode};
use crate::wire::message::{Frame, Hello};
use crate::wire::{PROTOCOL_MAX, PROTOCOL_MIN, common_version};

/// Bytes that a connection reads at once. The library's default of 128 KiB is allocated for each
/// connection and cleared before each read, while most reads hold a few frames of some 30 bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Bytes that a connection may receive before the hello has been read: the handshake of the WebSocket, the hello, and a
/// read of what the peer sent after it, which takes at most [`READ_BUFFER_BYTES`]. Any client can open a connection.
pub(crate) const MAX_HELLO_BYTES: usize = 24 * 1024;

/// Time in which frames that have arrived are read after the time without a frame is over, in milliseconds. When a paused
/// process goes on, its timers end before it learns of the frames that have arrived meanwhile.
const UNREAD_GRACE_MS: u64 = 20;

/// How both sides set up their WebSocket.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    #[error("the peer closed the connection")]
    Closed,
    #[error("no frame for {silence_ms} ms; the connection is closed and a new one is opened")]
    Silent { silence_ms: u64 },
    #[error("the connection failed: {reason}")]
    Transport { reason: String },
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(
        "the first frame was not a hello; check that the address belongs to a lycheewood daemon"
    )]
    NoHello,
    #[error(
        "the peer speaks protocol versions {min} to {max} and this build {PROTOCOL_MIN} to {PROTOCOL_MAX}; replace the older one first"
    )]
    Version { min: u16, max: u16 },
}

/// An established connection.
pub(crate) struct Connection {
    socket: WebSocketStream<LimitedRead>,
    silence: Duration,
    silent_at: Instant,
    /// Whether the time without a frame is over and only frames that have arrived already are waited for.
    is_overdue: bool,
    heartbeat: tokio::time::Interval,
    heartbeats_sent: u64,
}

impl Connection {
    /// Exchanges hellos and gives the connection with the peer's hello. Until then at most [`MAX_HELLO_BYTES`] are read.
    pub(crate) async fn establish(
        socket: WebSocketStream<LimitedRead>,
        hello_arrived: &HeadArrived,
        ours: &Hello,
        timing: &Timing,
    ) -> Result<(Self, Hello), ConnectionError> {
        let silence = Duration::from_millis(timing.silence_ms);
        let mut heartbeat = interval(Duration::from_millis(timing.heartbeat_ms));
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let silent_at = Instant::now() + silence;
        let mut connection =
            Self { socket, silence, silent_at, is_overdue: false, heartbeat, heartbeats_sent: 0 };
        connection.feed(&Frame::Hello(ours.clone())).await?;
        connection.flush().await?;
        let Frame::Hello(theirs) = connection.receive().await? else {
            return Err(ConnectionError::NoHello);
        };
        hello_arrived.set();
        let (min, max) = (theirs.protocol_min, theirs.protocol_max);
        common_version((PROTOCOL_MIN, PROTOCOL_MAX), (min, max))
            .ok_or(ConnectionError::Version { min, max })?;
        Ok((connection, theirs))
    }

    /// The next frame that is no heartbeat. Sends heartbeats meanwhile. Safe to cancel.
    pub(crate) async fn receive(&mut self) -> Result<Frame, ConnectionError> {
        loop {
            tokio::select! {
                // Frames come before silence, which holds only if none has arrived. Heartbeats come first, so that frames
                // without end do not hold them up.
                biased;
                _ = self.heartbeat.tick() => self.send_heartbeat().await?,
                message = self.socket.next() => {
                    (self.silent_at, self.is_overdue) = (Instant::now() + self.silence, false);
                    if let Some(frame) = decode_message(message)? {
                        return Ok(frame);
                    }
                }
                () = sleep_until(self.silent_at) => {
                    if self.is_overdue {
                        return Err(self.silent());
                    }
                    let grace = Duration::from_millis(UNREAD_GRACE_MS);
                    (self.silent_at, self.is_overdue) = (Instant::now() + grace, true);
                }
            }
        }
    }

    /// Writes a frame into the buffer of the socket.
    pub(crate) async fn feed(&mut self, frame: &Frame) -> Result<(), ConnectionError> {
        let write = self.socket.feed(Message::Binary(encode(frame)));
        // A peer that reads nothing for that long is as good as silent.
        match timeout(self.silence, write).await {
            Ok(result) => result.map_err(|e| transport(&e)),
            Err(_) => Err(self.silent()),
        }
    }

    /// Sends what has been fed.
    pub(crate) async fn flush(&mut self) -> Result<(), ConnectionError> {
        match timeout(self.silence, self.socket.flush()).await {
            Ok(result) => result.map_err(|e| transport(&e)),
            Err(_) => Err(self.silent()),
        }
    }

    /// Closes the connection after what has been sent.
    pub(crate) async fn close(&mut self) -> Result<(), ConnectionError> {
        match timeout(self.silence, self.socket.close(None)).await {
            Ok(result) => result.map_err(|e| transport(&e)),
            Err(_) => Err(self.silent()),
        }
    }

    async fn send_heartbeat(&mut self) -> Result<(), ConnectionError> {
        self.heartbeats_sent += 1;
        self.feed(&Frame::Heartbeat(self.heartbeats_sent)).await?;
        self.flush().await
    }

    fn silent(&self) -> ConnectionError {
        let silence_ms = u64::try_from(self.silence.as_millis()).unwrap_or(u64::MAX);
        ConnectionError::Silent { silence_ms }
    }
}

fn transport(error: &tokio_tungstenite::tungstenite::Error) -> ConnectionError {
    ConnectionError::Transport { reason: error.to_string() }
}

/// The frame in a message; `None` for heartbeats and for what this build does not know.
fn decode_message(
    message: Option<Result<Message, tokio_tungstenite::tungstenite::Error>>,
) -> Result<Option<Frame>, ConnectionError> {
    match message {
        Some(Ok(Message::Binary(bytes))) => match decode(&bytes)? {
            Frame::Heartbeat(_) | Frame::Unknown(_) => Ok(None),
            frame => Ok(Some(frame)),
        },
        Some(Ok(Message::Close(_))) | None => Err(ConnectionError::Closed),
        Some(Ok(_)) => Ok(None),
        Some(Err(error)) => Err(transport(&error)),
    }
}
