//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole by its framing.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new() -> Self {
        Self { buffer: Vec::new() }
    }

    /// Reads more bytes; returns false at the end of the connection.
    fn fill(&mut self, stream: &mut TcpStream) -> std::io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let count = stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn take_line(&mut self, stream: &mut TcpStream) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill(stream).ok()? {
                return None;
            }
        }
    }

    fn take(&mut self, stream: &mut TcpStream, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill(stream).ok()? {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads a message, or returns `None` if not even its head comes.
    pub fn read(&mut self, stream: &mut TcpStream, is_answer: bool) -> Option<Message> {
        let mut message = Message {
            start: self.take_line(stream)?,
            ..Message::default()
        };
        loop {
            let line = self.take_line(stream)?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
        message.is_whole = self.read_body(stream, &mut message, is_answer);
        Some(message)
    }

    fn read_body(
        &mut self,
        stream: &mut TcpStream,
        message: &mut Message,
        is_answer: bool,
    ) -> bool {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            return self.read_chunks(stream, message).is_some();
        }
        if let Some(length) = message.header("content-length") {
            let Ok(length) = length.parse::<usize>() else {
                return false;
            };
            return match self.take(stream, length) {
                Some(body) => {
                    message.body = body;
                    true
                }
                None => {
                    message.body = std::mem::take(&mut self.buffer);
                    false
                }
            };
        }
        if !is_answer || matches!(message.status(), 204 | 304) {
            return true;
        }
        // The body ends with the connection.
        loop {
            match self.fill(stream) {
                Ok(true) => {}
                Ok(false) => {
                    message.body = std::mem::take(&mut self.buffer);
                    return true;
                }
                Err(_) => {
                    message.body = std::mem::take(&mut self.buffer);
                    return false;
                }
            }
        }
    }

    fn read_chunks(&mut self, stream: &mut TcpStream, message: &mut Message) -> Option<()> {
        loop {
            let line = self.take_line(stream)?;
            let digits = line.split(';').next().unwrap_or_default().trim();
            let length = usize::from_str_radix(digits, 16).ok()?;
            if length == 0 {
                while !self.take_line(stream)?.is_empty() {}
                return Some(());
            }
            message.body.extend(self.take(stream, length)?);
            self.take(stream, 2)?;
        }
    }
}

/// Sends one request on a new connection. Returns `None` if no head of an answer comes in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let begun = Instant::now();
    let mut stream =
        TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = limit
        .saturating_sub(begun.elapsed())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_write_timeout(Some(left)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    ));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    Reader::new().read(&mut stream, true)
}
