//! Splits a stream of server-sent events at event boundaries.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Length of the start of `pending` that is known to contain no event boundary.
    searched: usize,
    last_event: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes of the stream. Returns everything up to the end of the last complete event.
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.pending.extend_from_slice(part);
        // A boundary has up to four bytes, of which three may have been searched.
        let from = self.searched.saturating_sub(3);
        let end = last_boundary(&self.pending[from..]).map(|end| from + end);
        let Some(end) = end else {
            self.searched = self.pending.len();
            // A stream that contains no events must not be buffered without limit.
            let overlong = self.pending.len() > MAX_EVENT_BYTES;
            return if overlong { self.take_rest() } else { Bytes::new() };
        };
        let events = self.pending.split_to(end).freeze();
        self.searched = self.pending.len();
        self.last_event = last_id(&events).or(self.last_event);
        events
    }

    /// Latest numeric id among the complete events so far; `None` before the first.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Number of bytes after the last complete event.
    pub fn open_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.split().freeze()
    }
}

/// End of the last event in `bytes`: the position after an empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let unix = find_last(bytes, b"\n\n").map(|at| at + 2);
    let dos = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}

/// Number in the last `id:` line.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
