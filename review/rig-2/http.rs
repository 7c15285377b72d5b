//! A blocking HTTP/1.1 server and client on loopback.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// A request as a stand-in received it.
#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        unescape(value.unwrap_or(""))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn find<'h>(headers: &'h [(String, String)], name: &str) -> &'h str {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

/// What a handler did with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
}

pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> Next + Send + Sync>;

/// Serves requests on a free loopback port, one thread for each connection.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(read_half);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        if handler(&request, &mut writer) == Next::Close {
            break;
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.last() != Some(&b'\n') {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (_method, target) = (words.next()?, words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let length: usize = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { path: path.to_owned(), query: query.to_owned(), headers, body })
}

/// Writes a complete answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> Next {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    match stream.write_all(&bytes) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing says that the body is whole.
    pub complete: bool,
    pub took_ms: u64,
    pub problem: String,
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    wait: Duration,
) -> Reply {
    let started = Instant::now();
    let mut reply = Reply::default();
    if let Err(error) = exchange(address, method, path, headers, body, wait, &mut reply) {
        reply.problem = error.to_string();
    }
    reply.took_ms = started.elapsed().as_millis() as u64;
    reply
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    wait: Duration,
    reply: &mut Reply,
) -> std::io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    (&stream).write_all(text.as_bytes())?;
    (&stream).write_all(body)?;
    let mut reader = BufReader::new(stream);
    let ended = || std::io::Error::other("the connection ended");
    let line = read_line(&mut reader).ok_or_else(ended)?;
    reply.status = line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    reply.headers = read_headers(&mut reader).ok_or_else(ended)?;
    if find(&reply.headers, "transfer-encoding").contains("chunked") {
        loop {
            let line = read_line(&mut reader).ok_or_else(ended)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| std::io::Error::other("a chunk without a size"))?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            reply.body.extend_from_slice(&part[..size]);
            if size == 0 {
                reply.complete = true;
                return Ok(());
            }
        }
    }
    match find(&reply.headers, "content-length").parse::<usize>() {
        Ok(length) => {
            reply.body = vec![0; length];
            reader.read_exact(&mut reply.body)?;
        }
        Err(_) => {
            reader.read_to_end(&mut reply.body)?;
        }
    }
    reply.complete = true;
    Ok(())
}
