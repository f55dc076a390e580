//! Connections to an endpoint that fall silent without being closed.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::{Duration, Instant};

use agent::endpoint::{EndpointClient, EndpointRequest};
use fakes::{
    endpoint::{Behaviour, Endpoint},
    proxy::{Proxy, Silence},
};
use futures_lite::future::zip;
use proto::fields::REQUEST_ID_HEADER;

const TIMEOUT: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(100);
const MAX_BODY: usize = 1 << 16;

fn request() -> EndpointRequest {
    let builder = http::Request::post("/players").header("host", "directory.example");
    let builder = builder.header(REQUEST_ID_HEADER, "r-1");
    builder.body(bytes::Bytes::new().into()).unwrap()
}

/// Guards against one failed request for each open connection.
#[test]
fn connections_that_fall_silent_together_fail_one_request() {
    smol::block_on(async {
        let endpoint = Endpoint::start().await.unwrap();
        let proxy = Proxy::start(endpoint.address()).await.unwrap();
        let client = EndpointClient::new(proxy.address(), 8);
        let send = |timeout| client.send(request(), Instant::now() + timeout, MAX_BODY);
        endpoint.set_behaviour(Behaviour::Slow(SHORT));
        let (first, second) = zip(send(TIMEOUT), send(TIMEOUT)).await;
        first.unwrap();
        second.unwrap();
        endpoint.set_behaviour(Behaviour::Immediate);
        assert_eq!(proxy.silence(Silence::Complete, || true), 2);
        assert!(send(SHORT).await.is_err());
        send(TIMEOUT).await.unwrap();
    });
}
