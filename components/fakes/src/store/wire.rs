//! Converts between messages of the etcd v3 protocol and the types of [`store`].

use proto::etcd::{self, compare, request_op, response_op};
use store::{Change, Compare, KeyRange, KeyValue, LeaseId, Op, StoreRevision, Txn, TxnReply};
use tonic::Status;

pub(super) fn header(revision: StoreRevision) -> Option<etcd::ResponseHeader> {
    Some(etcd::ResponseHeader {
        cluster_id: 1,
        member_id: 1,
        revision,
        raft_term: 1,
    })
}

fn parse_key(bytes: Vec<u8>) -> Result<String, Status> {
    String::from_utf8(bytes).map_err(|_| Status::invalid_argument("a key must be valid UTF-8"))
}

pub(super) fn range(key: Vec<u8>, range_end: Vec<u8>) -> Result<KeyRange, Status> {
    let from = parse_key(key)?;
    if range_end.is_empty() {
        return Ok(KeyRange::one(from));
    }
    let until = parse_key(range_end)?;
    Ok(KeyRange { from, until })
}

pub(super) fn key_value(kv: KeyValue) -> etcd::KeyValue {
    etcd::KeyValue {
        key: kv.key.into_bytes(),
        create_revision: kv.created,
        mod_revision: kv.modified,
        version: 1,
        value: kv.value,
        lease: kv.lease.map_or(0, |lease| lease.0),
    }
}

pub(super) fn event(change: Change) -> etcd::Event {
    match change {
        Change::Put(kv) => etcd::Event {
            r#type: etcd::event::EventType::Put as i32,
            kv: Some(key_value(kv)),
        },
        Change::Deleted(key, at) => etcd::Event {
            r#type: etcd::event::EventType::Delete as i32,
            kv: Some(etcd::KeyValue {
                key: key.into_bytes(),
                mod_revision: at,
                ..etcd::KeyValue::default()
            }),
        },
    }
}

pub(super) fn txn(req: etcd::TxnRequest) -> Result<Txn, Status> {
    let compares = req
        .compare
        .into_iter()
        .map(compare)
        .collect::<Result<_, _>>()?;
    let ops = req.success.into_iter().map(op).collect::<Result<_, _>>()?;
    let otherwise = req
        .failure
        .into_iter()
        .map(read_range)
        .collect::<Result<_, _>>()?;
    Ok(Txn {
        compares,
        ops,
        otherwise,
    })
}

fn compare(compare: etcd::Compare) -> Result<Compare, Status> {
    let key = parse_key(compare.key)?;
    let equal = compare.result == compare::CompareResult::Equal as i32;
    let greater = compare.result == compare::CompareResult::Greater as i32;
    match compare.target_union {
        Some(compare::TargetUnion::CreateRevision(0)) if equal => Ok(Compare::Absent(key)),
        Some(compare::TargetUnion::CreateRevision(0)) if greater => Ok(Compare::Present(key)),
        Some(compare::TargetUnion::Value(value)) if equal => Ok(Compare::ValueIs(key, value)),
        Some(compare::TargetUnion::ModRevision(at)) if equal => Ok(Compare::ModifiedAt(key, at)),
        _ => Err(Status::unimplemented("this comparison is not supported")),
    }
}

fn op(op: etcd::RequestOp) -> Result<Op, Status> {
    match op.request {
        Some(request_op::Request::RequestPut(put)) => Ok(Op::Put {
            key: parse_key(put.key)?,
            value: put.value,
            lease: (put.lease != 0).then_some(LeaseId(put.lease)),
        }),
        Some(request_op::Request::RequestDeleteRange(delete)) => {
            Ok(Op::Delete(range(delete.key, delete.range_end)?))
        }
        _ => Err(Status::unimplemented(
            "only put and delete_range are supported on success",
        )),
    }
}

fn read_range(op: etcd::RequestOp) -> Result<KeyRange, Status> {
    match op.request {
        Some(request_op::Request::RequestRange(read)) => range(read.key, read.range_end),
        _ => Err(Status::unimplemented("only range is supported on failure")),
    }
}

pub(super) fn txn_reply(reply: TxnReply) -> etcd::TxnResponse {
    let to_response = |kvs: Vec<KeyValue>| etcd::ResponseOp {
        response: Some(response_op::Response::ResponseRange(etcd::RangeResponse {
            header: None,
            count: kvs.len() as i64,
            kvs: kvs.into_iter().map(key_value).collect(),
            more: false,
        })),
    };
    etcd::TxnResponse {
        header: header(reply.revision),
        succeeded: reply.succeeded,
        responses: reply.otherwise.into_iter().map(to_response).collect(),
    }
}
