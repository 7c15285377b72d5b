//! Reads request bodies within limits of size and time.

use std::time::Duration;

use actix_http::Payload;
use actix_rt::time::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use wagtailledge_memory::BudgetShare;

/// Why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLong,
    /// The body was not complete within the time limit.
    TooSlow,
    /// The connection failed or was closed before the end of the body.
    Broken,
    /// The host has no memory for the body; it was read and dropped.
    NoMemory,
}

/// Reads a complete body of at most `limit` bytes within `time_limit`. It keeps its share of the memory for
/// bodies until it is dropped.
pub async fn read_body(
    payload: &mut Payload,
    limit: usize,
    time_limit: Duration,
    share: BudgetShare,
) -> Result<Bytes, BodyError> {
    let read = async {
        let mut body = CollectedBody::new(limit, share);
        while let Some(part) = payload.next().await {
            body.push(&part.map_err(|_error| BodyError::Broken)?)?;
        }
        body.finish()
    };
    match timeout(time_limit, read).await {
        Ok(result) => result,
        Err(_elapsed) => Err(BodyError::TooSlow),
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct CollectedBody {
    bytes: BytesMut,
    /// Bytes read, dropped ones included.
    length: usize,
    limit: usize,
    /// Share of the memory for bodies; `None` once it did not suffice, from when on the bytes are dropped. The
    /// rest is still read, because closing a connection with unread bytes resets it and the refusal is lost.
    share: Option<BudgetShare>,
}

impl CollectedBody {
    /// Starts an empty body of at most `limit` bytes.
    pub fn new(limit: usize, share: BudgetShare) -> Self {
        Self { bytes: BytesMut::new(), length: 0, limit, share: Some(share) }
    }

    /// Reserves memory for the length that the request announces.
    pub fn reserve(&mut self, announced: usize) {
        self.share.take_if(|share| !share.resize(announced));
        if self.share.is_some() {
            self.bytes.reserve(announced);
        }
    }

    /// Adds a part.
    ///
    /// # Errors
    /// Fails if the body is too long with it.
    pub fn push(&mut self, part: &[u8]) -> Result<(), BodyError> {
        self.length += part.len();
        if self.length > self.limit {
            return Err(BodyError::TooLong);
        }
        if self.share.is_some() {
            self.bytes.extend_from_slice(part);
        }
        let held = self.bytes.capacity();
        if self.share.take_if(|share| !share.resize(held)).is_some() {
            self.bytes = BytesMut::new();
        }
        Ok(())
    }

    /// The complete body.
    ///
    /// # Errors
    /// Fails if its share of the memory did not suffice.
    pub fn finish(self) -> Result<Bytes, BodyError> {
        let share = self.share.ok_or(BodyError::NoMemory)?;
        Ok(share.attach(self.bytes.freeze()))
    }
}
