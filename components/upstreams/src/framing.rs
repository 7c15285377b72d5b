//! How the bodies of answers are delimited, and how they end.

use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head states the length.
    Length,
    /// The last chunk ends the body.
    Chunked,
    /// The body lasts until its connection is closed.
    UntilClose,
}

impl BodyFraming {
    /// Framing that the head of an answer announces.
    pub fn of(head: &response::Parts) -> Self {
        // `Transfer-Encoding` takes precedence over a length.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if head.headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// Name in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until close",
        }
    }
}

/// Start of the status line of an answer.
pub const STATUS_LINE: &[u8] = b"HTTP/1.";
/// Most headers of a second answer that are parsed.
const MAX_HEADERS: usize = 64;

/// Whether a body that lasts until its connection is closed contains the head of another answer. An
/// upstream that answers twice writes it behind the body.
pub fn contains_answer(body: &[u8]) -> bool {
    let starts = body.windows(STATUS_LINE.len()).enumerate();
    let mut starts = starts.filter(|(_, window)| *window == STATUS_LINE).map(|(at, _)| at);
    starts.any(|at| {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        head.parse(&body[at..]).is_ok_and(|status| status.is_complete())
    })
}

/// Why reading a body stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// The framing marked the end, or the upstream closed the connection of a body without any.
    Regular,
    /// The connection failed, the framing was violated, or a resumed stream did not go on after the
    /// last event.
    Failed,
    /// No part arrived in time.
    TimedOut,
    /// The reader stopped, because the caller left or the body is too long.
    Stopped,
}

impl EndCause {
    /// Name in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Regular => "regular",
            Self::Failed => "failed",
            Self::TimedOut => "timed out",
            Self::Stopped => "stopped",
        }
    }
}

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyEnd {
    /// How the end of the body was marked.
    pub framing: BodyFraming,
    /// Why reading stopped.
    pub cause: EndCause,
    /// Bytes after the last complete event; 0 if the body is not an event stream.
    pub open_bytes: usize,
}

impl BodyEnd {
    /// End of a body of which nothing was forwarded.
    pub fn of_buffered(framing: BodyFraming, cause: EndCause) -> Self {
        Self { framing, cause, open_bytes: 0 }
    }
}
