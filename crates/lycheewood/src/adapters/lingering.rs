//! A connection that reads on for a while after its last response if the caller is still sending.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Sleep, sleep};

use crate::decisions::memory::RECEIVE_BUFFER_BYTES;

/// The longest time for which a connection is read after its last response, in milliseconds.
const LINGER_MS: u64 = 1_000;
/// The most bytes that are read after the last response. A caller may have sent a whole body of the largest default
/// size before it sees the refusal.
const MAX_LINGER_BYTES: usize = 8 * 1024 * 1024;
/// Size of one read after the last response, in bytes.
const DISCARD_BYTES: usize = 8 * 1024;

/// Bounds the receive buffers of the connections that `listener` accepts. It must be set before they are accepted, since
/// the size of the window is agreed on when they open.
pub(crate) fn bound_receive_buffers(listener: &TcpListener) {
    let _ = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
}

/// Set when a request ends before its body has been read.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreadBody(Arc<AtomicBool>);

impl UnreadBody {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that is read on after the last response while [`UnreadBody`] is set. The kernel resets a connection
/// that is closed with unread bytes, and the reset can overtake the response.
#[derive(Debug)]
pub(crate) struct LingeringStream {
    tcp: TcpStream,
    unread_body: UnreadBody,
    discarded_bytes: usize,
    end: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    pub(crate) fn new(tcp: TcpStream) -> (Self, UnreadBody) {
        let unread_body = UnreadBody::default();
        let stream = Self { tcp, unread_body: unread_body.clone(), discarded_bytes: 0, end: None };
        (stream, unread_body)
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(context, buffer)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_shutdown(context))?;
        if !self.unread_body.is_set() {
            return Poll::Ready(Ok(()));
        }
        let end = self.end.get_or_insert_with(|| Box::pin(sleep(Duration::from_millis(LINGER_MS))));
        if end.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut discarded = [0; DISCARD_BYTES];
        while self.discarded_bytes < MAX_LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut discarded);
            ready!(Pin::new(&mut self.tcp).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                break;
            }
            self.discarded_bytes += buffer.filled().len();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
