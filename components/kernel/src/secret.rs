//! Secrets shared by processes and operators.

use std::fmt;

use subtle::ConstantTimeEq;

/// The shortest secret accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// The reason why a list of secrets is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The list contains no secret.
    #[error("the secret file holds no secret; write at least one line of {MIN_SECRET_BYTES} bytes")]
    None,
    /// A secret is too short. The error gives its line number, never its text.
    #[error("the secret on line {0} is shorter than {MIN_SECRET_BYTES} bytes")]
    TooShort(usize),
}

/// The secrets in use; the first one is sent.
///
/// While a secret is being replaced, two are listed: every process accepts both
/// and sends the first. Secrets are never logged.
#[derive(Clone)]
pub struct Secrets(Vec<String>);

impl Secrets {
    /// Parses one secret per line and skips empty lines.
    ///
    /// # Errors
    ///
    /// Returns a [`SecretError`] if there is no secret or one is too short.
    pub fn parse(text: &str) -> Result<Self, SecretError> {
        let mut secrets = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let secret = line.trim();
            if secret.is_empty() {
                continue;
            }
            if secret.len() < MIN_SECRET_BYTES {
                return Err(SecretError::TooShort(number + 1));
            }
            secrets.push(secret.to_owned());
        }
        if secrets.is_empty() {
            return Err(SecretError::None);
        }
        Ok(Self(secrets))
    }

    /// Returns the secret to send, as a value of the `authorization` header.
    #[must_use]
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0[0])
    }

    /// Whether `header`, a value of the `authorization` header, contains one of
    /// the secrets.
    ///
    /// Takes the same time for all wrong secrets of the same length.
    #[must_use]
    pub fn accepts(&self, header: Option<&str>) -> bool {
        let Some(given) = header.and_then(|value| value.strip_prefix("Bearer ")) else {
            return false;
        };
        let mut accepted = subtle::Choice::from(0);
        for secret in &self.0 {
            accepted |= secret.as_bytes().ct_eq(given.as_bytes());
        }
        accepted.into()
    }
}

impl fmt::Debug for Secrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secrets({} hidden)", self.0.len())
    }
}
