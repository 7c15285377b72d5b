//! Answers whether new callers should come here.

use std::convert::Infallible;
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

use crate::gate::CallerGate;

use super::server::listen;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for readiness checks as long as the process lives.
#[derive(Debug)]
pub struct ReadinessServer {
    address: SocketAddr,
}

impl ReadinessServer {
    /// Listens on `address`; any request is answered 200 while `gate` is ready, else 503.
    ///
    /// # Errors
    /// Fails when the address cannot be listened on.
    pub fn start(address: SocketAddr, gate: Rc<dyn CallerGate>) -> std::io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let gate = Rc::clone(&gate);
                        actix_rt::spawn(async move {
                            let service = service_fn(|_: Request<Incoming>| {
                                let response = answer(gate.is_ready());
                                async move { Ok::<_, Infallible>(response) }
                            });
                            let connection = http1::Builder::new()
                                .serve_connection(TokioIo::new(stream), service);
                            if let Err(error) = connection.await {
                                debug!("readiness check ended: {error}");
                            }
                        });
                    }
                    Err(error) => {
                        warn!("accept of readiness checks failed: {error}");
                        actix_rt::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        });
        Ok(Self { address })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn answer(is_ready: bool) -> Response<Full<Bytes>> {
    let (status, text) = if is_ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
