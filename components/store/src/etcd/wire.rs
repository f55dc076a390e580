//! Converts between the types of [`Store`](crate::Store) and the messages of the
//! etcd protocol.

use proto::etcd::{self, compare, event::EventType, request_op, response_op, watch_request};

use crate::{
    Change, Compare, KeyRange, KeyValue, LeaseId, Op, RangeReply, StoreError, StoreRevision, Txn,
    TxnReply, WatchItem,
};

pub(super) fn range_request(range: &KeyRange, limit: i64) -> etcd::RangeRequest {
    etcd::RangeRequest {
        key: range.from.clone().into_bytes(),
        range_end: range.until.clone().into_bytes(),
        limit,
        ..etcd::RangeRequest::default()
    }
}

pub(super) fn range_reply(resp: etcd::RangeResponse) -> Result<RangeReply, StoreError> {
    Ok(RangeReply {
        kvs: key_values(resp.kvs)?,
        revision: revision(resp.header),
        more: resp.more,
    })
}

fn revision(header: Option<etcd::ResponseHeader>) -> StoreRevision {
    header.map_or(0, |header| header.revision)
}

fn key_values(kvs: Vec<etcd::KeyValue>) -> Result<Vec<KeyValue>, StoreError> {
    kvs.into_iter().map(key_value).collect()
}

/// The system writes only UTF-8 keys, so any other key under its prefix was written
/// by an operator.
fn key_text(bytes: Vec<u8>) -> Result<String, StoreError> {
    String::from_utf8(bytes)
        .map_err(|_| StoreError::may_have_run("a key in the store is not UTF-8 text"))
}

fn key_value(kv: etcd::KeyValue) -> Result<KeyValue, StoreError> {
    Ok(KeyValue {
        key: key_text(kv.key)?,
        value: kv.value,
        created: kv.create_revision,
        modified: kv.mod_revision,
        lease: (kv.lease != 0).then_some(LeaseId(kv.lease)),
    })
}

pub(super) fn txn_request(txn: Txn) -> etcd::TxnRequest {
    let read = |range: KeyRange| request_op::Request::RequestRange(range_request(&range, 0));
    let wrap = |request| etcd::RequestOp {
        request: Some(request),
    };
    etcd::TxnRequest {
        compare: txn.compares.into_iter().map(compare_request).collect(),
        success: txn.ops.into_iter().map(op_request).map(wrap).collect(),
        failure: txn.otherwise.into_iter().map(read).map(wrap).collect(),
    }
}

fn compare_request(compare: Compare) -> etcd::Compare {
    use compare::{CompareResult, CompareTarget, TargetUnion};
    let (key, target, result, union) = match compare {
        Compare::Absent(key) => (
            key,
            CompareTarget::Create,
            CompareResult::Equal,
            TargetUnion::CreateRevision(0),
        ),
        Compare::Present(key) => (
            key,
            CompareTarget::Create,
            CompareResult::Greater,
            TargetUnion::CreateRevision(0),
        ),
        Compare::ValueIs(key, value) => (
            key,
            CompareTarget::Value,
            CompareResult::Equal,
            TargetUnion::Value(value),
        ),
        Compare::ModifiedAt(key, at) => (
            key,
            CompareTarget::Mod,
            CompareResult::Equal,
            TargetUnion::ModRevision(at),
        ),
    };
    etcd::Compare {
        result: result as i32,
        target: target as i32,
        key: key.into_bytes(),
        target_union: Some(union),
    }
}

fn op_request(op: Op) -> request_op::Request {
    match op {
        Op::Put { key, value, lease } => request_op::Request::RequestPut(etcd::PutRequest {
            key: key.into_bytes(),
            value,
            lease: lease.map_or(0, |lease| lease.0),
        }),
        Op::Delete(range) => request_op::Request::RequestDeleteRange(etcd::DeleteRangeRequest {
            key: range.from.into_bytes(),
            range_end: range.until.into_bytes(),
        }),
    }
}

pub(super) fn txn_reply(resp: etcd::TxnResponse) -> Result<TxnReply, StoreError> {
    let mut otherwise = Vec::new();
    for op in resp.responses {
        let Some(response_op::Response::ResponseRange(range)) = op.response else {
            continue;
        };
        otherwise.push(key_values(range.kvs)?);
    }
    Ok(TxnReply {
        succeeded: resp.succeeded,
        revision: revision(resp.header),
        otherwise,
    })
}

pub(super) fn watch_request(range: &KeyRange, from: StoreRevision) -> etcd::WatchRequest {
    let create = etcd::WatchCreateRequest {
        key: range.from.clone().into_bytes(),
        range_end: range.until.clone().into_bytes(),
        start_revision: from,
        progress_notify: false,
    };
    etcd::WatchRequest {
        request_union: Some(watch_request::RequestUnion::CreateRequest(create)),
    }
}

/// Returns the item to deliver for a response; `None` if it only reports progress.
pub(super) fn watch_item(resp: etcd::WatchResponse) -> Option<Result<WatchItem, StoreError>> {
    if resp.compact_revision > 0 {
        return Some(Ok(WatchItem::Compacted));
    }
    if resp.canceled {
        let message = format!("the service ended the watch: {}", resp.cancel_reason);
        return Some(Err(StoreError::not_run(message)));
    }
    if resp.events.is_empty() {
        return None;
    }
    let at = revision(resp.header);
    let changes: Result<Vec<Change>, StoreError> = resp.events.into_iter().map(change).collect();
    Some(changes.map(|changes| WatchItem::Changes(at, changes)))
}

fn change(event: etcd::Event) -> Result<Change, StoreError> {
    let deleted = event.r#type == EventType::Delete as i32;
    let kv = key_value(event.kv.unwrap_or_default())?;
    if deleted {
        return Ok(Change::Deleted(kv.key, kv.modified));
    }
    Ok(Change::Put(kv))
}
