//! Deterministic outputs of stand-in targets, from which a client can tell whether a response
//! belongs to its request.
//!
//! The output of each stage repeats the client's input in the field `origin`. Token `i` of an
//! engine is a function of that input and `i`, so every engine continues a stream with the same
//! tokens.

use serde_json::Value;

use arbutus_coord::rendezvous::stable_hash;

/// Field of a stage's output that repeats the client's input.
pub const ORIGIN: &str = "origin";
/// Field of the client's input that identifies the request.
pub const MARKER: &str = "marker";
/// Field of the client's input whose first characters are the prompt prefix that engines cache.
pub const PROMPT: &str = "prompt";

/// Number of characters of a prompt that engines cache as its prefix.
const PROMPT_PREFIX_CHARS: usize = 48;
/// Tokens are numbers of 20 bits, written as 5 hexadecimal digits.
const TOKEN_MASK: u64 = 0xf_ffff;
/// The length of a text varies by input between `max_tokens` and three quarters of it.
const LENGTH_SPREAD_DIVISOR: u32 = 4;

/// Returns the client's input, given the input of a stage.
#[must_use]
pub fn origin(input: &Value) -> &Value {
    input.get(ORIGIN).unwrap_or(input)
}

/// Returns the marker in the client's input, empty if there is none.
#[must_use]
pub fn marker(input: &Value) -> &str {
    origin(input)
        .get(MARKER)
        .and_then(Value::as_str)
        .unwrap_or("")
}

/// The text that every engine generates for one input.
#[derive(Clone, Copy, Debug)]
pub struct GeneratedText {
    seed: u64,
    token_count: u32,
}

impl GeneratedText {
    /// Determines the text for the input of a stage; it has at most `max_tokens` tokens.
    #[must_use]
    pub fn new(input: &Value, max_tokens: u32) -> Self {
        let seed = stable_hash(origin(input).to_string().as_bytes());
        let spread = max_tokens / LENGTH_SPREAD_DIVISOR + 1;
        let shortening = (seed % u64::from(spread)) as u32;
        Self {
            seed,
            token_count: max_tokens - shortening.min(max_tokens),
        }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.token_count
    }

    /// Returns whether the text has no tokens.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.token_count == 0
    }

    /// Returns the token at an offset; it ends with a space.
    #[must_use]
    pub fn token(&self, offset: u32) -> String {
        let mut bytes = [0; 12];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&offset.to_le_bytes());
        format!("{:05x} ", stable_hash(&bytes) & TOKEN_MASK)
    }

    /// Returns all tokens in order.
    #[must_use]
    pub fn full_text(&self) -> String {
        (0..self.token_count)
            .map(|offset| self.token(offset))
            .collect()
    }
}

/// Returns a hash of the first characters of the prompt, or of the client's input if it has no
/// prompt.
#[must_use]
pub fn prompt_prefix_hash(input: &Value) -> u64 {
    let origin = origin(input);
    let prompt = origin.get(PROMPT).and_then(Value::as_str);
    let text = prompt.map_or_else(|| origin.to_string(), str::to_owned);
    let prefix: String = text.chars().take(PROMPT_PREFIX_CHARS).collect();
    stable_hash(prefix.as_bytes())
}
