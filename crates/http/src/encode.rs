//! Encoding of the responses that are sent to clients.

/// The reason phrase of the status codes in use. Other codes have an empty phrase, which the RFC allows.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "",
    }
}

/// The head of a response with these headers and a Content-Length; with `Connection: close` if `close` is set.
pub fn encode_response_head(
    status: u16, headers: &[(&str, &str)], body_length: usize, close: bool,
) -> Vec<u8> {
    let mut encoded = Vec::with_capacity(128);
    encoded.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    for (name, value) in headers {
        encoded.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if close {
        encoded.extend_from_slice(b"Connection: close\r\n");
    }
    encoded.extend_from_slice(format!("Content-Length: {body_length}\r\n\r\n").as_bytes());
    encoded
}

/// A complete response, as [`encode_response_head`] with its body.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8], close: bool) -> Vec<u8> {
    let mut encoded = encode_response_head(status, headers, body.len(), close);
    encoded.extend_from_slice(body);
    encoded
}

/// An error response whose body is one line of text, with `Connection: close`.
pub fn encode_error_response(status: u16, reason: &str) -> Vec<u8> {
    encode_response(status, &[("Content-Type", "text/plain")], format!("{reason}\n").as_bytes(), true)
}
