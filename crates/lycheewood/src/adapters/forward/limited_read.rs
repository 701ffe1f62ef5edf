//! Limits how much is read from a peer before its first message has arrived: the head of an endpoint's response, or the
//! hello of another instance.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes before the end of a response's head. It also covers informational responses, which
/// the HTTP library skips without a limit.
pub(crate) const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Maximum number of bytes of one read. The HTTP library enlarges its buffers to what a read can fill, and the memory
/// budget does not count them.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Lifts the limit of a connection once the head of the response has arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadArrived(Arc<AtomicBool>);

impl HeadArrived {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A connection that fails when it receives more than `max_bytes` before [`HeadArrived`] is set.
#[derive(Debug)]
pub(crate) struct LimitedRead {
    tcp: TcpStream,
    max_bytes: usize,
    received_bytes: usize,
    head_arrived: HeadArrived,
}

impl LimitedRead {
    pub(crate) fn new(tcp: TcpStream, max_bytes: usize) -> (Self, HeadArrived) {
        let head_arrived = HeadArrived::default();
        let limited =
            Self { tcp, max_bytes, received_bytes: 0, head_arrived: head_arrived.clone() };
        (limited, head_arrived)
    }

    fn is_exceeded(&self) -> bool {
        !self.head_arrived.0.load(Ordering::Relaxed) && self.received_bytes > self.max_bytes
    }
}

impl AsyncRead for LimitedRead {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_exceeded() {
            let max_bytes = self.max_bytes;
            let reason = format!("more than {max_bytes} bytes before the end of the head");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let max_bytes = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        let polled = Pin::new(&mut self.tcp).poll_read(context, &mut part);
        let received_bytes = part.filled().len();
        buffer.advance(received_bytes);
        self.received_bytes += received_bytes;
        polled
    }
}

impl AsyncWrite for LimitedRead {
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
        Pin::new(&mut self.tcp).poll_shutdown(context)
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
