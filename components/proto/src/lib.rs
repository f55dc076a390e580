//! Messages and transport between the processes of the system.
//!
//! Between our own processes a call is one gRPC exchange over HTTP/2 whose
//! messages are plain serde types in MessagePack; see `docs/PROTOCOL.md` for
//! why. The platform's key-value service is spoken to by the generated code in
//! [`etcd`].

pub mod channel;
pub mod codec;
pub mod fields;
pub mod messages;
pub mod peer;
pub mod rpc;
pub mod server;
pub mod worker;

/// The committed code generated from `proto/etcd.proto` by `tools/protogen`.
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
pub use peer::{Peer, RpcError};
pub use rpc::{Method, methods};
pub use server::{Router, serve, serve_service};
