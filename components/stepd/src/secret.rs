//! The secret that our processes share.
//!
//! No process is handed one, and only our machines reach the store: the first
//! process makes it there under a condition, the others read it.

use std::time::Duration;

use kernel::secret::Secrets;
use rand::Rng;
use store::{Compare, KeyRange, Op, Store, StoreError, Txn, backoff::Backoff};

use crate::keys;

/// The length of the secret, in hexadecimal digits: 256 bits.
const DIGITS: usize = 64;

/// Reads the secret, or makes it; waits for the store as long as it takes.
pub(crate) async fn obtain(store: &dyn Store) -> Secrets {
    let mut backoff = Backoff::with_random_seed();
    loop {
        match try_obtain(store).await {
            Ok(secrets) => return secrets,
            Err(error) => {
                if backoff.failures() == 0 {
                    tracing::warn!(%error, "store lost: the shared secret is not known yet");
                }
                let wait = backoff.next_delay().min(LONGEST_WAIT);
                smol::Timer::after(wait).await;
            }
        }
    }
}

/// A process without the secret can do nothing, so it asks often.
const LONGEST_WAIT: Duration = Duration::from_millis(400);

async fn try_obtain(store: &dyn Store) -> Result<Secrets, StoreError> {
    let read = store.range(KeyRange::one(keys::SECRET), 1).await?;
    if let Some(kv) = read.kvs.first() {
        return parse(&kv.value);
    }
    let made = make();
    let txn = Txn {
        compares: vec![Compare::Absent(keys::SECRET.to_owned())],
        ops: vec![Op::put(keys::SECRET, made.as_bytes())],
        otherwise: vec![KeyRange::one(keys::SECRET)],
    };
    let reply = store.txn(txn).await?;
    if reply.succeeded {
        return parse(made.as_bytes());
    }
    match reply.otherwise.first().and_then(|kvs| kvs.first()) {
        Some(kv) => parse(&kv.value),
        None => Err(StoreError::not_run("the secret was not given back")),
    }
}

fn make() -> String {
    let mut rng = rand::rng();
    let digit = |_| char::from_digit(rng.random_range(0..16), 16).unwrap_or('0');
    (0..DIGITS).map(digit).collect()
}

fn parse(value: &[u8]) -> Result<Secrets, StoreError> {
    let text = String::from_utf8_lossy(value);
    Secrets::parse(&text).map_err(|error| StoreError::not_run(error.to_string()))
}
