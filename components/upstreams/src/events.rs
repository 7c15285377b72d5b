//! Follows a stream of server-sent events from one event boundary to the next.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Position in the lines of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum LinePosition {
    /// After a line feed, or before the first byte.
    #[default]
    Start,
    /// Inside a line.
    Inside,
    /// After a carriage return that ended a line; a line feed may belong to the same line end.
    Return,
    /// After a carriage return that ended an empty line; a line feed may belong to the same line
    /// end.
    EmptyLineReturn,
}

/// Finds event boundaries, which are empty lines. Lines may end with a line feed, a carriage return
/// or both.
#[derive(Debug, Default)]
struct BoundaryScanner {
    position: LinePosition,
    /// Whether a line other than a comment has begun since the last boundary.
    has_field: bool,
    /// Whether an event has been completed.
    has_event: bool,
    /// Number of bytes since the last boundary.
    open_bytes: usize,
}

impl BoundaryScanner {
    /// Scans the next bytes of the stream. Returns the position in `bytes` after the last boundary.
    fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut last = None;
        for (at, byte) in bytes.iter().enumerate() {
            if let Some(boundary) = self.scan_byte(*byte, at) {
                last = Some(boundary);
            }
        }
        self.open_bytes = match last {
            Some(boundary) => bytes.len() - boundary,
            None => self.open_bytes + bytes.len(),
        };
        last
    }

    fn scan_byte(&mut self, byte: u8, at: usize) -> Option<usize> {
        use LinePosition::EmptyLineReturn;
        use LinePosition::Inside;
        use LinePosition::Return;
        use LinePosition::Start;

        let (position, boundary) = match (self.position, byte) {
            (Inside | Return, b'\n') => (Start, None),
            (Inside, b'\r') => (Return, None),
            (Start | EmptyLineReturn, b'\n') => (Start, Some(at + 1)),
            // The line feed that ends the other lines is still missing.
            (Start, b'\r') => (EmptyLineReturn, None),
            (Return | EmptyLineReturn, b'\r') => (EmptyLineReturn, Some(at + 1)),
            (EmptyLineReturn, _) => (Inside, Some(at)),
            _ => (Inside, None),
        };
        if boundary.is_some() {
            self.has_event |= self.has_field;
            self.has_field = false;
        }
        let begins_line = position == Inside && self.position != Inside;
        self.has_field |= begins_line && byte != b':';
        self.position = position;
        boundary
    }
}

/// Follows a stream and, if asked to, holds back the bytes of incomplete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: BoundaryScanner,
    holds_back: bool,
    /// Bytes held back.
    pending: BytesMut,
    last_event: Option<u64>,
}

impl EventSplitter {
    /// Follows a stream from its start. `holds_back` says whether bytes are held back until their
    /// event is complete.
    pub fn new(holds_back: bool) -> Self {
        Self { holds_back, ..Self::default() }
    }

    /// Takes the next bytes of the stream and returns the bytes to forward.
    pub fn push(&mut self, part: Bytes) -> Bytes {
        let boundary = self.scanner.scan(&part);
        if !self.holds_back {
            return part;
        }
        let held = self.pending.len();
        self.pending.extend_from_slice(&part);
        let Some(boundary) = boundary else {
            // A stream that contains no events must not be buffered without limit.
            let overlong = self.pending.len() > MAX_EVENT_BYTES;
            return if overlong { self.pending.split().freeze() } else { Bytes::new() };
        };
        let events = self.pending.split_to(held + boundary).freeze();
        if let Some(id) = last_id(&events) {
            self.last_event = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok());
        }
        events
    }

    /// Latest id among the complete events so far; `None` before the first, if it is not a number,
    /// and if no bytes are held back.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether an event has been completed.
    pub fn has_event(&self) -> bool {
        self.scanner.has_event
    }

    /// Number of bytes after the last complete event.
    pub fn open_bytes(&self) -> usize {
        self.scanner.open_bytes
    }
}

/// Value of the last `id:` line.
fn last_id(events: &[u8]) -> Option<&[u8]> {
    let mut lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    lines.find_map(|line| line.strip_prefix(b"id:"))
}
