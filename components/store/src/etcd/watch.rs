//! Opens watches, each on a separate stream.

use async_channel::Sender;
use futures_lite::FutureExt;
use proto::{
    Channel,
    etcd::{WatchRequest, WatchResponse, watch_client::WatchClient},
};
use tonic::{Status, Streaming};

use super::{MAX_MESSAGE_BYTES, wire};
use crate::{StoreError, Watch, WatchItem};

type WatchResult = Result<WatchItem, StoreError>;

/// A watch that the service has accepted.
pub(super) struct OpenWatch {
    first: WatchResponse,
    responses: Streaming<WatchResponse>,
    /// Keeps the request stream open. The transport resets the stream, and the
    /// service stops counting the watch, only after this sender is dropped.
    requests: Sender<WatchRequest>,
}

/// Opens a stream and waits until the service has accepted the watch.
pub(super) async fn open(channel: Channel, req: WatchRequest) -> Result<OpenWatch, Status> {
    let (requests, rx) = async_channel::bounded(1);
    let _ = requests.try_send(req);
    let mut client = WatchClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let mut responses = client.watch(rx).await?.into_inner();
    let first = responses
        .message()
        .await?
        .ok_or_else(|| Status::unavailable("the watch ended before the service accepted it"))?;
    Ok(OpenWatch {
        first,
        responses,
        requests,
    })
}

/// Delivers the items of the stream until the stream ends or the receiver is dropped.
pub(super) fn deliver(open_watch: OpenWatch) -> Watch {
    let (tx, rx) = async_channel::unbounded();
    smol::spawn(forward_items(open_watch, tx)).detach();
    rx
}

async fn forward_items(open_watch: OpenWatch, tx: Sender<WatchResult>) {
    let OpenWatch {
        first,
        mut responses,
        requests: _keep_open,
    } = open_watch;
    let mut next: Result<Option<WatchResponse>, Status> = Ok(Some(first));
    loop {
        let (item, is_last) = match next {
            Ok(Some(resp)) => {
                let is_last = resp.canceled;
                (wire::watch_item(resp), is_last)
            }
            Ok(None) => (
                Some(Err(StoreError::not_run("the service ended the watch"))),
                true,
            ),
            Err(status) => {
                let error =
                    StoreError::not_run(format!("the watch was lost: {}", status.message()));
                (Some(Err(error)), true)
            }
        };
        if let Some(item) = item
            && tx.try_send(item).is_err()
        {
            return;
        }
        if is_last {
            return;
        }
        let dropped = async {
            tx.closed().await;
            Ok(None)
        };
        next = responses.message().or(dropped).await;
    }
}
