//! The secret that entries and agents share.
//!
//! The platform gives no secret to the processes, and only machines of the system can reach
//! the store. So the first process writes a random secret there unless one exists, and all
//! others read it.

use std::time::Duration;

use kernel::secret::Secrets;
use rand::Rng;
use store::{Compare, KeyRange, Op, Store, StoreError, Txn, backoff::Backoff};

use crate::keys;

/// The length of the secret in hexadecimal digits (256 bits).
const SECRET_DIGITS: usize = 64;

/// Reads the secret or creates it; retries until the store answers.
pub(crate) async fn obtain(store: &dyn Store) -> Secrets {
    let mut backoff = Backoff::with_random_seed();
    loop {
        match try_obtain(store).await {
            Ok(secrets) => return secrets,
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(%error, "store unavailable; can't read the shared secret yet");
                }
                let wait = backoff.next_delay().min(MAX_RETRY_DELAY);
                smol::Timer::after(wait).await;
            }
        }
    }
}

/// The delay is short because a process can do nothing without the secret.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

async fn try_obtain(store: &dyn Store) -> Result<Secrets, StoreError> {
    let read = store.range(KeyRange::one(keys::SECRET), 1).await?;
    if let Some(kv) = read.kvs.first() {
        return parse(&kv.value);
    }
    let secret = generate();
    let txn = Txn {
        compares: vec![Compare::Absent(keys::SECRET.to_owned())],
        ops: vec![Op::put(keys::SECRET, secret.as_bytes())],
        otherwise: vec![KeyRange::one(keys::SECRET)],
    };
    let reply = store.txn(txn).await?;
    if reply.succeeded {
        return parse(secret.as_bytes());
    }
    match reply.otherwise.first().and_then(|kvs| kvs.first()) {
        Some(kv) => parse(&kv.value),
        None => Err(StoreError::not_run(
            "the store returned no value for the secret",
        )),
    }
}

fn generate() -> String {
    let mut rng = rand::rng();
    let digit = |_| char::from_digit(rng.random_range(0..16), 16).unwrap_or('0');
    (0..SECRET_DIGITS).map(digit).collect()
}

fn parse(value: &[u8]) -> Result<Secrets, StoreError> {
    let text = String::from_utf8_lossy(value);
    Secrets::parse(&text).map_err(|error| StoreError::not_run(error.to_string()))
}
