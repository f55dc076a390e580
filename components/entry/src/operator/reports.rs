//! Reports and accounts for managers.
//!
//! `GET /v1/report/KIND` returns one report and `GET /v1/events` the accounts that
//! it is built from, so that its sums can be verified. See `docs/ACCOUNTS.md`.

use std::{
    collections::BTreeMap, future::Future, pin::Pin, str::FromStr, sync::Arc, time::Duration,
};

use kernel::{Time, Verdict, verdict::VERDICT_HEADER};
use report::{Accounts, Filter, Period, Report, ReportInput, format, html, text};
use trillium::{Conn, Status};
use trillium_router::{Router, RouterConnExt};

use super::{
    Context,
    reply::{Failure, write_failure, write_success},
};

/// Gathers the accounts of a period from all entries and cells.
pub type AccountsSource =
    Box<dyn Fn(Period) -> Pin<Box<dyn Future<Output = Accounts> + Send>> + Send + Sync>;

/// The period of a report if the query gives no start.
const DEFAULT_PERIOD: Duration = Duration::from_secs(24 * 3600);
/// The period of a burn report if the query gives no start; its longest window.
const BURN_PERIOD: Duration = Duration::from_secs(3 * 24 * 3600);
const BURN_KIND: &str = "burn";

const PARAMETERS: [&str; 6] = ["from", "until", "team", "service", "zone", "format"];

type Rejection = (Status, Failure);

/// Output format of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OutputFormat {
    Text,
    #[default]
    Json,
    Html,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "html" => Ok(Self::Html),
            _ => Err(format!(
                "the format {name:?} is unknown; use one of text, json, html"
            )),
        }
    }
}

/// The parsed query of a request.
struct ReportQuery {
    period: Period,
    /// Whether the query gives no end.
    ends_now: bool,
    filter: Filter,
    output_format: OutputFormat,
}

pub(crate) fn routes(cx: &Arc<Context>) -> Router {
    let of_events = Arc::clone(cx);
    let of_report = Arc::clone(cx);
    Router::new()
        .get("/v1/events", move |conn: Conn| {
            let cx = Arc::clone(&of_events);
            async move { events(&cx, conn).await }
        })
        .get("/v1/report/:kind", move |conn: Conn| {
            let cx = Arc::clone(&of_report);
            async move { report(&cx, conn).await }
        })
}

async fn events(cx: &Context, conn: Conn) -> Conn {
    let query = match parse_query(&conn, cx.clock.now(), DEFAULT_PERIOD) {
        Ok(query) => query,
        Err((status, failure)) => return write_failure(conn, status, &failure),
    };
    let mut accounts = gather(cx, &query).await;
    query.filter.retain_matching(&mut accounts);
    write_success(conn, &accounts)
}

/// Gathers the accounts of the query's period; without a given end, the period ends
/// at the time of gathering.
async fn gather(cx: &Context, query: &ReportQuery) -> Accounts {
    let mut accounts = (cx.accounts)(query.period).await;
    if query.ends_now {
        accounts.period.until = accounts.period.until.max(accounts.gathered_at);
    }
    accounts
}

async fn report(cx: &Context, conn: Conn) -> Conn {
    match build_report(cx, &conn).await {
        Ok((report, output_format)) => write_report(conn, &report, output_format),
        Err((status, failure)) => write_failure(conn, status, &failure),
    }
}

async fn build_report(cx: &Context, conn: &Conn) -> Result<(Report, OutputFormat), Rejection> {
    let kind = conn.param("kind").unwrap_or_default().to_owned();
    let default = if kind == BURN_KIND {
        BURN_PERIOD
    } else {
        DEFAULT_PERIOD
    };
    let query = parse_query(conn, cx.clock.now(), default)?;
    report::check_kind(&kind).map_err(|error| reject(Status::NotFound, error.to_string()))?;
    let accounts = gather(cx, &query).await;
    let in_force = cx.config.in_force();
    let input = ReportInput {
        accounts: &accounts,
        objects: &in_force.objects,
        filter: &query.filter,
    };
    let report = report::build(&kind, &input)
        .map_err(|error| reject(Status::NotFound, error.to_string()))?;
    Ok((report, query.output_format))
}

fn write_report(conn: Conn, report: &Report, output_format: OutputFormat) -> Conn {
    let (kind, body) = match output_format {
        OutputFormat::Json => return write_success(conn, report),
        OutputFormat::Text => ("text/plain; charset=utf-8", text::render(report)),
        OutputFormat::Html => ("text/html; charset=utf-8", html::render(report)),
    };
    conn.with_response_header(VERDICT_HEADER, Verdict::Done.as_str())
        .with_response_header("content-type", kind)
        .with_status(Status::Ok)
        .with_body(body)
        .halt()
}

fn reject(status: Status, message: impl Into<String>) -> Rejection {
    (status, Failure::new(Verdict::NotRun, message))
}

fn parse_query(conn: &Conn, now: Time, default: Duration) -> Result<ReportQuery, Rejection> {
    parse_fields(conn.querystring(), now, default)
        .map_err(|message| reject(Status::BadRequest, message))
}

fn parse_fields(query: &str, now: Time, default: Duration) -> Result<ReportQuery, String> {
    let mut fields: BTreeMap<String, String> = BTreeMap::new();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        if !PARAMETERS.contains(&name.as_ref()) {
            let known = PARAMETERS.join(", ");
            return Err(format!("there is no parameter {name:?}; there are {known}"));
        }
        fields.insert(name.into_owned(), value.into_owned());
    }
    let time = |name: &str| match fields.get(name) {
        Some(value) => format::parse_time(value).map(Some),
        None => Ok(None),
    };
    let end = time("until")?;
    let until = end.unwrap_or(now);
    let from = time("from")?.unwrap_or(until - default);
    if from >= until {
        return Err("from is not before until".to_owned());
    }
    Ok(ReportQuery {
        period: Period { from, until },
        ends_now: end.is_none(),
        filter: Filter {
            team: field(&fields, "team")?,
            service: field(&fields, "service")?,
            zone: field(&fields, "zone")?,
        },
        output_format: field(&fields, "format")?.unwrap_or_default(),
    })
}

fn field<T: FromStr>(fields: &BTreeMap<String, String>, name: &str) -> Result<Option<T>, String>
where
    T::Err: std::fmt::Display,
{
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    let parsed = value.parse().map_err(|error| format!("{name}: {error}"))?;
    Ok(Some(parsed))
}
