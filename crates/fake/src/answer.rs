//! Deterministic answers of the fake engines: the text depends only on the prompt.

use xxhash_rust::xxh3;

/// Number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens in a prompt, counted as the fake engines count them.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the number of tokens in the whole answer, at most `max`.
///
/// `[len=N]` in the prompt asks for N tokens, or for 16 if N is not a number. Without
/// it, a hash of the prompt gives a length from 8 to 63.
pub fn answer_tokens(prompt: &str, max: u32) -> u32 {
    let length = match prompt.split_once("[len=") {
        Some((_, rest)) => rest
            .split(']')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(16),
        None => 8 + (xxh3::xxh3_64(prompt.as_bytes()) % 56) as u32,
    };
    length.min(max)
}

/// Returns the token at an offset of the answer, with the space that follows it.
pub(crate) fn answer_token(prompt: &str, offset: u32) -> String {
    let word = xxh3::xxh3_64_with_seed(prompt.as_bytes(), u64::from(offset)) % 10_000;
    format!("w{word} ")
}

/// Returns the text of the whole answer, cut off after `max` tokens.
pub fn answer_text(prompt: &str, max: u32) -> String {
    (0..answer_tokens(prompt, max))
        .map(|offset| answer_token(prompt, offset))
        .collect()
}
