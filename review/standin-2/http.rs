//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head of a request or a response, with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line: that of a request or of a status.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name));
        found.map(|h| h.1.as_str())
    }

    fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.word(0)
    }

    /// Path with its query.
    pub fn target(&self) -> &str {
        self.word(1)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name).map(|pair| decode(pair.1))
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Length of the body that the head announces.
    pub fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|l| l.parse().ok()).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or_default());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Reads some bytes; false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.ahead.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a message; `None` if the connection ends before it begins.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    /// Reads the head of a message; `None` if the connection ends before it begins.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                let is_clean = self.ahead.is_empty();
                let cut = Err(io::ErrorKind::UnexpectedEof.into());
                return if is_clean { Ok(None) } else { cut };
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.to_owned(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
        Ok(Some(message))
    }

    /// Reads the body that follows a head.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let length = message.length();
        while self.ahead.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.ahead.drain(..length).collect();
        Ok(())
    }

    /// Writes a response with this body.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
