//! Prompts, tokens and response texts of the fake engine.

use serde_json::Value;
use snipeusher::hash;

/// Bytes per token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens per block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;
/// Length of a response in tokens if the request sets no limit.
pub const ANSWER_TOKENS: u64 = 16;

const WORDS: [&str; 16] = [
    "the ", "letter ", "will ", "reach ", "its ", "reader ", "before ", "noon ", "and ", "every ",
    "line ", "keeps ", "a ", "clear ", "tone ", "today ",
];

/// Prompt of a request, with the partial response that the engine continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Text of the conversation.
    pub text: String,
    /// Partial response that the request contains.
    pub partial: String,
}

impl Prompt {
    /// Reads the prompt from the body of a completion or a chat completion.
    pub fn from_body(body: &Value) -> Self {
        if let Some(prompt) = body.get("prompt") {
            let text = prompt
                .as_str()
                .map_or_else(|| prompt.to_string(), String::from);
            let partial = body["continue_text"].as_str().unwrap_or_default();
            return Self {
                text,
                partial: partial.to_owned(),
            };
        }
        let mut messages = body["messages"].as_array().cloned().unwrap_or_default();
        let mut partial = String::new();
        if body["continue_final_message"].as_bool() == Some(true)
            && let Some(last) = messages.pop()
        {
            last["content"]
                .as_str()
                .unwrap_or_default()
                .clone_into(&mut partial);
        }
        let mut text = String::new();
        for message in &messages {
            text.push_str(message["role"].as_str().unwrap_or_default());
            text.push('\n');
            text.push_str(&content(&message["content"]));
            text.push('\n');
        }
        Self { text, partial }
    }

    /// Returns the words of the response that follow the partial one.
    pub fn answer(&self, tokens: u64) -> Vec<&'static str> {
        let start = self.partial.split_inclusive(' ').count() as u64;
        let key = hash::bytes(self.text.as_bytes());
        (start..start.saturating_add(tokens))
            .map(|index| WORDS[(hash::mix(key, index) % WORDS.len() as u64) as usize])
            .collect()
    }

    /// Returns the hashes of the full blocks of prompt and response. Each hash also depends on the
    /// blocks before it.
    pub fn blocks(&self, answer: &str) -> Vec<u64> {
        let mut text = self.text.clone();
        text.push_str("assistant\n");
        text.push_str(&self.partial);
        text.push_str(answer);
        let mut last = 0;
        text.as_bytes()
            .chunks_exact(BLOCK_TOKENS * TOKEN_BYTES)
            .map(|block| {
                last = hash::mix(last, hash::bytes(block));
                last
            })
            .collect()
    }

    /// Length in tokens.
    pub fn tokens(&self) -> u64 {
        (self.text.len() + self.partial.len()).div_ceil(TOKEN_BYTES) as u64
    }
}

fn content(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}
