//! Stops reading from a peer that sends far more than a head before its response.
//!
//! A peer in trouble may send interim responses or empty lines without end. They fill no
//! buffer, but reading them would keep the thread from all else.

use std::cell;
use std::future;
use std::io;
use std::pin;
use std::rc;
use std::task;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net as aio;

/// What may still be read from a connection, for its stream and its owner.
#[derive(Debug, Default)]
pub(crate) struct HeadGate {
    /// Bytes before the head of a response after which no more is read; none if the head has
    /// arrived.
    left: cell::Cell<Option<usize>>,
    reader: cell::RefCell<Option<task::Waker>>,
    /// Whether no more is read.
    is_shut: cell::Cell<bool>,
    /// Wakes the owner then.
    owner: cell::RefCell<Option<task::Waker>>,
}

impl HeadGate {
    /// Reads no more once so many bytes have come, until the head of a response has arrived.
    pub(crate) fn expect_head(&self, bytes: usize) {
        self.left.set(Some(bytes));
        self.is_shut.set(false);
    }

    /// Returns once so much has come without a head that no more is read.
    pub(crate) async fn exhausted(&self) {
        future::poll_fn(|context| match self.is_shut.get() {
            true => task::Poll::Ready(()),
            false => {
                *self.owner.borrow_mut() = Some(context.waker().clone());
                task::Poll::Pending
            }
        })
        .await;
    }

    /// Ends the bound, as the head has arrived.
    pub(crate) fn open(&self) {
        self.left.set(None);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// A connection's stream behind its gate.
#[derive(Debug)]
pub(crate) struct GatedStream {
    stream: aio::TcpStream,
    gate: rc::Rc<HeadGate>,
}

impl GatedStream {
    pub(crate) fn new(stream: aio::TcpStream, gate: rc::Rc<HeadGate>) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let Some(left) = this.gate.left.get() else {
            return pin::Pin::new(&mut this.stream).poll_read(cx, buffer);
        };
        if left == 0 {
            // The owner opens the gate or closes the connection at its deadline.
            *this.gate.reader.borrow_mut() = Some(cx.waker().clone());
            return task::Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut this.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        this.gate.left.set(Some(left.saturating_sub(count)));
        read
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
