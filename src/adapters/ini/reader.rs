//! Reads sections and keys, and notes each fault with its place.

use std::{collections::HashMap, fmt, str::FromStr};

use ini::Ini;

use crate::domain::ParseError;

/// One fault of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// The line, counted from 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// The section and key.
    pub key: String,
    /// The text that was found.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            key,
            found,
            allowed,
        } = self;
        write!(
            f,
            "{file}:{line}: {key}: found {found:?}, allowed is {allowed}"
        )
    }
}

/// A file under check.
pub(super) struct Reader {
    file: String,
    ini: Ini,
    lines: HashMap<(String, String), usize>,
    /// The faults so far.
    pub(super) faults: Vec<Fault>,
}

impl Reader {
    /// Reads the syntax. A file whose syntax is wrong has that one fault.
    pub(super) fn open(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Ok(Self {
                file: file.to_owned(),
                ini,
                lines: index(text),
                faults: duplicates(file, text),
            }),
            Err(e) => Err(vec![Fault {
                file: file.to_owned(),
                line: e.line + 1,
                key: "syntax".to_owned(),
                found: text.lines().nth(e.line).unwrap_or_default().to_owned(),
                allowed: "[section] or key = value".to_owned(),
            }]),
        }
    }

    /// Returns the names of sections that are `kind` or begin with `kind` and a
    /// blank, in the order of the text.
    pub(super) fn sections(&self, kind: &str) -> Vec<String> {
        let all = self.ini.sections().flatten();
        let fits = all.filter(|s| s.split(' ').next() == Some(kind));
        fits.map(str::to_owned).collect()
    }

    /// Notes sections whose kind is not in `known`, and keys outside sections.
    pub(super) fn kinds(&mut self, known: &[&str]) {
        let all: Vec<String> = self.ini.sections().flatten().map(str::to_owned).collect();
        let allowed = known.join(", ");
        for name in all {
            let kind = name.split(' ').next().unwrap_or_default();
            if !known.contains(&kind) {
                self.fault(&name, "", &name, &format!("a section of kind {allowed}"));
            }
        }
        let loose: Vec<String> = self
            .ini
            .general_section()
            .iter()
            .map(|(k, _)| k.to_owned())
            .collect();
        for key in loose {
            self.fault("", &key, &key, "keys only below a section");
        }
    }

    /// Notes keys of a section that are not in `known`.
    pub(super) fn keys(&mut self, section: &str, known: &[&str]) {
        let Some(found) = self.ini.section(Some(section)) else {
            return;
        };
        let extra: Vec<String> = found
            .iter()
            .map(|(k, _)| k.to_owned())
            .filter(|k| !known.contains(&k.as_str()))
            .collect();
        for key in extra {
            self.fault(section, &key, &key, &format!("one of {}", known.join(", ")));
        }
    }

    /// Returns a key's text.
    pub(super) fn text(&self, section: &str, key: &str) -> Option<String> {
        let found = self.ini.section(Some(section))?;
        found.get(key).map(|v| v.trim().to_owned())
    }

    /// Returns a key's value, or the default where the key is missing or faulty.
    pub(super) fn value<T: FromStr<Err = ParseError>>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
    ) -> T {
        match self.text(section, key) {
            Some(text) => self.parse(section, key, &text).unwrap_or(default),
            None => default,
        }
    }

    /// Returns a key's value, and notes a fault if the key is missing.
    pub(super) fn needed<T: FromStr<Err = ParseError>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<T> {
        if let Some(text) = self.text(section, key) {
            return self.parse(section, key, &text);
        }
        self.fault(section, key, "", "a value (the key is needed)");
        None
    }

    /// Returns the values of a list that is separated by commas.
    pub(super) fn list<T: FromStr<Err = ParseError>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Vec<T> {
        let text = self.text(section, key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|s| !s.is_empty());
        items.filter_map(|s| self.parse(section, key, s)).collect()
    }

    /// Parses one text and notes a fault if it is wrong.
    pub(super) fn parse<T: FromStr<Err = ParseError>>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(section, key, text, e.allowed);
                None
            }
        }
    }

    /// Notes a fault.
    pub(super) fn fault(&mut self, section: &str, key: &str, found: &str, allowed: &str) {
        let at = |k: &str| self.lines.get(&(section.to_owned(), k.to_owned())).copied();
        self.faults.push(Fault {
            file: self.file.clone(),
            line: at(key).or_else(|| at("")).unwrap_or(0),
            key: format!("[{section}] {key}").trim_end().to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    }
}

/// Maps (section, key) to the line; the section's own line has an empty key.
fn index(text: &str) -> HashMap<(String, String), usize> {
    let mut lines = HashMap::new();
    each_line(text, |n, section, key| {
        lines
            .entry((section.to_owned(), key.to_owned()))
            .or_insert(n);
    });
    lines
}

/// Notes keys and sections that appear twice, since the INI library would keep
/// only one of them without a word.
fn duplicates(file: &str, text: &str) -> Vec<Fault> {
    let mut seen = HashMap::new();
    let mut faults = Vec::new();
    each_line(text, |n, section, key| {
        let first = *seen
            .entry((section.to_owned(), key.to_owned()))
            .or_insert(n);
        if first != n {
            faults.push(Fault {
                file: file.to_owned(),
                line: n,
                key: format!("[{section}] {key}").trim_end().to_owned(),
                found: if key.is_empty() { section } else { key }.to_owned(),
                allowed: format!("it once; it stands at line {first} too"),
            });
        }
    });
    faults
}

fn each_line(text: &str, mut f: impl FnMut(usize, &str, &str)) {
    let mut section = String::new();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            name.trim().clone_into(&mut section);
            f(i + 1, &section, "");
        } else if let Some((key, _)) = line.split_once('=')
            && !line.starts_with([';', '#'])
        {
            f(i + 1, &section, key.trim());
        }
    }
}
