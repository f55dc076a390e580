//! The demo: lookups and batch jobs while an availability zone goes out and comes back.

use std::{net::SocketAddr, time::Duration};

use fakes::history::{HistoryEnd, Record, check};
use kernel::{Clock, Resources, TaskClass, TaskState, Time, Urgency, Verdict};
use proto::messages::JobReply;
use smol::Task;
use trillium_client::Method;

use crate::{client::EntryClient, client::Reply, plan::SERVICE, system::System};

/// Limit for each step of the demo.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a step checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Pause of a caller between two lookups.
const CALLER_PAUSE: Duration = Duration::from_millis(5);
/// How long the availability zone stays out of service.
const ZONE_OUT_DURATION: Duration = Duration::from_secs(4);
/// Time from the submission of the jobs until the availability zone is taken out.
const ZONE_OUT_DELAY: Duration = Duration::from_secs(3);
/// The reports that the demo prints.
const REPORTS: [&str; 5] = ["allocations", "expense", "wait", "zones", "burn"];

/// A batch job of the demo.
struct DemoJob {
    name: &'static str,
    team: &'static str,
    urgency: Urgency,
    tasks: u32,
    need: Resources,
    run_millis: u64,
}

const JOBS: [DemoJob; 3] = [
    DemoJob {
        name: "statements",
        team: "bookings",
        urgency: Urgency::Normal,
        tasks: 30,
        need: Resources::new(1000, 512, 0),
        run_millis: 1500,
    },
    DemoJob {
        name: "reconciliation",
        team: "accounting",
        urgency: Urgency::Normal,
        tasks: 12,
        need: Resources::new(2000, 1024, 0),
        run_millis: 2000,
    },
    DemoJob {
        name: "clashes",
        team: "bookings",
        urgency: Urgency::Urgent,
        tasks: 2,
        need: Resources::new(1000, 512, 0),
        run_millis: 500,
    },
];

/// Number of tasks of all jobs. A list of jobs omits a task that moves between cells, so
/// the demo compares with this number.
const JOB_TASKS: u32 = 44;

/// The demo failed.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// An operator's request failed.
    #[error("{request} failed with status {status} ({verdict}): {body}")]
    Refused {
        /// Path of the request.
        request: String,
        /// HTTP status of the answer.
        status: u16,
        /// Whether the request may have run.
        verdict: Verdict,
        /// Body of the answer.
        body: String,
    },
    /// An awaited event did not happen within the limit of a step.
    #[error("{0} did not happen within a minute")]
    Timeout(&'static str),
    /// The history violates invariants.
    #[error("invariants violated: {}", .0.join("; "))]
    InvariantsViolated(Vec<String>),
    /// No entry runs.
    #[error("no entry runs that could serve a request")]
    NoEntry,
}

/// Latencies and failures of the callers' lookups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupStats {
    /// Latencies of successful lookups, in microseconds, sorted.
    pub latencies_micros: Vec<u64>,
    /// Number of failed lookups.
    pub failed: usize,
}

impl LookupStats {
    /// Returns the latency quantile at `permille` thousandths, in microseconds.
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

/// The results of the demo.
#[derive(Clone, Debug, Default)]
pub struct DemoOutcome {
    /// The callers' lookups.
    pub lookups: LookupStats,
    /// Number of finished tasks.
    pub finished_tasks: u32,
    /// The reports as text, in the order of printing.
    pub reports: Vec<String>,
}

/// Runs the demo; calls `on_step` with a description of each step.
///
/// # Errors
///
/// Returns a [`DemoError`] if a step fails or an invariant is violated.
pub async fn run(system: &System, on_step: impl Fn(&str)) -> Result<DemoOutcome, DemoError> {
    let demo = Demo::new(system)?;
    on_step("waiting for the heartbeats of all VMs");
    demo.wait_all_announced().await?;
    on_step("publishing the object set");
    demo.publish().await?;
    demo.wait_in_force().await?;
    on_step("starting lookups and submitting the jobs");
    let callers = demo.start_callers();
    demo.submit_jobs().await?;
    smol::Timer::after(ZONE_OUT_DELAY).await;
    let zone = system.plan.zones[0].clone();
    on_step(&format!("taking zone {zone} out of service"));
    demo.set_zone(&zone, false).await?;
    smol::Timer::after(ZONE_OUT_DURATION).await;
    on_step(&format!("bringing zone {zone} back"));
    demo.set_zone(&zone, true).await?;
    let finished_tasks = demo.wait_all_finished().await?;
    on_step("all tasks have finished");
    let lookups = stop_callers(callers).await;
    let reports = demo.reports().await?;
    let violations = check(&system.history.records(), HistoryEnd::Interrupted);
    if !violations.is_empty() {
        return Err(DemoError::InvariantsViolated(violations));
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

    async fn request(
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
            _ => Err(to_refused(path, reply)),
        }
    }

    /// Reads `path` until `done` is true of its JSON. Returns the JSON.
    async fn wait_until(
        &self,
        awaited: &'static str,
        path: &str,
        done: impl Fn(&serde_json::Value) -> bool,
    ) -> Result<serde_json::Value, DemoError> {
        let deadline = self.clock.now() + STEP_TIMEOUT;
        while !deadline.passed(self.clock.now()) {
            if let Ok(text) = self.request(Method::Get, path, None).await {
                let value = serde_json::from_str(&text).unwrap_or_default();
                if done(&value) {
                    return Ok(value);
                }
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        Err(DemoError::Timeout(awaited))
    }

    async fn wait_all_announced(&self) -> Result<(), DemoError> {
        let expected = self.system.vms.len();
        let all_listed =
            |value: &serde_json::Value| value["vms"].as_array().map_or(0, Vec::len) == expected;
        let awaited = "the announcement of all VMs";
        self.wait_until(awaited, "/v1/revisions", all_listed)
            .await
            .map(drop)
    }

    async fn publish(&self) -> Result<(), DemoError> {
        let body = serde_json::json!({
            "files": [{"file": "demo.toml", "text": self.system.plan.objects()}],
            "apply_id": "demo-1",
            "who": "demo",
        });
        let path = "/v1/objects/apply";
        self.request(Method::Post, path, Some(body.to_string()))
            .await
            .map(drop)
    }

    async fn wait_in_force(&self) -> Result<(), DemoError> {
        let in_force = |value: &serde_json::Value| {
            let here = &value["here"];
            let vms = value["vms"].as_array();
            *here != 0 && vms.is_some_and(|vms| vms.iter().all(|vm| vm["revision"] == *here))
        };
        let awaited = "the configuration in force everywhere";
        self.wait_until(awaited, "/v1/revisions", in_force)
            .await
            .map(drop)
    }

    async fn submit_jobs(&self) -> Result<(), DemoError> {
        for job in JOBS {
            self.submit(&job).await?;
        }
        Ok(())
    }

    async fn submit(&self, job: &DemoJob) -> Result<(), DemoError> {
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
        self.request(Method::Post, "/v1/jobs", Some(body.to_string()))
            .await
            .map(drop)
    }

    async fn set_zone(&self, zone: &str, open: bool) -> Result<(), DemoError> {
        let verb = if open { "in" } else { "out" };
        let body = serde_json::json!({"apply_id": format!("demo-{zone}-{verb}"), "who": "demo"});
        let path = format!("/v1/zones/{zone}/{verb}");
        self.request(Method::Post, &path, Some(body.to_string()))
            .await?;
        if let Ok(zone) = zone.parse() {
            let at = self.clock.now();
            self.system.history.add(Record::Zone { at, zone, open });
        }
        Ok(())
    }

    async fn wait_all_finished(&self) -> Result<u32, DemoError> {
        let finished = |value: &serde_json::Value| {
            let reply: JobReply = serde_json::from_value(value.clone()).unwrap_or_default();
            count_tasks(&reply) == (JOB_TASKS, 0)
        };
        let awaited = "the end of all tasks";
        let value = self.wait_until(awaited, "/v1/jobs", finished).await?;
        let reply: JobReply = serde_json::from_value(value).unwrap_or_default();
        Ok(count_tasks(&reply).0)
    }

    async fn reports(&self) -> Result<Vec<String>, DemoError> {
        let mut reports = Vec::new();
        for kind in REPORTS {
            let path = format!("/v1/report/{kind}?format=text");
            reports.push(self.request(Method::Get, &path, None).await?);
        }
        Ok(reports)
    }

    fn start_callers(&self) -> Vec<Caller> {
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let entry = self.callers[number % self.callers.len()];
            let (stop, stopped) = smol::channel::bounded(1);
            let lookups = look_up(self.client.clone(), entry, number, self.clock, stopped);
            let task = smol::spawn(lookups);
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
        let started_at: Time = clock.now();
        let reply = client
            .caller_request(entry, Method::Get, &path, &id, None)
            .await;
        match (reply.status, reply.verdict) {
            (200, Verdict::Done) => {
                let latency = clock.now().since(started_at);
                lookups.latencies_micros.push(latency.as_micros() as u64);
            }
            _ => {
                tracing::warn!(?reply, "lookup failed");
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

/// Returns the numbers of finished tasks and of tasks that have not ended.
fn count_tasks(reply: &JobReply) -> (u32, u32) {
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

fn to_refused(path: &str, reply: Reply) -> DemoError {
    DemoError::Refused {
        request: path.to_owned(),
        status: reply.status,
        verdict: reply.verdict,
        body: reply.body,
    }
}
