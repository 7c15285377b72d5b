//! HTTP/1.1 over blocking sockets: heads and bodies of requests, and heads of answers.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::net::TcpStream;

pub struct Head {
    /// First line, without its line end.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }
}

pub fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    Ok(line.trim_end().to_owned())
}

pub fn read_head(reader: &mut impl BufRead) -> Result<Head> {
    let line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let field = read_line(reader)?;
        if field.is_empty() {
            return Ok(Head { line, headers });
        }
        let (name, value) = field.split_once(':').unwrap_or((&field, ""));
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body of a request, with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    let length = head.header("content-length").and_then(|length| length.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads one chunk; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> Result<Option<Vec<u8>>> {
    let size = read_line(reader)?;
    let size = size.split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16);
    let size = size.map_err(|_| Error::from(ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// A request that was read, and the connection to answer it on.
pub struct Call<'c> {
    pub method: &'c str,
    pub path: &'c str,
    pub head: &'c Head,
    pub body: &'c [u8],
    pub stream: &'c mut TcpStream,
}

/// Serves the requests of one connection until `answer` returns false or the caller closes it.
pub fn serve(stream: TcpStream, mut answer: impl FnMut(Call<'_>) -> Result<bool>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(head) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &head) else {
            return;
        };
        let (method, path) = (head.word(0), head.word(1));
        let call = Call { method, path, head: &head, body: &body, stream: &mut writer };
        if !answer(call).unwrap_or(false) {
            return;
        }
    }
}
