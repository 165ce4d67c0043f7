//! Changes of single keys that leave the rest of a text as it is.
//!
//! A parsed document could be printed again, but that would lose the comments
//! and the order that a team has given its file.

/// Sets a key of a section, or removes it if there is no value.
///
/// The text must have passed the checks, so that the section exists and the key
/// is there once at the most. Otherwise the text is returned as it is.
#[must_use]
pub fn set_key(text: &str, section: &str, key: &str, value: Option<&str>) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let header = |l: &String| {
        let name = l.trim().strip_prefix('[').and_then(|l| l.strip_suffix(']'));
        name.map(|n| n.trim().to_owned())
    };
    let Some(start) = lines
        .iter()
        .position(|l| header(l).as_deref() == Some(section))
    else {
        return text.to_owned();
    };
    let end = lines
        .iter()
        .skip(start + 1)
        .position(|l| header(l).is_some());
    let end = end.map_or(lines.len(), |n| start + 1 + n);
    let holds = |l: &String| {
        let found = l.split_once('=').map(|(k, _)| k.trim());
        found == Some(key) && !l.trim_start().starts_with([';', '#'])
    };
    let line = (start + 1..end).find(|n| holds(&lines[*n]));
    match (line, value) {
        (Some(n), Some(value)) => lines[n] = format!("{key} = {value}"),
        (Some(n), None) => {
            lines.remove(n);
        }
        (None, Some(value)) => lines.insert(start + 1, format!("{key} = {value}")),
        (None, None) => return text.to_owned(),
    }
    let mut out = lines.join("\n");
    out.push('\n');
    out
}
