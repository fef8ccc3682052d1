//! Minimal JSON reader for the store's calls.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut reader = Reader { bytes, at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.iter().find(|f| f.0 == name).map(|f| &f.1),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            items.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Json::List(items))
    }

    /// Reads a string; the project writes no escapes but those of quotes and backslashes.
    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    text.push(*self.bytes.get(self.at)?);
                }
                byte => text.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(text).ok()
    }

    fn word(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| !b",]}".contains(b) && !b.is_ascii_whitespace())
        {
            self.at += 1;
        }
        let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        match word {
            "null" => Some(Json::Null),
            "true" => Some(Json::Bool(true)),
            "false" => Some(Json::Bool(false)),
            _ => word.parse().ok().map(Json::Number),
        }
    }
}

/// Writes a string as JSON.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .chain(&[0, 0])
            .take(3)
            .fold(0u32, |sum, b| sum << 8 | u32::from(*b));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = group >> (18 - 6 * digit) & 63;
                text.push(DIGITS[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
