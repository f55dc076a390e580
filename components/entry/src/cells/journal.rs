//! Writing groups and snapshots, and reading them back.

use std::time::Duration;

use cell::{Group, SnapshotHead, keys};
use kernel::{CellName, Epoch, Time};
use store::{Compare, KeyRange, Op, StoreError, Txn};

use super::{Cells, ownership::epoch_is, slot::Slot};

/// The first pause after a failed write; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// How many groups or chunks are read in one call, so that an answer stays
/// within a few megabytes.
const PAGE: i64 = 8;

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Settled {
    /// It is durable; the call that showed it was sent then.
    Durable(Time),
    /// Another term has begun; it is not durable.
    Refused,
}

/// What the store holds of a cell, not yet put together.
#[derive(Debug, Default)]
pub(super) struct Found {
    pub(super) head: Option<SnapshotHead>,
    pub(super) head_value: Option<Vec<u8>>,
    pub(super) chunks: Vec<(String, Vec<u8>)>,
    pub(super) groups: Vec<(String, Vec<u8>)>,
}

impl Cells {
    /// Writes one group; tries until its end is known.
    ///
    /// The transaction creates the group's key, so a second try can't write it
    /// twice, and names the snapshot in force, so a try that the network held
    /// back can't write it again after it was folded.
    pub(super) async fn commit(
        &self,
        slot: &Slot,
        group: Group,
        head: &Option<Vec<u8>>,
    ) -> Settled {
        let key = keys::group(&slot.cell, group.epoch, group.seq);
        let value = serde_json::to_vec(&group).unwrap_or_default();
        let mut ops = vec![Op::put(key.clone(), value.clone())];
        for (key, value) in group.puts {
            ops.push(Op::put(key, value));
        }
        for key in group.deletes {
            ops.push(Op::Delete(KeyRange::one(key)));
        }
        let txn = Txn {
            compares: vec![
                epoch_is(&slot.cell, group.epoch),
                head_is(&slot.cell, head),
                Compare::Absent(key.clone()),
            ],
            ops,
            otherwise: vec![KeyRange::one(keys::epoch(&slot.cell)), KeyRange::one(key)],
        };
        self.write(slot, txn, Some(&value)).await
    }

    /// Replaces the groups up to `at` by a snapshot.
    pub(super) async fn fold(
        &self,
        slot: &Slot,
        at: (Epoch, u64),
        chunks: &[Vec<u8>],
        head: &mut Option<Vec<u8>>,
    ) -> Settled {
        let cell = &slot.cell;
        let (epoch, seq) = at;
        for (number, chunk) in chunks.iter().enumerate() {
            let key = keys::snapshot_chunk(cell, epoch, seq, number);
            let txn = Txn {
                compares: vec![epoch_is(cell, epoch), head_is(cell, head)],
                ops: vec![Op::put(key, chunk.clone())],
                otherwise: Vec::new(),
            };
            if self.write(slot, txn, None).await == Settled::Refused {
                return Settled::Refused;
            }
        }
        let new_head = SnapshotHead {
            epoch,
            seq,
            chunks: chunks.len(),
        };
        let value = serde_json::to_vec(&new_head).unwrap_or_default();
        let txn = Txn {
            // Names the head that it replaces, so that a try which the network
            // held back can't replace a newer one.
            compares: vec![epoch_is(cell, epoch), head_is(cell, head)],
            ops: vec![
                Op::put(keys::snapshot_head(cell), value.clone()),
                Op::Delete(keys::journal_through(cell, epoch, seq)),
                Op::Delete(keys::older_chunks(cell, epoch, seq)),
            ],
            otherwise: vec![
                KeyRange::one(keys::epoch(cell)),
                KeyRange::one(keys::snapshot_head(cell)),
            ],
        };
        let settled = self.write(slot, txn, Some(&value)).await;
        *head = Some(value);
        settled
    }

    /// Runs a transaction that may be repeated until its end is known.
    ///
    /// If it names the epoch and the written key as what to read otherwise,
    /// `written` is the value that shows that an earlier try took effect.
    async fn write(&self, slot: &Slot, txn: Txn, written: Option<&[u8]>) -> Settled {
        let mut pause = FIRST_PAUSE;
        loop {
            let sent = self.now();
            match self.setup.store.txn(txn.clone()).await {
                Ok(reply) if reply.succeeded => return Settled::Durable(sent),
                Ok(reply) => return settle(sent, &reply.otherwise, written, slot.epoch),
                Err(error) => {
                    tracing::warn!(cell = %slot.cell, %error, "the journal can't be written");
                }
            }
            if slot.has_ended() {
                return Settled::Refused;
            }
            smol::Timer::after(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    /// Reads everything of a cell; nobody else writes it during the own term.
    pub(super) async fn read_cell(&self, cell: &CellName) -> Result<Found, StoreError> {
        let mut found = Found::default();
        let range = KeyRange::one(keys::snapshot_head(cell));
        let reply = self.setup.store.range(range, 1).await?;
        if let Some(kv) = reply.kvs.into_iter().next() {
            let head: SnapshotHead = serde_json::from_slice(&kv.value).map_err(|error| {
                StoreError::not_run(format!("{} can't be read: {error}", kv.key))
            })?;
            let range = keys::snapshot_chunks(cell, head.epoch, head.seq);
            found.chunks = self.read_all(range).await?;
            found.head = Some(head);
            found.head_value = Some(kv.value);
        }
        found.groups = self.read_all(keys::journal(cell)).await?;
        Ok(found)
    }

    async fn read_all(&self, mut range: KeyRange) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        let mut all = Vec::new();
        loop {
            let reply = self.setup.store.range(range.clone(), PAGE).await?;
            for kv in reply.kvs {
                range.from = format!("{}\0", kv.key);
                all.push((kv.key, kv.value));
            }
            if !reply.more {
                return Ok(all);
            }
        }
    }
}

fn head_is(cell: &CellName, head: &Option<Vec<u8>>) -> Compare {
    let key = keys::snapshot_head(cell);
    match head {
        Some(value) => Compare::ValueIs(key, value.clone()),
        None => Compare::Absent(key),
    }
}

/// What a transaction whose conditions did not hold means: an earlier try took
/// effect, or another term has begun.
fn settle(
    sent: Time,
    otherwise: &[Vec<store::KeyValue>],
    written: Option<&[u8]>,
    epoch: Epoch,
) -> Settled {
    let value = |range: usize| -> Option<&[u8]> {
        let kv = otherwise.get(range)?.first()?;
        Some(&kv.value)
    };
    let same_term = value(0) == Some(epoch.0.to_string().as_bytes());
    let is_written = written.is_some() && value(1) == written;
    match same_term && is_written {
        true => Settled::Durable(sent),
        false => Settled::Refused,
    }
}
