//! Cutting a stream of server-sent events where its events end.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects the bytes of a stream and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Bytes of `pending` in which no event ends.
    searched: usize,
    last: Option<u64>,
}

impl EventSplitter {
    /// Takes in bytes; gives out everything up to the end of the last whole event.
    pub fn push(&mut self, part: &[u8]) -> Bytes {
        self.pending.extend_from_slice(part);
        let from = self.searched.saturating_sub(3);
        let end = last_boundary(&self.pending[from..]).map(|end| from + end);
        let Some(end) = end else {
            self.searched = self.pending.len();
            // A stream of something else than events is not held back for ever.
            let overlong = self.pending.len() > MAX_EVENT_BYTES;
            return if overlong { self.rest() } else { Bytes::new() };
        };
        let whole = self.pending.split_to(end).freeze();
        self.searched = self.pending.len();
        self.last = last_id(&whole).or(self.last);
        whole
    }

    /// Number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.pending.split().freeze()
    }
}

/// Where the last event in `bytes` ends: after an empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let unix = find_last(bytes, b"\n\n").map(|at| at + 2);
    let dos = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn find_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|window| window == pattern)
}

/// The number in the last `id:` line.
fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
