//! A caller's stream, which records what the caller sends and takes.

use crate::receive_buffer::ReceiveBuffer;
use std::io;
use std::pin;
use std::task;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// What is told of the bytes on a connection.
pub trait StreamRecord: Unpin {
    /// Returns once whether the receive buffer is to become wide.
    fn take_widening(&self) -> bool;

    /// Records that bytes have arrived.
    fn record_read(&self);

    /// Records whether the caller takes the bytes that are ready for it.
    fn record_taking(&self, takes: bool);

    /// Records that bytes have been sent.
    fn record_sent(&self, bytes: usize);

    /// Records that all bytes that were ready have been sent.
    fn record_flushed(&self);
}

/// The stream of a connection with its record.
#[derive(Debug)]
pub struct RecordedStream<'a, R> {
    stream: &'a mut TcpStream,
    record: R,
}

impl<'a, R: StreamRecord> RecordedStream<'a, R> {
    /// Creates the stream of a connection.
    pub fn new(stream: &'a mut TcpStream, record: R) -> Self {
        Self { stream, record }
    }

    fn record_write(&self, written: &task::Poll<io::Result<usize>>) {
        self.record.record_taking(written.is_ready());
        if let task::Poll::Ready(Ok(count)) = written {
            self.record.record_sent(*count);
        }
    }
}

impl<R: StreamRecord> AsyncRead for RecordedStream<'_, R> {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.record.take_widening() {
            ReceiveBuffer::Wide.set(&*this.stream)?;
        }
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut *this.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.record.record_read();
        }
        read
    }
}

impl<R: StreamRecord> AsyncWrite for RecordedStream<'_, R> {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = pin::Pin::new(&mut *this.stream).poll_write(cx, bytes);
        this.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = pin::Pin::new(&mut *this.stream).poll_write_vectored(cx, slices);
        this.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Is called once all bytes that were buffered have been written.
    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let flushed = pin::Pin::new(&mut *this.stream).poll_flush(cx);
        if matches!(flushed, task::Poll::Ready(Ok(()))) {
            this.record.record_flushed();
        }
        flushed
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut *self.get_mut().stream).poll_shutdown(cx)
    }
}
