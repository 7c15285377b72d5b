//! Bytes of requests that were given up, or whose sender ended, while the receiver did not read.

use std::cell::Cell;
use std::io::Read;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::rc::Rc;
use std::thread::sleep;
use std::time::Duration;

use actix_rt::time::timeout;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use wagtailledge_upstreams::ConnectionPool;
use wagtailledge_upstreams::ExchangeFault;
use wagtailledge_upstreams::ShortRequest;
use wagtailledge_upstreams::WritePermit;

/// Maximum wait for the answer, which never comes.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time from the start of an exchange until the receiver reads.
const HELD: Duration = Duration::from_millis(1_500);
/// Receive buffer of the receiver, far smaller than the body.
const RECEIVE_BYTES: usize = 2_048;
/// Size of the body. The kernel of the sender takes it whole.
const BODY_BYTES: usize = 48_000;
/// Environment variable with the address that a process started by a test sends to.
const SENDER_ADDRESS: &str = "WAGTAILLEDGE_TEST_SENDER_ADDRESS";

/// A receiver that reads nothing until told.
fn held_receiver() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    socket.listen(8).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads the first connection until it ends. Returns the number of bytes of it.
fn received(listener: &TcpListener) -> usize {
    let (mut stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut bytes = Vec::new();
    // A reset ends the connection with an error.
    let _ = stream.read_to_end(&mut bytes);
    bytes.len()
}

fn order(address: SocketAddr) -> ShortRequest {
    let body = vec![b' '; BODY_BYTES];
    ShortRequest::new(address, Method::POST, "/orders".to_owned()).with_body(body)
}

/// Starts this test again in another process, which sends an order and waits.
fn start_sender(test: &str, address: SocketAddr) -> Child {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", test, "--nocapture"]);
    command.env(SENDER_ADDRESS, address.to_string()).spawn().unwrap()
}

/// Sends an order if a test started this process for it. Returns whether one did.
fn is_sender() -> bool {
    let Ok(address) = std::env::var(SENDER_ADDRESS) else {
        return false;
    };
    actix_rt::System::new().block_on(async {
        let pool = ConnectionPool::default();
        let _ = pool.exchange(order(address.parse().unwrap()), MAX_WAIT).await;
        actix_rt::time::sleep(HELD * 4).await;
    });
    true
}

fn signal(sender: &Child, name: &str) {
    let status = Command::new("kill").args([name, &sender.id().to_string()]).status().unwrap();
    assert!(status.success());
}

#[test]
fn can_drop_the_bytes_of_an_exchange_that_timed_out() {
    let (listener, address) = held_receiver();
    actix_rt::System::new().block_on(async {
        let pool = ConnectionPool::default();
        let fault = pool.exchange(order(address), MAX_WAIT).await.unwrap_err();
        assert!(matches!(fault, ExchangeFault::Lost(_)), "{fault}");
        actix_rt::time::sleep(HELD).await;
    });
    let bytes = received(&listener);
    assert!(bytes < BODY_BYTES, "{bytes} bytes arrived after the exchange had been given up");
}

#[test]
fn can_drop_the_bytes_of_a_cancelled_request() {
    let (listener, address) = held_receiver();
    actix_rt::System::new().block_on(async {
        let pool = ConnectionPool::default();
        let body = Full::new(Bytes::from(vec![b' '; BODY_BYTES]));
        let request = Request::post("/calls").header("Host", "service").body(body).unwrap();
        let sent = timeout(MAX_WAIT, pool.send(address, request, Duration::ZERO)).await;
        assert!(sent.is_err());
        actix_rt::time::sleep(HELD).await;
    });
    let bytes = received(&listener);
    assert!(bytes < BODY_BYTES, "{bytes} bytes arrived after the request had been cancelled");
}

#[test]
fn can_drop_the_bytes_of_a_process_that_is_killed() {
    if is_sender() {
        return;
    }
    let (listener, address) = held_receiver();
    let mut sender = start_sender("can_drop_the_bytes_of_a_process_that_is_killed", address);
    let (stream, _) = listener.accept().unwrap();
    sleep(MAX_WAIT / 3);
    sender.kill().unwrap();
    sender.wait().unwrap();
    sleep(HELD);
    let mut bytes = Vec::new();
    let _ = (&stream).read_to_end(&mut bytes);
    let bytes = bytes.len();
    assert!(bytes < BODY_BYTES, "{bytes} bytes arrived after the sender had been killed");
}

#[test]
fn can_drop_the_bytes_of_a_process_that_is_stopped() {
    if is_sender() {
        return;
    }
    let (listener, address) = held_receiver();
    let mut sender = start_sender("can_drop_the_bytes_of_a_process_that_is_stopped", address);
    let (stream, _) = listener.accept().unwrap();
    sleep(MAX_WAIT / 3);
    signal(&sender, "-STOP");
    sleep(HELD);
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut bytes = Vec::new();
    let _ = (&stream).read_to_end(&mut bytes);
    sender.kill().unwrap();
    sender.wait().unwrap();
    let bytes = bytes.len();
    assert!(bytes < BODY_BYTES, "{bytes} bytes arrived while the sender was stopped");
}

#[test]
fn can_refuse_to_write_an_order_whose_authority_ended_while_it_connected() {
    let (listener, address) = held_receiver();
    actix_rt::System::new().block_on(async {
        let pool = ConnectionPool::default();
        let checks = Rc::new(Cell::new(0));
        let counted = Rc::clone(&checks);
        let permit = WritePermit::new(Box::new(move || {
            counted.set(counted.get() + 1);
            false
        }));
        let fault = pool.exchange(order(address).with_permit(permit), MAX_WAIT).await.unwrap_err();
        assert!(matches!(fault, ExchangeFault::NotSent(_)), "{fault}");
        assert_eq!(checks.get(), 1);
    });
    assert_eq!(received(&listener), 0);
}

#[test]
fn can_close_an_idle_connection_without_a_reset() {
    use std::io::Write;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).map(|_| rest.len())
    });
    actix_rt::System::new().block_on(async {
        let pool = ConnectionPool::default();
        let request = ShortRequest::new(address, Method::GET, "/".to_owned());
        pool.exchange(request, MAX_WAIT).await.unwrap();
        pool.close_idle(address);
        actix_rt::time::sleep(MAX_WAIT).await;
    });
    assert_eq!(server.join().unwrap().unwrap(), 0, "the connection ends with a reset");
}
