//! Reads request bodies within limits of size and time.

use std::time::Duration;

use actix_http::Payload;
use actix_rt::time::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;

/// Why a request body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLong,
    /// The body was not complete within the time limit.
    TooSlow,
    /// The connection failed or was closed before the end of the body.
    Broken,
}

/// Reads a complete body of at most `limit` bytes within `time_limit`.
pub async fn read_body(
    payload: &mut Payload,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let Ok(part) = part else {
                return Err(BodyError::Broken);
            };
            if body.len() + part.len() > limit {
                return Err(BodyError::TooLong);
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    match timeout(time_limit, read).await {
        Ok(result) => result,
        Err(_elapsed) => Err(BodyError::TooSlow),
    }
}
