//! Operators that race on one thread; a seed decides the order of their store calls.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use conf::publish::{Loader, PublishError, clean_up, publish, read_head};
use fakes::store::MemStore;
use kernel::Verdict;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use store::{
    Delivery, KeyRange, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply,
    Watch, keys,
};
use todc_utils::linearizability::history::Action;

use crate::{
    apply,
    history::{HistoryStep, Operation},
    numbered,
};

const OPERATORS: usize = 5;
const ROUNDS: u64 = 6;
/// Limit of the yields to other tasks before and after each call.
const MAX_YIELDS: u32 = 4;

/// A store that yields to other tasks a random number of times around each call.
struct ScheduledStore {
    store: MemStore,
    rng: Arc<Mutex<ChaCha8Rng>>,
}

impl ScheduledStore {
    async fn yield_randomly(&self) {
        let yields = self.rng.lock().unwrap().random_range(0..=MAX_YIELDS);
        for _ in 0..yields {
            smol::future::yield_now().await;
        }
    }
}

#[async_trait]
impl Store for ScheduledStore {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.yield_randomly().await;
        let reply = self.store.range(range, limit).await;
        self.yield_randomly().await;
        reply
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        self.yield_randomly().await;
        let reply = self.store.txn(txn).await;
        self.yield_randomly().await;
        reply
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.store.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.revoke(lease).await
    }

    async fn watch(
        &self,
        range: KeyRange,
        from: StoreRevision,
        delivery: Delivery,
    ) -> Result<Watch, StoreError> {
        self.store.watch(range, from, delivery).await
    }
}

type SharedSteps = Rc<RefCell<Vec<HistoryStep>>>;

/// Runs operators that publish and read while requests and answers are lost and unused
/// chunks are removed. Returns the history of their operations.
pub(crate) async fn race(seed: u64) -> Vec<HistoryStep> {
    let mem = MemStore::with_manual_time();
    let rng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
    let steps = SharedSteps::default();
    let executor = smol::LocalExecutor::new();
    let mut running = Vec::new();
    for operator in 0..OPERATORS {
        let store = ScheduledStore {
            store: mem.clone(),
            rng: Arc::clone(&rng),
        };
        running.push(executor.spawn(run_operator(store, operator, Rc::clone(&steps))));
    }
    executor
        .run(async {
            for operator in running {
                operator.await;
            }
        })
        .await;
    resolve_open_publications(&mem, steps.take()).await
}

async fn run_operator(store: ScheduledStore, operator: usize, steps: SharedSteps) {
    let record = |action| steps.borrow_mut().push((operator, action));
    for round in 0..ROUNDS {
        inject_fault(&store).await;
        let set_number = operator as u64 * 100 + round + 1;
        record(Action::Call(Operation::Publish(set_number, None)));
        let id = apply(set_number.to_string());
        let result = publish(&store, &numbered(set_number), &id, None).await;
        let revision = result.as_ref().ok().map(|published| published.revision.0);
        match result {
            Err(error) if error.verdict() == Verdict::MayHaveRun => {
                // The end is added after the race, once the head shows the outcome.
                assert!(matches!(error, PublishError::Unknown(_)));
                return;
            }
            _ => record(Action::Response(Operation::Publish(set_number, revision))),
        }
        record(Action::Call(Operation::Read(0, 0)));
        let loaded = Loader::default().load(&store).await.unwrap();
        let revision = loaded.head.revision().0;
        let set = loaded.objects.zones.keys().next();
        let set = set.map_or(0, |name| name.as_str()["zone-".len()..].parse().unwrap());
        record(Action::Response(Operation::Read(revision, set)));
    }
}

/// Injects at most one fault.
async fn inject_fault(store: &ScheduledStore) {
    let choice = store.rng.lock().unwrap().random_range(0..6);
    let faults = store.store.faults();
    match choice {
        0 => faults.lose_answers_under(keys::CONFIG_HEAD, 1),
        1 => faults.lose_requests_under(keys::CONFIG_HEAD, 1),
        2 => faults.lose_answers_under(keys::config_chunk(""), 1),
        3 => drop(clean_up(store).await),
        _ => {}
    }
}

/// Adds the ends of publications with an unknown outcome, according to the recent
/// publications in the head.
async fn resolve_open_publications(
    mem: &MemStore,
    mut steps: Vec<HistoryStep>,
) -> Vec<HistoryStep> {
    let head = read_head(mem).await.unwrap().head.unwrap();
    let applied = head.recent.into_iter();
    let applied: BTreeMap<String, u64> = applied.map(|a| (a.id.0, a.revision.0)).collect();
    let mut open_publishes = BTreeMap::new();
    for (operator, action) in &steps {
        match action {
            Action::Call(Operation::Publish(number, _)) => {
                open_publishes.insert(*operator, *number)
            }
            Action::Call(Operation::Read(..)) => None,
            Action::Response(_) => open_publishes.remove(operator),
        };
    }
    for (operator, number) in open_publishes {
        let revision = applied.get(&number.to_string()).copied();
        let end = Operation::Publish(number, revision);
        steps.push((operator, Action::Response(end)));
    }
    steps
}
