//! A small JSON reader. Objects keep the text of each value, so that the store can return it unchanged.

/// Returns the raw text of the value of `key` in the object `text`.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_blanks(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_blanks(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let name_end = skip_value(bytes, at);
        let name = &text[at + 1..name_end - 1];
        at = skip_blanks(bytes, name_end) + 1;
        at = skip_blanks(bytes, at);
        let end = skip_value(bytes, at);
        if name == key {
            return Some(&text[at..end]);
        }
        at = skip_blanks(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at = skip_blanks(bytes, at + 1);
    }
    None
}

/// Returns the text of a string value without escapes.
pub fn string<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    field(text, key)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a value that is a whole number.
pub fn number(text: &str, key: &str) -> Option<u64> {
    field(text, key)?.parse().ok()
}

fn skip_blanks(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the index after the value that begins at `at`.
fn skip_value(bytes: &[u8], at: usize) -> usize {
    let mut depth = 0;
    let mut at = at;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 0 {
                    return at + 1;
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                if depth == 0 {
                    return at;
                }
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
