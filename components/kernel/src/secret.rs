//! Shared secrets between processes and operators.

use std::fmt;

use subtle::ConstantTimeEq;

/// The shortest secret accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Why a list of secrets can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The list holds no secret.
    #[error("the secret file holds no secret; write at least one line of {MIN_SECRET_BYTES} bytes")]
    None,
    /// A secret is too short; its line number is given, never its text.
    #[error("the secret on line {0} is shorter than {MIN_SECRET_BYTES} bytes")]
    TooShort(usize),
}

/// The secrets in use, the one to send first.
///
/// Two are listed while a secret is being replaced: every process accepts both
/// and sends the first. They are never logged.
#[derive(Clone)]
pub struct Secrets(Vec<String>);

impl Secrets {
    /// Reads one secret a line; empty lines are passed over.
    ///
    /// # Errors
    ///
    /// Returns a [`SecretError`] if there is none or one is too short.
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

    /// The secret to send, as a value of the `authorization` header.
    #[must_use]
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0[0])
    }

    /// Whether `header`, a value of `authorization`, holds one of the secrets.
    ///
    /// Takes the same time for every wrong secret of one length.
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
