//! The headers of a message, in two allocations however many there are.

/// The headers of a message in the order received, as names and raw values. Names are compared without case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    /// Names and values, one after the other.
    text: Vec<u8>,
    fields: Vec<Field>,
}

/// Where a header lies in the text. A head is short enough for these numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Field {
    start: u16,
    name_length: u16,
    value_length: u16,
}

impl Headers {
    pub(crate) fn from_parsed(parsed: &[httparse::Header]) -> Self {
        let text_length = parsed.iter().map(|header| header.name.len() + header.value.len()).sum();
        let mut headers =
            Headers { text: Vec::with_capacity(text_length), fields: Vec::with_capacity(parsed.len()) };
        for header in parsed {
            headers.fields.push(Field {
                start: headers.text.len() as u16,
                name_length: header.name.len() as u16,
                value_length: header.value.len() as u16,
            });
            headers.text.extend_from_slice(header.name.as_bytes());
            headers.text.extend_from_slice(header.value);
        }
        headers
    }

    /// Memory that the headers hold, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.text.capacity() + self.fields.capacity() * size_of::<Field>()
    }

    /// All headers as name and raw value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|field| {
            let text = &self.text[usize::from(field.start)..];
            let (name, rest) = text.split_at(usize::from(field.name_length));
            // The parser takes names of ASCII letters, digits and signs only.
            (std::str::from_utf8(name).unwrap_or(""), &rest[..usize::from(field.value_length)])
        })
    }

    /// The raw values of all headers with this name.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let has_name = move |(field_name, _): &(&str, &[u8])| field_name.eq_ignore_ascii_case(name);
        self.iter().filter(has_name).map(|(_, value)| value)
    }

    /// The trimmed value of a header that occurs exactly once. `None` if it is repeated, because its value is ambiguous
    /// then, or if it is not UTF-8.
    pub fn single<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let mut values = self.values(name);
        let value = values.next().filter(|_| values.next().is_none())?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether a header that is a comma-separated list contains this token, without regard to case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}
