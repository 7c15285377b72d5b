//! What all stand-ins of the review share: JSON, base64, HTTP/1.1 over blocking sockets, and the record.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case could not run.
pub const NOT_RUN: i32 = 2;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Num(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        Some(value)
    }
}

struct Parser<'t> {
    bytes: &'t [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        if self.bytes.get(self.at) == Some(&byte) {
            self.at += 1;
            return Some(());
        }
        None
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.skip();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Obj(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::Arr(items));
                    }
                }
            }
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| self.at += word.len())?;
        Some(value)
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend(code.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(number) => write!(f, "{number}"),
            Json::Str(text) => {
                write!(
                    f,
                    "\"{}\"",
                    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
                )
            }
            Json::Arr(items) => {
                let items: Vec<String> = items.iter().map(Json::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Json::Obj(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
                write!(f, "{{{}}}", fields.join(","))
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(char::from(BASE64[(word >> (18 - 6 * place)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// The text of a base64 value; characters that are none are left out.
pub fn from_base64(text: &str) -> String {
    let places = text.bytes().filter_map(|byte| BASE64.iter().position(|known| *known == byte));
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for place in places {
        word = word << 6 | place as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Writes what was sent, answered and run to the record of the case.
#[derive(Clone)]
pub struct Record(Option<Arc<Mutex<File>>>, Instant);

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self(Some(Arc::new(Mutex::new(File::create(path)?))), Instant::now()))
    }

    /// A record that drops what is written.
    pub fn quiet(&self) -> Self {
        Self(None, self.1)
    }

    pub fn line(&self, text: &str) {
        let Some(file) = &self.0 else {
            return;
        };
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {text}", self.1.elapsed().as_secs_f64());
    }
}

/// A request or answer: first line, headers by lower-case name, and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came to its end as framed.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or_else(String::new, |(_, value)| decode(value))
    }

    pub fn json(&self) -> Json {
        std::str::from_utf8(&self.body).ok().and_then(Json::parse).unwrap_or(Json::Null)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
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

fn read_line(reader: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof));
    }
    Ok(line.trim_end().to_owned())
}

/// Reads first line and headers.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let mut message = Message { first: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> std::io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok(chunk)
}

/// Reads a body as its head frames it. Sets `whole` if it came to its end.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> std::io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    message.whole = true;
    Ok(())
}

/// Answers one request on its connection. Returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(Message, &mut TcpStream) -> bool + Send + Sync>;

/// Serves HTTP/1.1 on a free loopback port, one thread for each connection.
pub fn serve(handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(mut message) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut message).is_err() {
                        break;
                    }
                    if !handler(message, &mut writer) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    Ok(address)
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// Writes an answer with a length.
pub fn reply(writer: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text =
        format!("HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n", reason(status), body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes).is_ok()
}

pub fn reply_json(writer: &mut TcpStream, status: u16, body: &str) -> bool {
    reply(writer, status, &[("Content-Type", "application/json")], body.as_bytes())
}

/// Sends a request and reads the answer, on an open connection.
pub fn exchange(
    stream: &TcpStream,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
    max_wait: Duration,
) -> std::io::Result<Message> {
    stream.set_read_timeout(Some(max_wait))?;
    let mut writer = stream.try_clone()?;
    let mut text = format!("{first} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || first.starts_with("POST") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    writer.write_all(text.as_bytes())?;
    writer.write_all(body)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut answer = read_head(&mut reader)?;
    // An answer that breaks off is returned with what came of it.
    let _ = read_body(&mut reader, &mut answer);
    Ok(answer)
}

/// How a case is run.
pub struct Setup {
    /// Folder of the repository.
    pub root: String,
    /// Folder for files of this run, removed at its end.
    pub temporary: String,
    /// Whether the disruption happens.
    pub trouble: bool,
    pub record: Record,
}

/// What a case found: `None` if the rule held, else how it was broken.
pub type Finding = Result<Option<String>, String>;
