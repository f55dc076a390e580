//! One watch on its own stream.

use async_channel::Sender;
use futures_lite::FutureExt;
use proto::{
    Channel,
    etcd::{WatchRequest, WatchResponse, watch_client::WatchClient},
};
use tonic::{Status, Streaming};

use super::{MAX_MESSAGE_BYTES, wire};
use crate::{StoreError, Watch, WatchItem};

type Delivery = Result<WatchItem, StoreError>;

/// A watch that the service has accepted.
pub(super) struct Opened {
    first: WatchResponse,
    responses: Streaming<WatchResponse>,
    /// The stream of requests ends when this is dropped; only then does the
    /// transport reset the stream and the service stop counting the watch.
    requests: Sender<WatchRequest>,
}

/// Opens the stream and waits until the service has accepted the watch.
pub(super) async fn open(channel: Channel, req: WatchRequest) -> Result<Opened, Status> {
    let (requests, rx) = async_channel::bounded(1);
    let _ = requests.try_send(req);
    let mut client = WatchClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let mut responses = client.watch(rx).await?.into_inner();
    let first = responses
        .message()
        .await?
        .ok_or_else(|| Status::unavailable("the watch ended before it began"))?;
    Ok(Opened {
        first,
        responses,
        requests,
    })
}

/// Passes on what the stream brings, until either end closes.
pub(super) fn deliver(opened: Opened) -> Watch {
    let (tx, rx) = async_channel::unbounded();
    smol::spawn(pass_on(opened, tx)).detach();
    rx
}

async fn pass_on(opened: Opened, tx: Sender<Delivery>) {
    let Opened {
        first,
        mut responses,
        requests: _held,
    } = opened;
    let mut next: Result<Option<WatchResponse>, Status> = Ok(Some(first));
    loop {
        let (delivery, ends) = match next {
            Ok(Some(resp)) => {
                let ends = resp.canceled;
                (wire::watch_item(resp), ends)
            }
            Ok(None) => (Some(Err(StoreError::not_run("the watch ended"))), true),
            Err(status) => {
                let lost = StoreError::not_run(format!("the watch was lost: {}", status.message()));
                (Some(Err(lost)), true)
            }
        };
        if let Some(delivery) = delivery
            && tx.try_send(delivery).is_err()
        {
            return;
        }
        if ends {
            return;
        }
        let dropped = async {
            tx.closed().await;
            Ok(None)
        };
        next = responses.message().or(dropped).await;
    }
}
