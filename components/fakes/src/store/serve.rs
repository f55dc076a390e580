//! Serves the stand-in store over a socket in the etcd v3 protocol.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::{Stream, StreamExt, stream};
use kernel::Verdict;
use proto::etcd::{
    self, kv_server::KvServer, lease_server::LeaseServer, watch_request::RequestUnion,
    watch_server::WatchServer,
};
use smol::net::TcpListener;
use store::{Delivery, LeaseId, Store, StoreError, WatchItem};
use tonic::{Request, Response, Status, Streaming, body::Body};

use super::{MemStore, wire};

/// Limit of the size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Serves `store` in the etcd v3 protocol until `stop` completes.
pub async fn serve(listener: TcpListener, store: MemStore, stop: impl Future<Output = ()> + Send) {
    let service = Service {
        kv: KvServer::new(store.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES),
        watch: WatchServer::new(store.clone()),
        lease: LeaseServer::new(store),
    };
    proto::serve_service(listener, service, stop).await;
}

/// The three services of the protocol under one address.
#[derive(Clone, Debug)]
struct Service {
    kv: KvServer<MemStore>,
    watch: WatchServer<MemStore>,
    lease: LeaseServer<MemStore>,
}

impl tower_service::Service<http::Request<hyper::body::Incoming>> for Service {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: http::Request<hyper::body::Incoming>) -> Self::Future {
        let path = req.uri().path();
        if path.starts_with("/etcdserverpb.Watch/") {
            return self.watch.call(req);
        }
        if path.starts_with("/etcdserverpb.Lease/") {
            return self.lease.call(req);
        }
        self.kv.call(req)
    }
}

fn to_status(error: StoreError) -> Status {
    match error.verdict {
        Verdict::NotRun => Status::unavailable(error.message),
        Verdict::Done | Verdict::MayHaveRun => Status::unknown(error.message),
    }
}

#[tonic::async_trait]
impl etcd::kv_server::Kv for MemStore {
    async fn range(
        &self,
        req: Request<etcd::RangeRequest>,
    ) -> Result<Response<etcd::RangeResponse>, Status> {
        let req = req.into_inner();
        let range = wire::range(req.key, req.range_end)?;
        let reply = Store::range(self, range, req.limit)
            .await
            .map_err(to_status)?;
        Ok(Response::new(etcd::RangeResponse {
            header: wire::header(reply.revision),
            count: reply.kvs.len() as i64,
            kvs: reply.kvs.into_iter().map(wire::key_value).collect(),
            more: reply.more,
        }))
    }

    async fn txn(
        &self,
        req: Request<etcd::TxnRequest>,
    ) -> Result<Response<etcd::TxnResponse>, Status> {
        let txn = wire::txn(req.into_inner())?;
        let reply = Store::txn(self, txn).await.map_err(to_status)?;
        Ok(Response::new(wire::txn_reply(reply)))
    }
}

#[tonic::async_trait]
impl etcd::lease_server::Lease for MemStore {
    async fn lease_grant(
        &self,
        req: Request<etcd::LeaseGrantRequest>,
    ) -> Result<Response<etcd::LeaseGrantResponse>, Status> {
        let seconds = req.into_inner().ttl;
        let ttl = Duration::from_secs(u64::try_from(seconds).unwrap_or_default().max(1));
        let lease = self.grant(ttl).await.map_err(to_status)?;
        Ok(Response::new(etcd::LeaseGrantResponse {
            header: None,
            id: lease.0,
            ttl: seconds,
            error: String::new(),
        }))
    }

    async fn lease_revoke(
        &self,
        req: Request<etcd::LeaseRevokeRequest>,
    ) -> Result<Response<etcd::LeaseRevokeResponse>, Status> {
        let lease = LeaseId(req.into_inner().id);
        self.revoke(lease).await.map_err(to_status)?;
        Ok(Response::new(etcd::LeaseRevokeResponse { header: None }))
    }

    type LeaseKeepAliveStream = ResponseStream<etcd::LeaseKeepAliveResponse>;

    async fn lease_keep_alive(
        &self,
        req: Request<Streaming<etcd::LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let store = self.clone();
        let responses = req.into_inner().then(move |req| {
            let store = store.clone();
            async move {
                let id = req?.id;
                let exists = store.keep_alive(LeaseId(id)).await.map_err(to_status)?;
                Ok(etcd::LeaseKeepAliveResponse {
                    header: None,
                    id,
                    ttl: i64::from(exists),
                })
            }
        });
        Ok(Response::new(Box::pin(responses)))
    }
}

#[tonic::async_trait]
impl etcd::watch_server::Watch for MemStore {
    type WatchStream = ResponseStream<etcd::WatchResponse>;

    async fn watch(
        &self,
        req: Request<Streaming<etcd::WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let mut requests = req.into_inner();
        let first = requests.message().await?;
        let Some(RequestUnion::CreateRequest(create)) = first.and_then(|r| r.request_union) else {
            return Err(Status::invalid_argument(
                "the first message must create a watch",
            ));
        };
        let range = wire::range(create.key, create.range_end)?;
        let from = create.start_revision;
        let watch = Store::watch(self, range, from, Delivery::EveryChange)
            .await
            .map_err(to_status)?;
        let created = etcd::WatchResponse {
            created: true,
            ..etcd::WatchResponse::default()
        };
        let items = watch.map(|item| item.map_err(to_status).map(watch_response));
        let responses = stream::once(Ok(created)).chain(items);
        Ok(Response::new(Box::pin(responses)))
    }
}

fn watch_response(item: WatchItem) -> etcd::WatchResponse {
    match item {
        WatchItem::Changes(revision, changes) => etcd::WatchResponse {
            header: wire::header(revision),
            events: changes.into_iter().map(wire::event).collect(),
            ..etcd::WatchResponse::default()
        },
        WatchItem::Progress(revision, _) => etcd::WatchResponse {
            header: wire::header(revision),
            ..etcd::WatchResponse::default()
        },
        WatchItem::Compacted => etcd::WatchResponse {
            canceled: true,
            compact_revision: 1,
            cancel_reason: "the revision has been compacted".to_owned(),
            ..etcd::WatchResponse::default()
        },
    }
}
