//! HTTP client of an entry's ports.

use std::{net::SocketAddr, time::Duration};

use kernel::{Verdict, verdict::VERDICT_HEADER};
use trillium_client::{Client, Method, Status};
use trillium_smol::ClientConfig;

use crate::plan::OPERATOR_SECRET;

/// Limit for one request.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The answer of an entry, or the error of a request without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status, 0 if no answer came.
    pub status: u16,
    /// Verdict in the answer's header; `MayHaveRun` if it is missing.
    pub verdict: Verdict,
    /// The whole body, or the error if no answer came.
    pub body: String,
}

impl Reply {
    fn no_answer(message: String) -> Self {
        Self {
            status: 0,
            verdict: Verdict::MayHaveRun,
            body: message,
        }
    }
}

/// Sends requests to entries as an operator or as a caller.
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
    /// Sends one request as an operator, with the operators' secret.
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

    /// Sends one request as a caller, with the request id `id`.
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
            Err(error) => return Reply::no_answer(error.to_string()),
        };
        let body = match conn.response_body().read_string().await {
            Ok(body) => body,
            Err(error) => return Reply::no_answer(error.to_string()),
        };
        let verdict = conn.response_headers().get_str(VERDICT_HEADER);
        Reply {
            status: conn.status().map_or(0, |status: Status| status as u16),
            verdict: verdict.map_or(Verdict::MayHaveRun, Verdict::from_header),
            body,
        }
    }
}
