//! Splits and classifies the text of SQL statements.

/// The statements of a script. A semicolon within single quotes is not a separator.
pub(super) fn statements(text: &str) -> Vec<&str> {
    let mut quoted = false;
    let parts = text.split(|it: char| {
        quoted ^= it == '\'';
        it == ';' && !quoted
    });
    parts.map(str::trim).filter(|it| !it.is_empty()).collect()
}

/// The statement's word at `index`, in upper case; leading comments are skipped.
pub(super) fn word(sql: &str, index: usize) -> String {
    let mut text = sql.trim_start();
    while let Some(rest) = text.strip_prefix("/*") {
        text = rest.split_once("*/").map_or("", |(_, tail)| tail).trim_start();
    }
    let found = text.split(|it: char| !it.is_ascii_alphanumeric() && it != '_').nth(index);
    found.unwrap_or("").to_ascii_uppercase()
}

/// The command tag of a statement that only changes session state, which the member doesn't keep.
pub(super) fn settings_tag(sql: &str) -> Option<String> {
    match word(sql, 0).as_str() {
        "SET" => Some("SET".to_owned()),
        "DISCARD" => Some("DISCARD ALL".to_owned()),
        "DEALLOCATE" => Some("DEALLOCATE".to_owned()),
        _ => None,
    }
}
