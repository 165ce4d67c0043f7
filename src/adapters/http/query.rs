//! Parses and formats query strings.

use std::{fmt, str::FromStr};

use crate::domain::ParseError;

/// The name-value pairs of a query string, with percent-encoding and `+` decoded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Query {
    pairs: Vec<(String, String)>,
}

const QUERY_FORMAT: &str =
    "NAME=VALUE pairs separated by '&', each name once, percent-encoded UTF-8";

impl FromStr for Query {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let err = || ParseError::new("query", s, QUERY_FORMAT);
        let mut pairs: Vec<(String, String)> = Vec::new();
        for pair in s.split('&').filter(|p| !p.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let name = percent_decode(name).ok_or_else(err)?;
            // A repeated name is ambiguous, as in `dry-run=1&dry-run=0`.
            if name.is_empty() || pairs.iter().any(|(n, _)| *n == name) {
                return Err(err());
            }
            pairs.push((name, percent_decode(value).ok_or_else(err)?));
        }
        Ok(Self { pairs })
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (name, value)) in self.pairs.iter().enumerate() {
            let separator = if n == 0 { "" } else { "&" };
            write!(
                f,
                "{separator}{}={}",
                percent_encode(name),
                percent_encode(value)
            )?;
        }
        Ok(())
    }
}

impl Query {
    /// Appends a pair.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Self {
        self.pairs.push((name.to_owned(), value.to_string()));
        self
    }

    /// Returns the decoded value of a name.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let mut pairs = self.pairs.iter();
        pairs.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Parses the value of a name. Returns none if the name is missing.
    ///
    /// # Errors
    ///
    /// Returns an error that names the allowed values if the value does not parse.
    pub fn value<T: FromStr<Err = ParseError>>(&self, name: &str) -> Result<Option<T>, ParseError> {
        self.text(name).map(str::parse).transpose()
    }

    /// Reports whether a flag is set: to `1`, to `true` or without a value.
    ///
    /// # Errors
    ///
    /// Returns an error for any value but `1`, `true`, `0` and `false`. If an
    /// unknown value counted as false, a mistyped `dry-run` would change traffic.
    pub fn flag(&self, name: &str) -> Result<bool, ParseError> {
        match self.text(name) {
            Some("" | "1" | "true") => Ok(true),
            None | Some("0" | "false") => Ok(false),
            Some(text) => Err(ParseError::new("flag", text, "1, true, 0 or false")),
        }
    }
}

fn percent_decode(s: &str) -> Option<String> {
    let mut out = Vec::with_capacity(s.len());
    let mut bytes = s.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'+' => out.push(b' '),
            b'%' => out.push(hex_digit(bytes.next()?)? * 16 + hex_digit(bytes.next()?)?),
            _ => out.push(b),
        }
    }
    String::from_utf8(out).ok()
}

fn hex_digit(b: u8) -> Option<u8> {
    let value = char::from(b).to_digit(16)?;
    u8::try_from(value).ok()
}

fn percent_encode(s: &str) -> String {
    let is_unescaped = |b: u8| b.is_ascii_alphanumeric() || b"-._~:/@".contains(&b);
    let encode_byte = |b: u8| {
        if is_unescaped(b) {
            char::from(b).to_string()
        } else {
            format!("%{b:02X}")
        }
    };
    s.bytes().map(encode_byte).collect()
}
