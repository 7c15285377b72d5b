//! Keep-alive times that upstreams announce.

use std::time::Duration;

use hyper::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use wagtailledge_upstreams::ConnectionPool;
use wagtailledge_upstreams::ShortRequest;

/// Maximum wait for an answer, which no case reaches.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Sends two requests in turn to a server whose answers have the header `keep_alive`. Returns the
/// number of connections that it accepted.
async fn connections(keep_alive: &'static str) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (accepted, mut count) = tokio::sync::mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.send(()).unwrap();
            actix_rt::spawn(async move {
                let mut head = Vec::new();
                while let Ok(byte) = stream.read_u8().await {
                    head.push(byte);
                    if head.ends_with(b"\r\n\r\n") {
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: {keep_alive}\r\n\r\nok"
                        );
                        stream.write_all(answer.as_bytes()).await.unwrap();
                    }
                }
            });
        }
    });
    let pool = ConnectionPool::default();
    for _ in 0..2 {
        let request = ShortRequest::new(address, Method::GET, "/".to_owned());
        let answer = pool.exchange(request, MAX_WAIT).await.unwrap();
        assert_eq!((answer.status, &answer.body[..]), (200, &b"ok"[..]), "{keep_alive}");
    }
    let mut connections = 0;
    while count.try_recv().is_ok() {
        connections += 1;
    }
    connections
}

#[test]
fn can_reuse_connections_for_any_announced_keep_alive_time() {
    actix_rt::System::new().block_on(async {
        for (keep_alive, expected) in [
            ("timeout=30, max=100", 1),
            ("timeout=18446744073709551615", 1),
            ("timeout=9223372036854775807", 1),
            ("timeout=-1", 1),
            ("timeout=1e300", 1),
            ("timeout=", 1),
            ("timeout=0", 2),
        ] {
            assert_eq!(connections(keep_alive).await, expected, "{keep_alive}");
        }
    });
}
