//! Changes a single key of an INI text and leaves the rest as it is.
//!
//! Printing the parsed document would lose the comments of the file and the order
//! of its sections and keys.

/// Sets a key of a section, or removes it if `value` is none.
///
/// The text must be valid, so that the section contains the key at most once. If
/// the section does not exist, the text is returned unchanged.
#[must_use]
pub fn set_key(text: &str, section: &str, key: &str, value: Option<&str>) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let section_name = |l: &String| {
        let name = l.trim().strip_prefix('[').and_then(|l| l.strip_suffix(']'));
        name.map(|n| n.trim().to_owned())
    };
    let Some(start) = lines
        .iter()
        .position(|l| section_name(l).as_deref() == Some(section))
    else {
        return text.to_owned();
    };
    let end = lines
        .iter()
        .skip(start + 1)
        .position(|l| section_name(l).is_some());
    let end = end.map_or(lines.len(), |n| start + 1 + n);
    let sets_key = |l: &String| {
        let found = l.split_once('=').map(|(k, _)| k.trim());
        found == Some(key) && !l.trim_start().starts_with([';', '#'])
    };
    let line = (start + 1..end).find(|n| sets_key(&lines[*n]));
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
