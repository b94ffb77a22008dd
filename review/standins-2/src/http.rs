//! A small HTTP/1.1 client and server on blocking sockets, enough for the stand-ins.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1).unwrap_or_default();
        word.parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads one message; `None` at a clean end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head is cut"));
        }
        let field = line.trim_end();
        if field.is_empty() {
            break;
        }
        let (name, value) = field.split_once(':').ok_or_else(|| broken("no colon"))?;
        let value = value.trim().to_owned();
        message.headers.push((name.to_ascii_lowercase(), value));
    }
    let is_chunked = message.header("transfer-encoding").is_some();
    let length: usize = match message.header("content-length") {
        Some(value) => value.parse().map_err(|_| broken("bad length"))?,
        None => 0,
    };
    if is_chunked {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("bad chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends one request on a new connection and returns the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    ));
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| broken("no answer"))
}
