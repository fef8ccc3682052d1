//! JSON, as far as the store's calls need it.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(text: &[u8]) -> Option<Json> {
    let mut parser = Parser { text, at: 0 };
    let value = parser.value()?;
    parser.space();
    (parser.at == text.len()).then_some(value)
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, token: &str) -> Option<()> {
        self.space();
        let found = self.text[self.at..].starts_with(token.as_bytes());
        if found {
            self.at += token.len();
        }
        found.then_some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.digits(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        let mut fields = BTreeMap::new();
        self.take("{")?;
        if self.take("}").is_some() {
            return Some(Json::Table(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(":")?;
            fields.insert(name, self.value()?);
            if self.take("}").is_some() {
                return Some(Json::Table(fields));
            }
            self.take(",")?;
        }
    }

    fn items(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.take("[")?;
        if self.take("]").is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take("]").is_some() {
                return Some(Json::List(items));
            }
            self.take(",")?;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    bytes.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                other => bytes.push(other),
            }
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let rest = &self.text[self.at..];
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        let length = rest.iter().take_while(|b| is_part(b)).count();
        let number = std::str::from_utf8(&rest[..length]).ok()?.parse().ok()?;
        self.at += length;
        Some(Json::Number(number))
    }
}
