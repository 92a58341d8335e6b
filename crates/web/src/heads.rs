//! Finds heads of responses where there should be none.

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

/// Length of a status line up to its status.
const STATUS_LINE_BYTES: usize = PROTOCOL.len() + 5;

/// Looks for a status line in a body that is read in pieces.
#[derive(Debug, Default)]
pub(crate) struct StatusLineScan {
    is_found: bool,
    /// The end of the body so far, in which a status line may begin.
    tail: Vec<u8>,
}

impl StatusLineScan {
    /// Adds bytes of the body.
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        if self.is_found {
            return;
        }
        let joint = bytes.len().min(STATUS_LINE_BYTES);
        self.tail.extend_from_slice(&bytes[..joint]);
        self.is_found = holds_status_line(&self.tail) || holds_status_line(bytes);
        self.tail.extend_from_slice(&bytes[joint..]);
        let surplus = self.tail.len().saturating_sub(STATUS_LINE_BYTES);
        self.tail.drain(..surplus);
    }

    /// Returns whether the body holds a status line, or ends within one.
    pub(crate) fn is_found(&self) -> bool {
        self.is_found
            || (0..self.tail.len()).any(|start| may_become_status_line(&self.tail[start..]))
    }
}

/// Returns whether a text is the beginning of a status line.
fn may_become_status_line(text: &[u8]) -> bool {
    text.iter()
        .enumerate()
        .all(|(index, byte)| match index.checked_sub(PROTOCOL.len()) {
            None => *byte == PROTOCOL[index],
            Some(1) => *byte == b' ',
            Some(0 | 2..=4) => byte.is_ascii_digit(),
            Some(_) => false,
        })
}
