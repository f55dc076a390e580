//! A small JSON reader and writer, since the stand-ins use the standard library only.

use std::fmt::{self, Write};

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(known, _)| known == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn int(&self) -> Option<i64> {
        match self {
            Json::Int(number) => Some(*number),
            Json::Float(number) => Some(*number as i64),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(flag) => write!(f, "{flag}"),
            Json::Int(number) => write!(f, "{number}"),
            Json::Float(number) => write!(f, "{number}"),
            Json::Text(text) => quote(f, text),
            Json::List(items) => {
                f.write_char('[')?;
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        f.write_char(',')?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_char(']')
            }
            Json::Object(fields) => {
                f.write_char('{')?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        f.write_char(',')?;
                    }
                    quote(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn quote(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for letter in text.chars() {
        match letter {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            letter if (letter as u32) < 0x20 => write!(f, "\\u{:04x}", letter as u32)?,
            letter => f.write_char(letter)?,
        }
    }
    f.write_char('"')
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, wanted: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&wanted)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_here = self.bytes[self.at..].starts_with(word.as_bytes());
        is_here.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(),
            b'{' => self.fields(),
            _ => self.number(),
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn fields(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            fields.push((name, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Object(fields));
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
        match text.parse() {
            Ok(number) => Some(Json::Int(number)),
            Err(_) => text.parse().ok().map(Json::Float),
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let letter = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            char::from_u32(code)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend(letter.to_string().bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}

/// Builds an object.
pub fn object(fields: &[(&str, Json)]) -> Json {
    let fields = fields.iter();
    Json::Object(
        fields
            .map(|(name, value)| ((*name).to_owned(), value.clone()))
            .collect(),
    )
}

/// Builds a text.
pub fn text(text: impl Into<String>) -> Json {
    Json::Text(text.into())
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

/// Decodes standard base64; other letters are passed over.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for letter in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|known| *known == letter) else {
            continue;
        };
        bits = (bits << 6 | digit as u32) & 0xff_ffff;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 0xff) as u8);
        }
    }
    bytes
}
