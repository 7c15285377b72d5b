//! Follows a stream of server-sent events from one event boundary to the next.

use bytes::Bytes;
use bytes::BytesMut;

use crate::framing::STATUS_LINE;

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Start of a line with the id of an event.
const ID_FIELD: &[u8] = b"id:";
/// Maximum length of a line with a numeric id, in bytes.
const MAX_ID_LINE: usize = 32;

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

/// Finds event boundaries, which are empty lines, and the ids of events. Lines may end with a line
/// feed, a carriage return or both.
#[derive(Debug)]
struct BoundaryScanner {
    position: LinePosition,
    /// First bytes of the current line, one more than [`MAX_ID_LINE`] at most.
    line_head: Vec<u8>,
    /// Id of the current event; `None` before its `id:` line, or if that has no number.
    event_id: Option<u64>,
    /// Id of the last complete event; `None` before the first, or if that has no numeric id.
    last_event: Option<u64>,
    /// Lowest id of the complete events; 0 if one has no numeric id, `u64::MAX` without any event.
    lowest_id: u64,
    /// Whether a line other than a comment has begun since the last boundary.
    has_field: bool,
    /// Whether an event has been completed.
    has_event: bool,
    /// Number of bytes since the last boundary.
    open_bytes: usize,
}

impl Default for BoundaryScanner {
    fn default() -> Self {
        Self {
            position: LinePosition::default(),
            line_head: Vec::new(),
            event_id: None,
            last_event: None,
            lowest_id: u64::MAX,
            has_field: false,
            has_event: false,
            open_bytes: 0,
        }
    }
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
            self.end_event();
        }
        if position == Inside {
            if self.position != Inside {
                self.line_head.clear();
                self.has_field |= byte != b':';
            }
            if self.line_head.len() <= MAX_ID_LINE {
                self.line_head.push(byte);
            }
        } else if self.position == Inside {
            self.end_line();
        }
        self.position = position;
        boundary
    }

    /// Whether the next byte begins a line.
    fn is_at_line_start(&self) -> bool {
        self.position != LinePosition::Inside
    }

    fn end_line(&mut self) {
        if let Some(id) = self.line_head.strip_prefix(ID_FIELD) {
            let id = std::str::from_utf8(id).ok().map(str::trim);
            self.event_id = id.and_then(|id| id.parse().ok());
        }
    }

    fn end_event(&mut self) {
        let id = self.event_id.take();
        if std::mem::take(&mut self.has_field) {
            self.has_event = true;
            self.last_event = id;
            self.lowest_id = self.lowest_id.min(id.unwrap_or(0));
        }
    }
}

/// Follows a stream and, if asked to, holds back the bytes of incomplete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: BoundaryScanner,
    holds_back: bool,
    /// Bytes held back.
    pending: BytesMut,
    /// Whether bytes of the current event were forwarded, as it is too long to be held back.
    passes_event: bool,
    /// Bytes at the end of what was pushed that may be the start of a status line: at most one less
    /// than [`STATUS_LINE`], and from the start of a line.
    status_bytes: usize,
}

/// What remains of the bytes of a stream before another answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnPart {
    /// Bytes to forward.
    pub part: Bytes,
    /// Whether the bytes behind them belong to another answer.
    pub has_other_answer: bool,
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
        if let Some(boundary) = boundary {
            self.passes_event = false;
            return self.pending.split_to(held + boundary).freeze();
        }
        if self.pending.len() <= MAX_EVENT_BYTES {
            return Bytes::new();
        }
        self.passes_event = true;
        self.pending.split().freeze()
    }

    /// Like [`Self::push`], but stops before a line that begins like the head of another answer, which
    /// an upstream that answers twice writes behind a stream without a length.
    pub fn push_before_answer(&mut self, part: Bytes) -> OwnPart {
        let mut matched = self.status_bytes;
        let mut at_start = matched == 0 && self.scanner.is_at_line_start();
        for (at, byte) in part.iter().enumerate() {
            if (matched > 0 || at_start) && STATUS_LINE[matched] == *byte {
                matched += 1;
            } else {
                matched = 0;
            }
            at_start = matches!(byte, b'\n' | b'\r');
            if matched == STATUS_LINE.len() {
                // The first bytes of the line may have come with an earlier part.
                let own = part.slice(..(at + 1).saturating_sub(matched));
                return OwnPart { part: self.push(own), has_other_answer: true };
            }
        }
        self.status_bytes = matched;
        OwnPart { part: self.push(part), has_other_answer: false }
    }

    /// Whether what was forwarded ends with a numbered event, after which another stream can continue.
    pub fn is_continuable(&self) -> bool {
        self.holds_back && !self.passes_event && self.last_event().is_some()
    }

    /// Id of the last complete event; `None` before the first, or if that has no numeric id.
    pub fn last_event(&self) -> Option<u64> {
        self.scanner.last_event
    }

    /// Whether every complete event has a numeric id above `last`.
    pub fn continues_after(&self, last: u64) -> bool {
        self.scanner.lowest_id > last
    }

    /// Whether an event has been completed.
    pub fn has_event(&self) -> bool {
        self.scanner.has_event
    }

    /// Number of bytes that are held back.
    pub fn held_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Number of bytes after the last complete event.
    pub fn open_bytes(&self) -> usize {
        self.scanner.open_bytes
    }
}
