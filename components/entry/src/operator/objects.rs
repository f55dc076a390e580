//! Checks, publishes, edits and shows the object set.

use std::sync::Arc;

use conf::{
    Diff, Problems, SourceFile, diff,
    publish::{
        self, ApplyId, ApplyInfo, EditError, Loader, PublishError, Published, drain_vm,
        set_zone_state, undrain_vm,
    },
};
use kernel::{AvailabilityZoneName, ObjectSet, Revision, Verdict, VmName, object::ZoneState};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use trillium::{Conn, Status};
use trillium_router::{Router, RouterConnExt};

use super::{
    Context,
    reply::{Failure, read_json, write_failure, write_success},
};

/// Requests a check of a complete set, or its difference from the newest set.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckRequest {
    /// All files of the set.
    pub files: Vec<SourceFile>,
}

/// Requests the publication of a complete set.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// All files of the set.
    pub files: Vec<SourceFile>,
    /// Identifies the request; repeats under the same id publish once.
    pub apply_id: ApplyId,
    /// Name of the operator who sends the request.
    pub who: String,
    /// The only revision that may be replaced; `None` allows any.
    #[serde(default)]
    pub base: Option<Revision>,
}

/// Requests a small change of the newest set.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Identifies the request; repeats under the same id apply the change once.
    pub apply_id: ApplyId,
    /// Name of the operator who sends the request.
    pub who: String,
}

/// The difference of a set from the newest set.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiffReply {
    /// The newest revision.
    pub revision: Revision,
    /// The changes that turn the newest set into the given one.
    pub difference: Diff,
}

/// The set in force at the entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectsReply {
    /// The revision.
    pub revision: Revision,
    /// Time since the revision was proved to be the newest, in milliseconds; `None`
    /// before any proof.
    pub proof_age_millis: Option<u64>,
    /// The objects of this revision.
    pub objects: ObjectSet,
}

/// Result of a handler: the response body, or status and body of an error response.
pub(super) type HandlerResult<T> = Result<T, (Status, Failure)>;

pub(crate) fn routes(cx: Arc<Context>) -> Router {
    let cx = &cx;
    let router = Router::new();
    let router = route!(router, post, "/v1/objects/check", cx, check);
    let router = route!(router, post, "/v1/objects/diff", cx, difference);
    let router = route!(router, post, "/v1/objects/apply", cx, apply);
    let router = route!(router, get, "/v1/objects", cx, show);
    let router = route!(router, get, "/v1/revisions", cx, revisions);
    let router = route!(router, post, "/v1/zones/:name/out", cx, zone_out);
    let router = route!(router, post, "/v1/zones/:name/in", cx, zone_in);
    let router = route!(router, post, "/v1/vms/:name/drain", cx, drain);
    route!(router, post, "/v1/vms/:name/undrain", cx, undrain)
}

async fn check(cx: &Context, conn: &mut Conn) -> HandlerResult<ObjectSet> {
    let req: CheckRequest = read_json(conn, cx.body_bytes).await?;
    conf::parse(&req.files).map_err(invalid_set)
}

async fn difference(cx: &Context, conn: &mut Conn) -> HandlerResult<DiffReply> {
    let req: CheckRequest = read_json(conn, cx.body_bytes).await?;
    let objects = conf::parse(&req.files).map_err(invalid_set)?;
    let newest = Loader::default()
        .load(&*cx.store)
        .await
        .map_err(|error| publish_failure(&error.into()))?;
    Ok(DiffReply {
        revision: newest.head.revision(),
        difference: diff(&newest.objects, &objects),
    })
}

async fn apply(cx: &Context, conn: &mut Conn) -> HandlerResult<Published> {
    let req: ApplyRequest = read_json(conn, cx.body_bytes).await?;
    let objects = conf::parse(&req.files).map_err(invalid_set)?;
    let apply = ApplyInfo {
        id: req.apply_id,
        who: req.who,
        requested_at: cx.clock.now(),
    };
    let published = publish::publish(&*cx.store, &objects, &apply, req.base)
        .await
        .map_err(|error| publish_failure(&error))?;
    load_published(cx).await;
    Ok(published)
}

async fn show(cx: &Context, _: &mut Conn) -> HandlerResult<ObjectsReply> {
    let in_force = cx.config.in_force();
    let now = cx.clock.now();
    let age = in_force.proved_at.map(|at| now.since(at).as_millis());
    Ok(ObjectsReply {
        revision: in_force.revision,
        proof_age_millis: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
        objects: ObjectSet::clone(&in_force.objects),
    })
}

async fn revisions(cx: &Context, _: &mut Conn) -> HandlerResult<super::Revisions> {
    Ok((cx.revisions)())
}

async fn zone_out(cx: &Context, conn: &mut Conn) -> HandlerResult<Published> {
    set_zone(cx, conn, ZoneState::Out).await
}

async fn zone_in(cx: &Context, conn: &mut Conn) -> HandlerResult<Published> {
    set_zone(cx, conn, ZoneState::In).await
}

async fn set_zone(cx: &Context, conn: &mut Conn, state: ZoneState) -> HandlerResult<Published> {
    let zone: AvailabilityZoneName = path_name(conn)?;
    edit(cx, conn, |set| set_zone_state(set, &zone, state)).await
}

async fn drain(cx: &Context, conn: &mut Conn) -> HandlerResult<Published> {
    let vm: VmName = path_name(conn)?;
    let Some(zone) = (cx.zone_of)(&vm) else {
        let message = format!("no VM named {vm} has announced itself to this entry");
        return Err((Status::NotFound, Failure::new(Verdict::NotRun, message)));
    };
    edit(cx, conn, |set| drain_vm(set, &zone, &vm)).await
}

async fn undrain(cx: &Context, conn: &mut Conn) -> HandlerResult<Published> {
    let vm: VmName = path_name(conn)?;
    edit(cx, conn, |set| undrain_vm(set, &vm)).await
}

async fn edit(
    cx: &Context,
    conn: &mut Conn,
    change: impl Fn(&mut ObjectSet) -> Result<(), Problems> + Send + Sync,
) -> HandlerResult<Published> {
    let req: EditRequest = read_json(conn, cx.body_bytes).await?;
    let apply = ApplyInfo {
        id: req.apply_id,
        who: req.who,
        requested_at: cx.clock.now(),
    };
    let published =
        publish::edit(&*cx.store, &apply, change)
            .await
            .map_err(|error| match error {
                EditError::Invalid(problems) => invalid_set(problems),
                EditError::Publish(error) => publish_failure(&error),
            })?;
    load_published(cx).await;
    Ok(published)
}

/// Loads the published configuration at once, since an operator waits for it; the
/// watch would load it too, but later.
async fn load_published(cx: &Context) {
    if let Err(error) = cx.config.refresh().await {
        tracing::warn!(%error, "the published configuration is not in force at this entry yet");
    }
}

/// Parses the `:name` parameter of the path.
pub(super) fn path_name<N: DeserializeOwned>(conn: &Conn) -> HandlerResult<N> {
    let text = conn.param("name").unwrap_or_default();
    let value = serde_json::Value::String(text.to_owned());
    serde_json::from_value(value).map_err(|error| {
        let failure = Failure::new(Verdict::NotRun, error.to_string());
        (Status::BadRequest, failure)
    })
}

/// Parses a field of the query string as a JSON boolean or string; `None` if it is
/// missing or empty.
pub(super) fn query_field<T: DeserializeOwned>(
    conn: &Conn,
    field: &str,
) -> HandlerResult<Option<T>> {
    let pairs = conn.querystring().split('&');
    let found = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, value)| *name == field && !value.is_empty());
    let Some((_, text)) = found else {
        return Ok(None);
    };
    let plain = serde_json::Value::String(text.to_owned());
    let value = match text {
        "true" | "false" => serde_json::Value::Bool(text == "true"),
        _ => plain,
    };
    serde_json::from_value(value).map(Some).map_err(|error| {
        let message = format!("the query field {field} can't be read: {error}");
        let failure = Failure::new(Verdict::NotRun, message);
        (Status::BadRequest, failure)
    })
}

fn invalid_set(problems: Problems) -> (Status, Failure) {
    (Status::UnprocessableEntity, problems.into())
}

fn publish_failure(error: &PublishError) -> (Status, Failure) {
    let status = match error {
        PublishError::Conflict { .. } => Status::Conflict,
        PublishError::Split(_) => Status::PayloadTooLarge,
        PublishError::Load(_) | PublishError::Store(_) => Status::ServiceUnavailable,
        PublishError::Unknown(_) => Status::GatewayTimeout,
    };
    (status, Failure::new(error.verdict(), error.to_string()))
}
