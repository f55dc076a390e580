//! Writes the groups and snapshots of a cell's journal and reads them back.

use std::time::Duration;

use cell::{Group, SnapshotHead, keys};
use kernel::{CellName, Epoch, Time};
use store::{Compare, KeyRange, Op, StoreError, Txn};

use super::{Cells, ownership::epoch_equals, slot::Slot};

/// The pause after the first failed write; doubles up to [`MAX_RETRY_PAUSE`].
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// How many groups or chunks one call reads. Keeps a reply within a few megabytes.
const PAGE_ITEMS: i64 = 8;

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The write is durable. The time is when the call that proved it was sent.
    Durable(Time),
    /// The write is not durable: the term has ended.
    Refused,
}

/// The snapshot and the journal of a cell as stored, before recovery.
#[derive(Debug, Default)]
pub(super) struct StoredCell {
    pub(super) head: Option<SnapshotHead>,
    pub(super) head_value: Option<Vec<u8>>,
    pub(super) chunks: Vec<(String, Vec<u8>)>,
    pub(super) groups: Vec<(String, Vec<u8>)>,
}

impl Cells {
    /// Writes one group and retries until the outcome is known.
    ///
    /// The transaction requires that the group's key is absent, so a retry can't
    /// write it twice. It also compares the snapshot head, so an attempt that the
    /// network delayed can't write the group again after it was compacted.
    pub(super) async fn commit(
        &self,
        slot: &Slot,
        group: Group,
        head: &Option<Vec<u8>>,
    ) -> WriteOutcome {
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
                epoch_equals(&slot.cell, group.epoch),
                head_equals(&slot.cell, head),
                Compare::Absent(key.clone()),
            ],
            ops,
            otherwise: vec![KeyRange::one(keys::epoch(&slot.cell)), KeyRange::one(key)],
        };
        self.write(slot, txn, Some(&value)).await
    }

    /// Replaces the groups up to `at` by a snapshot.
    pub(super) async fn write_snapshot(
        &self,
        slot: &Slot,
        at: (Epoch, u64),
        chunks: &[Vec<u8>],
        head: &mut Option<Vec<u8>>,
    ) -> WriteOutcome {
        let cell = &slot.cell;
        let (epoch, seq) = at;
        for (number, chunk) in chunks.iter().enumerate() {
            let key = keys::snapshot_chunk(cell, epoch, seq, number);
            let txn = Txn {
                compares: vec![epoch_equals(cell, epoch), head_equals(cell, head)],
                ops: vec![Op::put(key, chunk.clone())],
                otherwise: Vec::new(),
            };
            if self.write(slot, txn, None).await == WriteOutcome::Refused {
                return WriteOutcome::Refused;
            }
        }
        let new_head = SnapshotHead {
            epoch,
            seq,
            chunks: chunks.len(),
        };
        let value = serde_json::to_vec(&new_head).unwrap_or_default();
        let txn = Txn {
            // Compares the old head, so that an attempt that the network delayed
            // can't replace a newer head.
            compares: vec![epoch_equals(cell, epoch), head_equals(cell, head)],
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
        let outcome = self.write(slot, txn, Some(&value)).await;
        *head = Some(value);
        outcome
    }

    /// Repeats an idempotent transaction until its outcome is known.
    ///
    /// If `written` is given, `txn.otherwise` has to read the epoch key and then
    /// the written key; the value `written` shows that an earlier attempt took
    /// effect.
    async fn write(&self, slot: &Slot, txn: Txn, written: Option<&[u8]>) -> WriteOutcome {
        let mut pause = FIRST_RETRY_PAUSE;
        loop {
            let sent = self.now();
            match self.setup.store.txn(txn.clone()).await {
                Ok(reply) if reply.succeeded => return WriteOutcome::Durable(sent),
                Ok(reply) => return resolve_write(sent, &reply.otherwise, written, slot.epoch),
                Err(error) => {
                    tracing::warn!(cell = %slot.cell, %error, "failed to write the cell's journal; retrying");
                }
            }
            if slot.has_ended() {
                return WriteOutcome::Refused;
            }
            smol::Timer::after(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    /// Reads the snapshot and journal of a cell. No other entry writes them
    /// during the term of this one.
    pub(super) async fn read_cell(&self, cell: &CellName) -> Result<StoredCell, StoreError> {
        let mut found = StoredCell::default();
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
            let reply = self.setup.store.range(range.clone(), PAGE_ITEMS).await?;
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

fn head_equals(cell: &CellName, head: &Option<Vec<u8>>) -> Compare {
    let key = keys::snapshot_head(cell);
    match head {
        Some(value) => Compare::ValueIs(key, value.clone()),
        None => Compare::Absent(key),
    }
}

/// Resolves a transaction whose compares failed: either an earlier attempt took
/// effect or the term has ended.
fn resolve_write(
    sent: Time,
    otherwise: &[Vec<store::KeyValue>],
    written: Option<&[u8]>,
    epoch: Epoch,
) -> WriteOutcome {
    let value = |range: usize| -> Option<&[u8]> {
        let kv = otherwise.get(range)?.first()?;
        Some(&kv.value)
    };
    let same_term = value(0) == Some(epoch.0.to_string().as_bytes());
    let is_written = written.is_some() && value(1) == written;
    match same_term && is_written {
        true => WriteOutcome::Durable(sent),
        false => WriteOutcome::Refused,
    }
}
