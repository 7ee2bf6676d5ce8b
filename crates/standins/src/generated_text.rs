//! Deterministic outputs, so that anyone can check whether an answer belongs to a request.
//!
//! Each stage's output carries the caller's input as `origin`. Token `i` of an engine is a
//! function of the origin and `i`, so that every engine continues a stream alike.

use serde_json::Value;

use arbutus_coord::rendezvous::stable_hash;

/// The field of a stage's output that carries the caller's input.
pub const ORIGIN: &str = "origin";
/// The field of a caller's input that identifies the request.
pub const MARKER: &str = "marker";
/// The field of a caller's input whose start engines cache.
pub const PROMPT: &str = "prompt";

const PREFIX_CHARS: usize = 48;
const TOKEN_MASK: u64 = 0xf_ffff;
/// Engines generate between three quarters of `max_tokens` and `max_tokens`.
const SPREAD_DIVISOR: u32 = 4;

/// Returns the caller's input from a stage's input.
#[must_use]
pub fn origin(input: &Value) -> &Value {
    input.get(ORIGIN).unwrap_or(input)
}

/// Returns the marker of the request, empty if there is none.
#[must_use]
pub fn marker(input: &Value) -> &str {
    origin(input)
        .get(MARKER)
        .and_then(Value::as_str)
        .unwrap_or("")
}

/// The text that engines generate for one input.
#[derive(Clone, Copy, Debug)]
pub struct GeneratedText {
    seed: u64,
    tokens: u32,
}

impl GeneratedText {
    /// Computes the text for a stage's input.
    #[must_use]
    pub fn new(input: &Value, max_tokens: u32) -> Self {
        let seed = stable_hash(origin(input).to_string().as_bytes());
        let spread = max_tokens / SPREAD_DIVISOR + 1;
        let short = (seed % u64::from(spread)) as u32;
        Self {
            seed,
            tokens: max_tokens - short.min(max_tokens),
        }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.tokens
    }

    /// Returns whether the text has no tokens.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tokens == 0
    }

    /// Returns one token.
    #[must_use]
    pub fn token(&self, offset: u32) -> String {
        let mut bytes = [0; 12];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&offset.to_le_bytes());
        format!("{:05x} ", stable_hash(&bytes) & TOKEN_MASK)
    }

    /// Returns the whole text.
    #[must_use]
    pub fn full_text(&self) -> String {
        (0..self.tokens).map(|offset| self.token(offset)).collect()
    }
}

/// Returns the hash of the start of the prompt.
#[must_use]
pub fn prompt_prefix(input: &Value) -> u64 {
    let origin = origin(input);
    let prompt = origin.get(PROMPT).and_then(Value::as_str);
    let text = prompt.map_or_else(|| origin.to_string(), str::to_owned);
    let prefix: String = text.chars().take(PREFIX_CHARS).collect();
    stable_hash(prefix.as_bytes())
}
