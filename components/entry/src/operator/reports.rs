//! Reports and events for managers.
//!
//! `GET /v1/report/KIND` makes one report and `GET /v1/events` gives what it is
//! made from, so that its sums can be added up by hand. See `docs/ACCOUNTS.md`.

use std::{
    collections::BTreeMap, future::Future, pin::Pin, str::FromStr, sync::Arc, time::Duration,
};

use kernel::{Time, Verdict, verdict::VERDICT_HEADER};
use report::{Accounts, Filter, Period, Report, ReportInput, format, html, text};
use trillium::{Conn, Status};
use trillium_router::{Router, RouterConnExt};

use super::{
    Context,
    reply::{Failure, done, failed},
};

/// Gathers the accounts of a period from everywhere.
pub type AccountsOf =
    Box<dyn Fn(Period) -> Pin<Box<dyn Future<Output = Accounts> + Send>> + Send + Sync>;

/// The period of a report that is asked for without a start.
const DEFAULT_PERIOD: Duration = Duration::from_secs(24 * 3600);
/// The same for the burn report, whose longest window it is.
const BURN_PERIOD: Duration = Duration::from_secs(3 * 24 * 3600);
const BURN: &str = "burn";

const KNOWN: [&str; 6] = ["from", "until", "team", "service", "zone", "format"];

type Refused = (Status, Failure);

/// How a report is shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Shown {
    Text,
    #[default]
    Json,
    Html,
}

impl FromStr for Shown {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "html" => Ok(Self::Html),
            _ => Err(format!("the format {name:?} is none of text, json, html")),
        }
    }
}

/// What was asked for.
struct Asked {
    period: Period,
    /// No end was asked for.
    ends_now: bool,
    filter: Filter,
    shown: Shown,
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
    let asked = match asked(&conn, cx.clock.now(), DEFAULT_PERIOD) {
        Ok(asked) => asked,
        Err((status, failure)) => return failed(conn, status, &failure),
    };
    let mut accounts = gather(cx, &asked).await;
    asked.filter.retain_matching(&mut accounts);
    done(conn, &accounts)
}

/// Gathers what was asked for; a period without an end ends at the gathering.
async fn gather(cx: &Context, asked: &Asked) -> Accounts {
    let mut accounts = (cx.accounts)(asked.period).await;
    if asked.ends_now {
        accounts.period.until = accounts.period.until.max(accounts.gathered_at);
    }
    accounts
}

async fn report(cx: &Context, conn: Conn) -> Conn {
    match make(cx, &conn).await {
        Ok((report, shown)) => show(conn, &report, shown),
        Err((status, failure)) => failed(conn, status, &failure),
    }
}

async fn make(cx: &Context, conn: &Conn) -> Result<(Report, Shown), Refused> {
    let kind = conn.param("kind").unwrap_or_default().to_owned();
    let default = if kind == BURN {
        BURN_PERIOD
    } else {
        DEFAULT_PERIOD
    };
    let asked = asked(conn, cx.clock.now(), default)?;
    report::check_kind(&kind).map_err(|error| refuse(Status::NotFound, error.to_string()))?;
    let accounts = gather(cx, &asked).await;
    let in_force = cx.config.in_force();
    let input = ReportInput {
        accounts: &accounts,
        objects: &in_force.objects,
        filter: &asked.filter,
    };
    let report = report::build(&kind, &input)
        .map_err(|error| refuse(Status::NotFound, error.to_string()))?;
    Ok((report, asked.shown))
}

fn show(conn: Conn, report: &Report, shown: Shown) -> Conn {
    let (kind, body) = match shown {
        Shown::Json => return done(conn, report),
        Shown::Text => ("text/plain; charset=utf-8", text::render(report)),
        Shown::Html => ("text/html; charset=utf-8", html::render(report)),
    };
    conn.with_response_header(VERDICT_HEADER, Verdict::Done.as_str())
        .with_response_header("content-type", kind)
        .with_status(Status::Ok)
        .with_body(body)
        .halt()
}

fn refuse(status: Status, message: impl Into<String>) -> Refused {
    (status, Failure::new(Verdict::NotRun, message))
}

fn asked(conn: &Conn, now: Time, default: Duration) -> Result<Asked, Refused> {
    parse(conn.querystring(), now, default).map_err(|message| refuse(Status::BadRequest, message))
}

fn parse(query: &str, now: Time, default: Duration) -> Result<Asked, String> {
    let mut fields: BTreeMap<String, String> = BTreeMap::new();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        if !KNOWN.contains(&name.as_ref()) {
            let known = KNOWN.join(", ");
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
    Ok(Asked {
        period: Period { from, until },
        ends_now: end.is_none(),
        filter: Filter {
            team: field(&fields, "team")?,
            service: field(&fields, "service")?,
            zone: field(&fields, "zone")?,
        },
        shown: field(&fields, "format")?.unwrap_or_default(),
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
