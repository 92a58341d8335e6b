//! Checks of the heads of responses.

use hyper::ext;
use hyper::http::response;

/// What every status line begins with.
const PROTOCOL: &[u8] = b"HTTP/1.";

/// Returns whether the reason or a header of a response holds a status line. Such a head
/// consists of the start of one response and of another one: the peer has broken off the
/// first within a line.
pub fn has_joined_heads(head: &response::Parts) -> bool {
    let reason = head.extensions.get::<ext::ReasonPhrase>();
    let reason = reason.map_or(&[][..], |r| r.as_bytes());
    let values = head.headers.values().map(|v| v.as_bytes());
    values.chain([reason]).any(holds_status_line)
}

/// Returns whether a text holds a status line, as in `text/HTTP/1.1 200 OK`.
fn holds_status_line(text: &[u8]) -> bool {
    let mut starts = text.windows(PROTOCOL.len()).enumerate();
    starts.any(|(start, window)| {
        let rest = &text[start + PROTOCOL.len()..];
        window == PROTOCOL && is_version_and_status(rest)
    })
}

/// Returns whether a text begins with the minor version and the status of a status line.
fn is_version_and_status(text: &[u8]) -> bool {
    let [minor, b' ', status @ ..] = text else {
        return false;
    };
    let digits = status.iter().take_while(|b| b.is_ascii_digit()).count();
    minor.is_ascii_digit() && digits == 3 && matches!(status.get(3), None | Some(b' '))
}
