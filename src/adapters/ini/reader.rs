//! Reads sections and keys, and collects each fault with its line.

use std::{collections::HashMap, fmt, str::FromStr};

use ini::Ini;

use crate::domain::ParseError;

/// An error in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// The line number, starting at 1, or 0 if the fault has no line.
    pub line: usize,
    /// The section, and the key if the fault concerns one.
    pub key: String,
    /// The text that was found.
    pub found: String,
    /// A description of what is expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            key,
            found,
            expected,
        } = self;
        write!(
            f,
            "{file}:{line}: {key}: found {found:?}, expected {expected}"
        )
    }
}

/// A parsed file and the faults found in it so far.
pub(super) struct Reader {
    file: String,
    ini: Ini,
    lines: HashMap<(String, String), usize>,
    /// The collected faults.
    pub(super) faults: Vec<Fault>,
}

impl Reader {
    /// Parses the syntax of a file. A syntax error is returned as its only fault.
    pub(super) fn open(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Ok(Self {
                file: file.to_owned(),
                ini,
                lines: index_lines(text),
                faults: find_duplicates(file, text),
            }),
            Err(e) => Err(vec![Fault {
                file: file.to_owned(),
                line: e.line + 1,
                key: "syntax".to_owned(),
                found: text.lines().nth(e.line).unwrap_or_default().to_owned(),
                expected: "[section] or key = value".to_owned(),
            }]),
        }
    }

    /// Returns the names of the sections whose first word is `kind`, in the order
    /// of the text.
    pub(super) fn sections(&self, kind: &str) -> Vec<String> {
        let all = self.ini.sections().flatten();
        let matching = all.filter(|s| s.split(' ').next() == Some(kind));
        matching.map(str::to_owned).collect()
    }

    /// Adds a fault for each section whose kind is not in `known` and for each key
    /// outside a section.
    pub(super) fn check_sections(&mut self, known: &[&str]) {
        let all: Vec<String> = self.ini.sections().flatten().map(str::to_owned).collect();
        let expected = known.join(", ");
        for name in all {
            let kind = name.split(' ').next().unwrap_or_default();
            if !known.contains(&kind) {
                self.add_fault(&name, "", &name, &format!("a section of kind {expected}"));
            }
        }
        let outside: Vec<String> = self
            .ini
            .general_section()
            .iter()
            .map(|(k, _)| k.to_owned())
            .collect();
        for key in outside {
            self.add_fault("", &key, &key, "keys only within a section");
        }
    }

    /// Adds a fault for each key of a section that is not in `known`.
    pub(super) fn check_keys(&mut self, section: &str, known: &[&str]) {
        let Some(found) = self.ini.section(Some(section)) else {
            return;
        };
        let unknown: Vec<String> = found
            .iter()
            .map(|(k, _)| k.to_owned())
            .filter(|k| !known.contains(&k.as_str()))
            .collect();
        for key in unknown {
            self.add_fault(section, &key, &key, &format!("one of {}", known.join(", ")));
        }
    }

    /// Returns the text of a key without surrounding blanks.
    pub(super) fn text(&self, section: &str, key: &str) -> Option<String> {
        let found = self.ini.section(Some(section))?;
        found.get(key).map(|v| v.trim().to_owned())
    }

    /// Returns the value of a key, or `default` if the key is missing or invalid.
    /// Adds a fault if it is invalid.
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

    /// Returns the value of a key. Adds a fault if the key is missing or invalid.
    pub(super) fn required<T: FromStr<Err = ParseError>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Option<T> {
        if let Some(text) = self.text(section, key) {
            return self.parse(section, key, &text);
        }
        self.add_fault(section, key, "", "a value (the key is required)");
        None
    }

    /// Returns the valid items of a comma-separated list. Adds a fault for each
    /// invalid one.
    pub(super) fn list<T: FromStr<Err = ParseError>>(
        &mut self,
        section: &str,
        key: &str,
    ) -> Vec<T> {
        let text = self.text(section, key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|s| !s.is_empty());
        items.filter_map(|s| self.parse(section, key, s)).collect()
    }

    /// Parses a text. Adds a fault if it is invalid.
    pub(super) fn parse<T: FromStr<Err = ParseError>>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.add_fault(section, key, text, e.expected);
                None
            }
        }
    }

    /// Adds a fault. Its line is that of the key, or else that of the section.
    pub(super) fn add_fault(&mut self, section: &str, key: &str, found: &str, expected: &str) {
        let line_of = |k: &str| self.lines.get(&(section.to_owned(), k.to_owned())).copied();
        self.faults.push(Fault {
            file: self.file.clone(),
            line: line_of(key).or_else(|| line_of("")).unwrap_or(0),
            key: format!("[{section}] {key}").trim_end().to_owned(),
            found: found.to_owned(),
            expected: expected.to_owned(),
        });
    }
}

/// Maps each section and key to its line. A section's header has an empty key.
fn index_lines(text: &str) -> HashMap<(String, String), usize> {
    let mut lines = HashMap::new();
    for_each_line(text, |n, section, key| {
        lines
            .entry((section.to_owned(), key.to_owned()))
            .or_insert(n);
    });
    lines
}

/// Returns a fault for each repeated key or section, of which the INI library
/// would silently keep only one.
fn find_duplicates(file: &str, text: &str) -> Vec<Fault> {
    let mut seen = HashMap::new();
    let mut faults = Vec::new();
    for_each_line(text, |n, section, key| {
        let first = *seen
            .entry((section.to_owned(), key.to_owned()))
            .or_insert(n);
        if first != n {
            faults.push(Fault {
                file: file.to_owned(),
                line: n,
                key: format!("[{section}] {key}").trim_end().to_owned(),
                found: if key.is_empty() { section } else { key }.to_owned(),
                expected: format!("only one occurrence; the first one is at line {first}"),
            });
        }
    });
    faults
}

/// Calls `f` with the line number, section and key of each section header, whose
/// key is empty, and of each key.
fn for_each_line(text: &str, mut f: impl FnMut(usize, &str, &str)) {
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
