//! Messages and transport between the processes of the system.
//!
//! A call between two processes is a unary gRPC call over HTTP/2 whose messages
//! are plain serde types encoded as MessagePack; `docs/PROTOCOL.md` gives the
//! reasons. The generated client of the platform's key-value service is in [`etcd`].

pub mod channel;
pub mod codec;
pub mod fields;
pub mod messages;
pub mod peer;
pub mod rpc;
pub mod server;
pub mod worker;

/// Code generated from `proto/etcd.proto` by `tools/protogen` and committed.
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    clippy::pedantic,
    clippy::restriction
)]
#[rustfmt::skip]
#[path = "generated/etcdserverpb.rs"]
pub mod etcd;

pub use channel::{Channel, ChannelError};
pub use peer::{Peer, RpcError, expire};
pub use rpc::{Method, methods};
pub use server::{Router, serve, serve_service};
