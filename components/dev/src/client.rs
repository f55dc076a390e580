//! Plain HTTP towards an entry's ports.

use std::{net::SocketAddr, time::Duration};

use kernel::{Verdict, verdict::VERDICT_HEADER};
use trillium_client::{Client, Method, Status};
use trillium_smol::ClientConfig;

use crate::plan::OPERATOR_SECRET;

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An answer of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its HTTP status, 0 if there was none.
    pub status: u16,
    /// What it says of the execution.
    pub verdict: Verdict,
    /// Its whole body.
    pub body: String,
}

impl Reply {
    fn lost(message: String) -> Self {
        Self {
            status: 0,
            verdict: Verdict::MayHaveRun,
            body: message,
        }
    }
}

/// Speaks to entries as an operator or as a caller.
#[derive(Clone, Debug)]
pub struct EntryClient {
    http: Client,
}

impl Default for EntryClient {
    fn default() -> Self {
        let config = ClientConfig::new().with_nodelay(true);
        Self {
            http: Client::new(config).with_timeout(TIMEOUT),
        }
    }
}

impl EntryClient {
    /// Makes one request of an operator.
    pub async fn operator_request(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Reply {
        let secret = format!("Bearer {OPERATOR_SECRET}");
        let headers = [("authorization", secret)];
        self.send(entry, method, path, &headers, body).await
    }

    /// Makes one request of a caller.
    pub async fn caller_request(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        id: &str,
        body: Option<String>,
    ) -> Reply {
        let headers = [("x-request-id", id.to_owned())];
        self.send(entry, method, path, &headers, body).await
    }

    async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Option<String>,
    ) -> Reply {
        let url = format!("http://{entry}{path}");
        let mut conn = self.http.build_conn(method, url);
        for (name, value) in headers {
            conn = conn.with_request_header(*name, value.clone());
        }
        if let Some(body) = body {
            conn = conn.with_body(body);
        }
        let mut conn = match conn.await {
            Ok(conn) => conn,
            Err(error) => return Reply::lost(error.to_string()),
        };
        let body = match conn.response_body().read_string().await {
            Ok(body) => body,
            Err(error) => return Reply::lost(error.to_string()),
        };
        let verdict = conn.response_headers().get_str(VERDICT_HEADER);
        Reply {
            status: conn.status().map_or(0, |status: Status| status as u16),
            verdict: verdict.map_or(Verdict::MayHaveRun, Verdict::from_header),
            body,
        }
    }
}
