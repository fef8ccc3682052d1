//! HTTP/1.1 as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A message: a request, or a response without the status line's reason.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target of a request; version and status of a response.
    pub first: String,
    pub second: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|f| f.0.eq_ignore_ascii_case(name));
        found.map(|f| &*f.1)
    }

    pub fn path(&self) -> &str {
        self.second.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, with percent-encoding removed.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.second.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|pair| pair.0 == name);
        found.next().map(|pair| decode(pair.1))
    }

    pub fn status(&self) -> u16 {
        self.second.parse().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let digits = tail.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|d| std::str::from_utf8(d).ok());
        match digits.and_then(|d| u8::from_str_radix(d, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads a head; `None` at the end of the stream.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut message = Message {
        first: words.next().unwrap_or_default().to_owned(),
        second: words.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some(message));
        };
        let field = (name.to_owned(), value.trim().to_owned());
        message.fields.push(field);
    }
}

/// Reads a whole message whose body has a length.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.field("content-length").unwrap_or("0");
    let length: usize = length.parse().unwrap_or_default();
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}
