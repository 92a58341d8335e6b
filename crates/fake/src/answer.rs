//! What a model would say: a text that depends on nothing but the prompt.

use xxhash_rust::xxh3;

const TOKEN_BYTES: usize = 4;

/// Counts a prompt's tokens as the engines do.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}

/// Tokens of the whole answer: `[len=N]` in the prompt sets it.
pub fn answer_tokens(prompt: &str, max: u32) -> u32 {
    let natural = match prompt.split_once("[len=") {
        Some((_, rest)) => rest
            .split(']')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(16),
        None => 8 + (xxh3::xxh3_64(prompt.as_bytes()) % 56) as u32,
    };
    natural.min(max)
}

/// One token of the answer.
pub(crate) fn answer_token(prompt: &str, offset: u32) -> String {
    let word = xxh3::xxh3_64_with_seed(prompt.as_bytes(), u64::from(offset)) % 10_000;
    format!("w{word} ")
}

/// The whole answer.
pub fn answer_text(prompt: &str, max: u32) -> String {
    (0..answer_tokens(prompt, max))
        .map(|offset| answer_token(prompt, offset))
        .collect()
}
