//! The streams of an engine, and how they end.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;

use crate::http::ChunkStream;

/// Number of events in each answer.
const EVENTS_PER_ANSWER: u64 = 5;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// How an engine ends a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StreamEnd {
    /// The last chunk follows the last event.
    #[default]
    LastChunk,
    /// The connection is closed in the middle of an event, without the last chunk.
    MissingChunk,
    /// The last chunk comes in the middle of an event.
    LastChunkInsideEvent,
    /// There are no chunks; the connection is closed after the last event.
    Close,
    /// There are no chunks; the connection is closed in the middle of an event.
    CloseInsideEvent,
}

/// How an engine numbers the events of its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EventNumbering {
    /// Ids count from 1, and a resumed stream continues after the last one.
    #[default]
    Continued,
    /// Events have no ids, and every stream starts with the first event.
    Missing,
    /// Ids count from 1, and every stream starts with the first event.
    StartedOver,
}

/// The events of a request after number `after`.
pub(super) fn event_stream(
    id: &str,
    after: u64,
    end: StreamEnd,
    numbering: EventNumbering,
) -> ChunkStream {
    let after = if numbering == EventNumbering::Continued { after } else { 0 };
    let event = |number: u64| {
        let data = format!("data: {id} {number}\n\n");
        match numbering {
            EventNumbering::Missing => data,
            _ => format!("id: {number}\n{data}"),
        }
    };
    let mut chunks: Vec<Result<Bytes, std::io::Error>> =
        (after + 1..=EVENTS_PER_ANSWER).map(|number| Ok(Bytes::from(event(number)))).collect();
    if !matches!(end, StreamEnd::LastChunk | StreamEnd::Close) {
        chunks.truncate(2);
        chunks.push(Ok(Bytes::from_static(b"id: 3\nda")));
    }
    if end == StreamEnd::MissingChunk {
        chunks.push(Err(std::io::Error::other("cut")));
    }
    futures::stream::iter(chunks)
        .then(|chunk| async move {
            actix_rt::time::sleep(EVENT_INTERVAL).await;
            chunk
        })
        .boxed_local()
}
