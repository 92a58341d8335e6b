//! A small JSON reader for the bodies of calls.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; what can't be read is null.
    pub fn parse(bytes: &[u8]) -> Json {
        let text: Vec<char> = String::from_utf8_lossy(bytes).chars().collect();
        let mut at = 0;
        value(&text, &mut at).unwrap_or(Json::Null)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip(text: &[char], at: &mut usize) {
    while text
        .get(*at)
        .is_some_and(|c| c.is_whitespace() || *c == ',' || *c == ':')
    {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(text, at);
                if *text.get(*at)? == '}' {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                let key = string(text, at)?;
                table.insert(key, value(text, at)?);
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(text, at);
                if *text.get(*at)? == ']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(value(text, at)?);
            }
        }
        '"' => string(text, at).map(Json::Text),
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|c| !",]} \n".contains(*c)) {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            Some(match word.as_str() {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => word.parse().map_or(Json::Null, Json::Number),
            })
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = String::new();
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                out.push(match escaped {
                    'n' => '\n',
                    't' => '\t',
                    'r' => '\r',
                    'u' => {
                        let code: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        char::from_u32(u32::from_str_radix(&code, 16).ok()?).unwrap_or('?')
                    }
                    other => other,
                });
            }
            c => out.push(c),
        }
    }
}
