//! Calls from the command line to the operators' port of an entry.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use clap::ArgMatches;
use entry::operator::Failure;
use kernel::{Verdict, secret::Secrets, verdict::VERDICT_HEADER};
use serde::{Serialize, de::DeserializeOwned};
use trillium_client::{Body, Client as HttpClient, Conn, KnownHeaderName, Method};
use trillium_smol::ClientConfig;

use crate::failure::CommandError;

/// How long one entry has to answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The entries that a command may talk to.
pub(crate) struct Client {
    entries: Vec<SocketAddr>,
    secrets: Secrets,
    http: HttpClient,
}

impl Client {
    /// Reads `--entry` and `--secret-file`.
    pub(crate) fn of(matches: &ArgMatches) -> Result<Self, CommandError> {
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

    /// Asks for something that changes nothing.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        parse(&self.get_text(path).await?)
    }

    /// As [`Self::get`], without reading the answer.
    pub(crate) async fn get_text(&self, path: &str) -> Result<String, CommandError> {
        let text = self.ask(Method::Get, path, None).await;
        // A read has not run, whatever became of it.
        text.map_err(|failure| {
            let verdict = Verdict::NotRun;
            CommandError::Failed(Failure { verdict, ..failure })
        })
    }

    /// Asks for a change.
    ///
    /// Every change carries its own identity, so it can be repeated at the next
    /// entry when it is not known what became of it at one.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CommandError> {
        let body = serde_json::to_string(body).map_err(CommandError::not_run)?;
        parse(&self.ask(Method::Post, path, Some(body)).await?)
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<String, Failure> {
        let mut last = Failure::new(Verdict::NotRun, "no entry is named");
        let mut verdict = Verdict::NotRun;
        for entry in &self.entries {
            let failed = match self.ask_one(*entry, method, path, body.clone()).await {
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

    async fn ask_one(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<String, Failed> {
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
            return Err(Failed::silent(entry, &error));
        }
        let answered = Answer::of(&conn);
        let text = conn.response_body().read_string().await;
        let text = text.map_err(|error| Failed::silent(entry, &error))?;
        answered.judge(entry, text)
    }
}

/// Why one entry did not do what was asked.
struct Failed {
    failure: Failure,
    /// Another entry would answer the same.
    is_final: bool,
}

impl Failed {
    /// No whole answer came.
    fn silent(entry: SocketAddr, error: &trillium_client::Error) -> Self {
        let verdict = match error {
            trillium_client::Error::Io(error) if never_connected(error) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        Self {
            failure: Failure::new(verdict, format!("no answer from {entry}: {error}")),
            is_final: false,
        }
    }
}

/// Whether the system refused the connection, so that nothing was sent.
fn never_connected(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::AddrNotAvailable
    )
}

/// What the head of an answer says.
struct Answer {
    success: bool,
    server_error: bool,
    verdict: Option<Verdict>,
}

impl Answer {
    fn of(conn: &Conn) -> Self {
        let status = conn.status();
        let verdict = conn.response_headers().get_str(VERDICT_HEADER);
        Self {
            success: status.is_some_and(|status| status.is_success()),
            server_error: status.is_none_or(|status| status.is_server_error()),
            verdict: verdict.map(Verdict::from_header),
        }
    }

    fn judge(&self, entry: SocketAddr, text: String) -> Result<String, Failed> {
        if self.success {
            return Ok(text);
        }
        let stated = serde_json::from_str(&text).ok();
        let failure = stated.unwrap_or_else(|| {
            let verdict = self.verdict.unwrap_or(Verdict::MayHaveRun);
            Failure::new(verdict, format!("{entry} answered: {}", text.trim()))
        });
        Err(Failed {
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
    let unusable =
        |error: &dyn std::fmt::Display| CommandError::usage(format!("{}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|error| unusable(&error))?;
    Secrets::parse(&text).map_err(|error| unusable(&error))
}
