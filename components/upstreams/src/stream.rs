//! TCP streams that drop what is still unsent when they are closed during an exchange.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_rt::net::TcpStream;
use log::debug;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Condition that must hold whenever bytes of a request are written.
#[derive(Clone)]
pub struct WritePermit(Rc<dyn Fn() -> bool>);

impl WritePermit {
    /// Creates a permit that holds while `holds` returns true.
    pub fn new(holds: Box<dyn Fn() -> bool>) -> Self {
        Self(Rc::from(holds))
    }

    /// Whether bytes may be written now.
    pub fn holds(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for WritePermit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WritePermit")
    }
}

/// How the request of an exchange is written.
#[derive(Debug, Clone, Default)]
pub struct WriteTerms {
    /// Checked right before each write; `None` always permits it.
    pub permit: Option<WritePermit>,
    /// Time after which the kernel drops bytes that the receiver has not acknowledged, also while
    /// this process is stopped. `None` leaves it to the system.
    pub ack_timeout: Option<Duration>,
}

/// What a connection and its stream share.
#[derive(Debug, Default)]
pub struct StreamControl {
    /// Set while no exchange uses the connection.
    is_idle: Cell<bool>,
    /// Whether a byte was written since the current exchange began.
    has_written: Cell<bool>,
    /// Whether the permit of the current exchange prevented a write.
    was_refused: Cell<bool>,
    terms: RefCell<WriteTerms>,
}

impl StreamControl {
    /// Starts an exchange with these terms.
    pub fn begin_exchange(&self, terms: WriteTerms) {
        self.is_idle.set(false);
        self.has_written.set(false);
        self.was_refused.set(false);
        *self.terms.borrow_mut() = terms;
    }

    /// Records that the exchange has ended, and nothing of its request is unsent.
    pub fn end_exchange(&self) {
        self.is_idle.set(true);
        *self.terms.borrow_mut() = WriteTerms::default();
    }

    /// Whether the permit prevented the first write, so that nothing was sent.
    pub fn was_refused(&self) -> bool {
        self.was_refused.get() && !self.has_written.get()
    }
}

/// TCP stream of a pooled connection. Closing it during an exchange, also by the end of this process,
/// resets the connection. A regular close would leave what is unsent to the kernel, which goes on
/// sending it for minutes if the receiver cannot be reached.
#[derive(Debug)]
pub struct RevocableStream {
    stream: TcpStream,
    control: Rc<StreamControl>,
    /// The value of `TCP_USER_TIMEOUT` that the socket has.
    ack_timeout: Option<Duration>,
}

impl RevocableStream {
    /// Takes over a connected stream.
    ///
    /// # Errors
    /// Fails if the system refuses to reset the connection on close.
    pub fn new(stream: TcpStream, control: Rc<StreamControl>) -> io::Result<Self> {
        stream.set_zero_linger()?;
        Ok(Self { stream, control, ack_timeout: None })
    }

    /// Checks the permit of the exchange and sets its acknowledgement timeout.
    fn prepare_write(&mut self) -> io::Result<()> {
        let terms = self.control.terms.borrow();
        if !terms.permit.as_ref().is_none_or(WritePermit::holds) {
            self.control.was_refused.set(true);
            return Err(io::Error::from(io::ErrorKind::PermissionDenied));
        }
        if self.ack_timeout != terms.ack_timeout {
            SockRef::from(&self.stream).set_tcp_user_timeout(terms.ack_timeout)?;
            self.ack_timeout = terms.ack_timeout;
        }
        Ok(())
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.control.has_written.set(true);
        }
    }
}

impl Drop for RevocableStream {
    fn drop(&mut self) {
        if !self.control.is_idle.get() {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).set_linger(None) {
            debug!("an idle connection is reset instead of closed: {error}");
        }
    }
}

impl AsyncRead for RevocableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for RevocableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
