//! HTTP client of the operators' port of entries.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use clap::ArgMatches;
use entry::operator::Failure;
use kernel::{Verdict, secret::Secrets, verdict::VERDICT_HEADER};
use serde::{Serialize, de::DeserializeOwned};
use trillium_client::{Body, Client as HttpClient, Conn, KnownHeaderName, Method};
use trillium_smol::ClientConfig;

use crate::failure::CommandError;

/// Limit for one request to one entry.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a command's requests to its entries, in the order given, until one answers.
pub(crate) struct Client {
    entries: Vec<SocketAddr>,
    secrets: Secrets,
    http: HttpClient,
}

impl Client {
    /// Builds the client from `--entry` and `--secret-file`.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, CommandError> {
        let entries = matches.get_many::<SocketAddr>("entry");
        let entries: Vec<SocketAddr> = entries.into_iter().flatten().copied().collect();
        if entries.is_empty() {
            let message = "no entry is named; use --entry ADDR or set HEMLOCKMOOR_ENTRY";
            return Err(CommandError::usage(message));
        }
        let Some(file) = matches.get_one::<std::path::PathBuf>("secret-file") else {
            let message = "no secret is named; use --secret-file F or set HEMLOCKMOOR_SECRET_FILE";
            return Err(CommandError::usage(message));
        };
        let config = ClientConfig::new().with_nodelay(true);
        Ok(Self {
            entries,
            secrets: read_secrets(file)?,
            http: HttpClient::new(config).with_timeout(TIMEOUT),
        })
    }

    /// Reads from an entry and parses the JSON answer.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        parse(&self.get_text(path).await?)
    }

    /// As [`Self::get`], but returns the answer as text.
    pub(crate) async fn get_text(&self, path: &str) -> Result<String, CommandError> {
        let text = self.send(Method::Get, path, None).await;
        // A read has no effect, so a failed one never leaves an unknown outcome.
        text.map_err(|failure| {
            let verdict = Verdict::NotRun;
            CommandError::Failed(Failure { verdict, ..failure })
        })
    }

    /// Requests a change.
    ///
    /// Each change carries an id, so it is safe to repeat it at the next entry when
    /// its outcome at one entry is unknown.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CommandError> {
        let body = serde_json::to_string(body).map_err(CommandError::not_run)?;
        parse(&self.send(Method::Post, path, Some(body)).await?)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<String, Failure> {
        let mut last = Failure::new(Verdict::NotRun, "no entry is named");
        let mut verdict = Verdict::NotRun;
        for entry in &self.entries {
            let failed = match self.send_to(*entry, method, path, body.clone()).await {
                Ok(text) => return Ok(text),
                Err(failed) => failed,
            };
            if failed.failure.verdict == Verdict::MayHaveRun {
                verdict = Verdict::MayHaveRun;
            }
            last = failed.failure;
            if failed.is_final {
                break;
            }
        }
        Err(Failure { verdict, ..last })
    }

    async fn send_to(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<String, EntryFailure> {
        let url = format!("http://{entry}{path}");
        let mut conn = self
            .http
            .build_conn(method, url)
            .with_request_header(KnownHeaderName::Authorization, self.secrets.authorization());
        if let Some(body) = body {
            conn = conn
                .with_request_header(KnownHeaderName::ContentType, "application/json")
                .with_body(Body::from(body));
        }
        if let Err(error) = (&mut conn).await {
            return Err(EntryFailure::no_answer(entry, &error));
        }
        let head = ResponseHead::from_conn(&conn);
        let text = conn.response_body().read_string().await;
        let text = text.map_err(|error| EntryFailure::no_answer(entry, &error))?;
        head.check_body(entry, text)
    }
}

/// Failure of a request at one entry.
struct EntryFailure {
    failure: Failure,
    /// Whether other entries would answer the same, so that a retry is useless.
    is_final: bool,
}

impl EntryFailure {
    /// Returns the failure of a request to which the entry sent no complete answer. The
    /// request may have run unless connecting failed.
    fn no_answer(entry: SocketAddr, error: &trillium_client::Error) -> Self {
        let verdict = match error {
            trillium_client::Error::Io(error) if is_connect_error(error) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        Self {
            failure: Failure::new(verdict, format!("no answer from {entry}: {error}")),
            is_final: false,
        }
    }
}

/// Whether connecting failed, so that the entry did not receive the request.
fn is_connect_error(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::AddrNotAvailable
    )
}

/// Status and verdict header of a response.
struct ResponseHead {
    success: bool,
    server_error: bool,
    verdict: Option<Verdict>,
}

impl ResponseHead {
    fn from_conn(conn: &Conn) -> Self {
        let status = conn.status();
        let verdict = conn.response_headers().get_str(VERDICT_HEADER);
        Self {
            success: status.is_some_and(|status| status.is_success()),
            server_error: status.is_none_or(|status| status.is_server_error()),
            verdict: verdict.map(Verdict::from_header),
        }
    }

    fn check_body(&self, entry: SocketAddr, text: String) -> Result<String, EntryFailure> {
        if self.success {
            return Ok(text);
        }
        let parsed = serde_json::from_str(&text).ok();
        let failure = parsed.unwrap_or_else(|| {
            let verdict = self.verdict.unwrap_or(Verdict::MayHaveRun);
            Failure::new(verdict, format!("{entry} answered: {}", text.trim()))
        });
        Err(EntryFailure {
            failure,
            is_final: !self.server_error,
        })
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, CommandError> {
    serde_json::from_str(text).map_err(|error| {
        CommandError::may_have_run(format!("the entry's answer can't be read: {error}"))
    })
}

pub(crate) fn read_secrets(file: &Path) -> Result<Secrets, CommandError> {
    let usage_error =
        |error: &dyn std::fmt::Display| CommandError::usage(format!("{}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| usage_error(&error))?;
    Secrets::parse(&text).map_err(|error| usage_error(&error))
}
