//! Reading the bodies of answers.

use actix_rt::time::timeout;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use log::debug;
use wagtailledge_memory::BudgetShare;

use crate::call::UpstreamCall;
use crate::framing::EndCause;
use crate::pool::OpenAnswer;

/// Next part of the body; `None` at its regular end.
pub async fn next_part(
    answer: &mut OpenAnswer,
    call: &UpstreamCall,
) -> Result<Option<Bytes>, EndCause> {
    loop {
        let frame = tokio::select! {
            frame = timeout(call.max_wait, answer.body.frame()) => frame,
            () = call.stop.requested() => return Err(EndCause::TimedOut),
        };
        match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(part) => return Ok(Some(part)),
                Err(_trailers) => {}
            },
            Ok(None) => return Ok(None),
            Ok(Some(Err(error))) => {
                debug!(
                    "answer to request {} from {} failed: {error}",
                    call.request_id, call.upstream
                );
                return Err(EndCause::Failed);
            }
            Err(_elapsed) => return Err(EndCause::TimedOut),
        }
    }
}

/// Bytes of a body that were read before any of them was forwarded.
#[derive(Debug, Default)]
pub struct BufferedBody {
    /// The bytes.
    pub bytes: BytesMut,
    /// Whether the body has ended.
    pub is_whole: bool,
}

/// Buffers a body until it ends, is longer than `max_buffered_bytes`, or its share of the budget cannot
/// grow.
pub async fn read_body(
    answer: &mut OpenAnswer,
    call: &UpstreamCall,
    share: &mut BudgetShare,
) -> Result<BufferedBody, EndCause> {
    let mut bytes = BytesMut::new();
    while bytes.len() <= call.max_buffered_bytes && share.resize(bytes.len()) {
        match next_part(answer, call).await? {
            Some(part) => bytes.extend_from_slice(&part),
            None => return Ok(BufferedBody { bytes, is_whole: true }),
        }
    }
    Ok(BufferedBody { bytes, is_whole: false })
}
