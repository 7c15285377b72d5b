//! HTTP server that answers every request with plain text, for readiness checks and metrics.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use log::warn;

use super::server::listen;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Builds status and body of the answer to any request.
pub type TextSource = Rc<dyn Fn() -> (StatusCode, String)>;

/// HTTP server that answers every request from one [`TextSource`] until the process ends.
pub struct TextServer {
    address: SocketAddr,
}

impl fmt::Debug for TextServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TextServer({})", self.address)
    }
}

impl TextServer {
    /// Listens on `address` and answers every request with the result of `source`.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub fn start(address: SocketAddr, source: TextSource) -> std::io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let source = Rc::clone(&source);
                        actix_rt::spawn(async move {
                            let service = service_fn(|_: Request<Incoming>| {
                                let response = text_response(source());
                                async move { Ok::<_, Infallible>(response) }
                            });
                            let connection = http1::Builder::new()
                                .serve_connection(TokioIo::new(stream), service);
                            if let Err(error) = connection.await {
                                debug!("connection to {address} failed: {error}");
                            }
                        });
                    }
                    Err(error) => {
                        warn!(
                            "cannot accept on {address}, retry in {ACCEPT_RETRY_DELAY:?}: {error}"
                        );
                        actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Ok(Self { address })
    }

    /// Address listened on, with the port chosen by the system if none was given.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn text_response((status, text): (StatusCode, String)) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
