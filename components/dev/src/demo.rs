//! The demo: lookups and a night of batch work through a zone change.

use std::{net::SocketAddr, time::Duration};

use fakes::history::{HistoryEnd, Record, check};
use kernel::{Clock, Resources, TaskClass, TaskState, Time, Urgency, Verdict};
use proto::messages::JobReply;
use smol::Task;
use trillium_client::Method;

use crate::{client::EntryClient, client::Reply, plan::SERVICE, system::System};

/// How long any step of the demo may take.
const PATIENCE: Duration = Duration::from_secs(60);
/// How often a step looks whether it is done.
const POLL: Duration = Duration::from_millis(100);
/// How many callers look things up at a time.
const CALLERS: usize = 6;
/// How long a caller waits between two lookups.
const CALLER_PAUSE: Duration = Duration::from_millis(5);
/// How long the availability zone stays out.
const ZONE_OUT: Duration = Duration::from_secs(4);
/// How long the night goes on before the availability zone is taken out.
const BEFORE_ZONE_OUT: Duration = Duration::from_secs(3);
/// The reports that the demo prints.
const REPORTS: [&str; 5] = ["allocations", "expense", "wait", "zones", "burn"];

/// A job of the demo's night.
struct Job {
    name: &'static str,
    team: &'static str,
    urgency: Urgency,
    tasks: u32,
    need: Resources,
    run_millis: u64,
}

const NIGHT: [Job; 3] = [
    Job {
        name: "statements",
        team: "bookings",
        urgency: Urgency::Normal,
        tasks: 30,
        need: Resources::new(1000, 512, 0),
        run_millis: 1500,
    },
    Job {
        name: "reconciliation",
        team: "accounting",
        urgency: Urgency::Normal,
        tasks: 12,
        need: Resources::new(2000, 1024, 0),
        run_millis: 2000,
    },
    Job {
        name: "clashes",
        team: "bookings",
        urgency: Urgency::Urgent,
        tasks: 2,
        need: Resources::new(1000, 512, 0),
        run_millis: 500,
    },
];

/// How many tasks the night has; lists leave out a task on its way between cells.
const NIGHT_TASKS: u32 = 44;

/// Why the demo ended early.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// An operator's request was not done.
    #[error("{request}: status {status}, {verdict}: {body}")]
    Refused {
        /// The request.
        request: String,
        /// Its HTTP status.
        status: u16,
        /// Whether it may have run.
        verdict: Verdict,
        /// What the entry said.
        body: String,
    },
    /// Something did not happen in time.
    #[error("{0} did not happen within a minute")]
    Timeout(&'static str),
    /// An invariant was broken.
    #[error("broken: {}", .0.join("; "))]
    InvariantsViolated(Vec<String>),
    /// No entry runs.
    #[error("no entry runs")]
    NoEntry,
}

/// What the callers of the demo saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupStats {
    /// Times of whole answers, in microseconds, sorted.
    pub latencies_micros: Vec<u64>,
    /// Answers that were not whole or not there.
    pub failed: usize,
}

impl LookupStats {
    /// The time that `permille` thousandths of the answers did not exceed.
    #[must_use]
    pub fn quantile(&self, permille: usize) -> u64 {
        let index = self.latencies_micros.len() * permille / 1000;
        let last = self.latencies_micros.len().saturating_sub(1);
        self.latencies_micros
            .get(index.min(last))
            .copied()
            .unwrap_or(0)
    }
}

/// What the demo brought.
#[derive(Clone, Debug, Default)]
pub struct DemoOutcome {
    /// The callers' side.
    pub lookups: LookupStats,
    /// Tasks that finished.
    pub finished_tasks: u32,
    /// Every report as text, in the order they are printed.
    pub reports: Vec<String>,
}

/// Runs the demo; `say` is told of each step.
///
/// # Errors
///
/// Returns a [`DemoError`] if a step fails or an invariant is broken.
pub async fn run(system: &System, say: impl Fn(&str)) -> Result<DemoOutcome, DemoError> {
    let demo = Demo::new(system)?;
    say("waiting for all VMs to announce themselves");
    demo.all_announced().await?;
    say("publishing the object set");
    demo.publish().await?;
    demo.all_in_force().await?;
    say("lookups begin, and the night's jobs are submitted");
    let callers = demo.start_callers();
    demo.submit_night().await?;
    smol::Timer::after(BEFORE_ZONE_OUT).await;
    let zone = system.plan.zones[0].clone();
    say(&format!("zone {zone} is taken out"));
    demo.set_zone(&zone, false).await?;
    smol::Timer::after(ZONE_OUT).await;
    say(&format!("zone {zone} comes back"));
    demo.set_zone(&zone, true).await?;
    let finished_tasks = demo.all_finished().await?;
    say("all tasks have finished");
    let lookups = stop_callers(callers).await;
    let reports = demo.reports().await?;
    let broken = check(&system.history.records(), HistoryEnd::Interrupted);
    if !broken.is_empty() {
        return Err(DemoError::InvariantsViolated(broken));
    }
    Ok(DemoOutcome {
        lookups,
        finished_tasks,
        reports,
    })
}

struct Demo<'a> {
    system: &'a System,
    client: EntryClient,
    entry: SocketAddr,
    callers: Vec<SocketAddr>,
    clock: Clock,
}

impl<'a> Demo<'a> {
    fn new(system: &'a System) -> Result<Self, DemoError> {
        let first = system.running_entries().next().ok_or(DemoError::NoEntry)?;
        Ok(Self {
            system,
            client: EntryClient::default(),
            entry: first.operators,
            callers: system
                .running_entries()
                .map(|entry| entry.callers)
                .collect(),
            clock: system.clock,
        })
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<String, DemoError> {
        let reply = self
            .client
            .operator_request(self.entry, method, path, body)
            .await;
        match reply.status {
            200..=299 => Ok(reply.body),
            _ => Err(refused(path, reply)),
        }
    }

    /// Waits until `done` of a page's JSON is true.
    async fn until(
        &self,
        what: &'static str,
        path: &str,
        done: impl Fn(&serde_json::Value) -> bool,
    ) -> Result<serde_json::Value, DemoError> {
        let give_up = self.clock.now() + PATIENCE;
        while !give_up.passed(self.clock.now()) {
            if let Ok(text) = self.ask(Method::Get, path, None).await {
                let value = serde_json::from_str(&text).unwrap_or_default();
                if done(&value) {
                    return Ok(value);
                }
            }
            smol::Timer::after(POLL).await;
        }
        Err(DemoError::Timeout(what))
    }

    async fn all_announced(&self) -> Result<(), DemoError> {
        let expected = self.system.vms.len();
        let seen =
            |value: &serde_json::Value| value["vms"].as_array().map_or(0, Vec::len) == expected;
        let what = "the announcement of all VMs";
        self.until(what, "/v1/revisions", seen).await.map(drop)
    }

    async fn publish(&self) -> Result<(), DemoError> {
        let body = serde_json::json!({
            "files": [{"file": "demo.toml", "text": self.system.plan.objects()}],
            "apply_id": "demo-1",
            "who": "demo",
        });
        let path = "/v1/objects/apply";
        self.ask(Method::Post, path, Some(body.to_string()))
            .await
            .map(drop)
    }

    async fn all_in_force(&self) -> Result<(), DemoError> {
        let in_force = |value: &serde_json::Value| {
            let here = &value["here"];
            let vms = value["vms"].as_array();
            *here != 0 && vms.is_some_and(|vms| vms.iter().all(|vm| vm["revision"] == *here))
        };
        let what = "the configuration in force everywhere";
        self.until(what, "/v1/revisions", in_force).await.map(drop)
    }

    async fn submit_night(&self) -> Result<(), DemoError> {
        for job in NIGHT {
            self.submit(&job).await?;
        }
        Ok(())
    }

    async fn submit(&self, job: &Job) -> Result<(), DemoError> {
        let (run_millis, used_milli) = (job.run_millis, job.need.cpu_milli / 2);
        let spec = serde_json::json!({
            "name": job.name,
            "team": job.team,
            "class": TaskClass::Batch,
            "urgency": job.urgency,
            "tasks": job.tasks,
            "need": job.need,
            "expected_run": Duration::from_millis(run_millis),
            "program": format!("run={run_millis} use={used_milli}"),
        });
        let body = serde_json::json!({ "spec": spec });
        self.ask(Method::Post, "/v1/jobs", Some(body.to_string()))
            .await
            .map(drop)
    }

    async fn set_zone(&self, zone: &str, open: bool) -> Result<(), DemoError> {
        let verb = if open { "in" } else { "out" };
        let body = serde_json::json!({"apply_id": format!("demo-{zone}-{verb}"), "who": "demo"});
        let path = format!("/v1/zones/{zone}/{verb}");
        self.ask(Method::Post, &path, Some(body.to_string()))
            .await?;
        if let Ok(zone) = zone.parse() {
            let at = self.clock.now();
            self.system.history.add(Record::Zone { at, zone, open });
        }
        Ok(())
    }

    async fn all_finished(&self) -> Result<u32, DemoError> {
        let finished = |value: &serde_json::Value| {
            let reply: JobReply = serde_json::from_value(value.clone()).unwrap_or_default();
            count(&reply) == (NIGHT_TASKS, 0)
        };
        let what = "the end of all tasks";
        let value = self.until(what, "/v1/jobs", finished).await?;
        let reply: JobReply = serde_json::from_value(value).unwrap_or_default();
        Ok(count(&reply).0)
    }

    async fn reports(&self) -> Result<Vec<String>, DemoError> {
        let mut reports = Vec::new();
        for kind in REPORTS {
            let path = format!("/v1/report/{kind}?format=text");
            reports.push(self.ask(Method::Get, &path, None).await?);
        }
        Ok(reports)
    }

    fn start_callers(&self) -> Vec<Caller> {
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let entry = self.callers[number % self.callers.len()];
            let (stop, stopped) = smol::channel::bounded(1);
            let looking = look_up(self.client.clone(), entry, number, self.clock, stopped);
            let task = smol::spawn(looking);
            callers.push(Caller { stop, task });
        }
        callers
    }
}

struct Caller {
    stop: smol::channel::Sender<()>,
    task: Task<LookupStats>,
}

async fn look_up(
    client: EntryClient,
    entry: SocketAddr,
    number: usize,
    clock: Clock,
    stopped: smol::channel::Receiver<()>,
) -> LookupStats {
    let mut lookups = LookupStats::default();
    let mut count = 0;
    while stopped.is_empty() {
        count += 1;
        let id = format!("lookup-{number}-{count}");
        let path = format!("/{SERVICE}/players/{count}");
        let begun: Time = clock.now();
        let reply = client
            .caller_request(entry, Method::Get, &path, &id, None)
            .await;
        match (reply.status, reply.verdict) {
            (200, Verdict::Done) => {
                let span = clock.now().since(begun);
                lookups.latencies_micros.push(span.as_micros() as u64);
            }
            _ => {
                tracing::warn!(?reply, "a lookup failed");
                lookups.failed += 1;
            }
        }
        smol::Timer::after(CALLER_PAUSE).await;
    }
    lookups
}

async fn stop_callers(callers: Vec<Caller>) -> LookupStats {
    let mut all = LookupStats::default();
    for caller in callers {
        let _ = caller.stop.send(()).await;
        let lookups = caller.task.await;
        all.latencies_micros.extend(lookups.latencies_micros);
        all.failed += lookups.failed;
    }
    all.latencies_micros.sort_unstable();
    all
}

/// Tasks that finished and tasks that have not ended.
fn count(reply: &JobReply) -> (u32, u32) {
    let (mut done, mut open) = (0, 0);
    for job in &reply.jobs {
        for line in &job.counts {
            match line.state {
                TaskState::Finished => done += line.count,
                state if state.is_final() => {}
                _ => open += line.count,
            }
        }
    }
    (done, open)
}

fn refused(what: &str, reply: Reply) -> DemoError {
    DemoError::Refused {
        request: what.to_owned(),
        status: reply.status,
        verdict: reply.verdict,
        body: reply.body,
    }
}
