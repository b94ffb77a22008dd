//! Reading of JSON, as far as the stand-ins need it.

/// JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields.iter().find(|(name, _)| name == key).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn word(bytes: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    let found = bytes[*at..].starts_with(text.as_bytes());
    *at += text.len();
    found.then_some(value)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match *bytes.get(*at)? {
        b'n' => word(bytes, at, "null", Json::Null),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'"' => string(bytes, at).map(Json::Text),
        b'[' => {
            let mut list = Vec::new();
            items(bytes, at, b']', |at| {
                list.push(value(bytes, at)?);
                Some(())
            })?;
            Some(Json::List(list))
        }
        b'{' => {
            let mut fields = Vec::new();
            items(bytes, at, b'}', |at| {
                space(bytes, at);
                let key = string(bytes, at)?;
                space(bytes, at);
                (*bytes.get(*at)? == b':').then_some(())?;
                *at += 1;
                fields.push((key, value(bytes, at)?));
                Some(())
            })?;
            Some(Json::Table(fields))
        }
        _ => {
            let begin = *at;
            while bytes
                .get(*at)
                .is_some_and(|it| it.is_ascii_digit() || b"+-.eE".contains(it))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[begin..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn items(
    bytes: &[u8],
    at: &mut usize,
    end: u8,
    mut item: impl FnMut(&mut usize) -> Option<()>,
) -> Option<()> {
    *at += 1;
    space(bytes, at);
    if *bytes.get(*at)? == end {
        *at += 1;
        return Some(());
    }
    loop {
        item(at)?;
        space(bytes, at);
        let next = *bytes.get(*at)?;
        *at += 1;
        match next {
            b',' => {}
            it if it == end => return Some(()),
            _ => return None,
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    (*bytes.get(*at)? == b'"').then_some(())?;
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b'r' => text.push(b'\r'),
                    b't' => text.push(b'\t'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *at += 4;
                        let symbol = char::from_u32(code).unwrap_or('\u{fffd}');
                        text.extend(symbol.to_string().as_bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
