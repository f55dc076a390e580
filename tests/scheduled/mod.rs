//! Operators that race on one thread, in an order that a seed decides.

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
    KeyRange, LeaseId, RangeReply, Store, StoreError, StoreRevision, Txn, TxnReply, Watch, keys,
};
use todc_utils::linearizability::history::Action;

use crate::{
    apply,
    history::{Operation, Step},
    numbered,
};

const OPERATORS: usize = 5;
const ROUNDS: u64 = 6;
/// The most turns that a call gives to others, before and after it.
const MOST_TURNS: u32 = 4;

/// A store whose calls give way to other tasks.
struct Scheduled {
    store: MemStore,
    rng: Arc<Mutex<ChaCha8Rng>>,
}

impl Scheduled {
    async fn give_way(&self) {
        let turns = self.rng.lock().unwrap().random_range(0..=MOST_TURNS);
        for _ in 0..turns {
            smol::future::yield_now().await;
        }
    }
}

#[async_trait]
impl Store for Scheduled {
    async fn range(&self, range: KeyRange, limit: i64) -> Result<RangeReply, StoreError> {
        self.give_way().await;
        let reply = self.store.range(range, limit).await;
        self.give_way().await;
        reply
    }

    async fn txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        self.give_way().await;
        let reply = self.store.txn(txn).await;
        self.give_way().await;
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

    async fn watch(&self, range: KeyRange, from: StoreRevision) -> Result<Watch, StoreError> {
        self.store.watch(range, from).await
    }
}

type Steps = Rc<RefCell<Vec<Step>>>;

/// Operators publish and read while answers and requests are lost and parts are
/// cleaned up; the answer is the history of all of it.
pub(crate) async fn race(seed: u64) -> Vec<Step> {
    let mem = MemStore::with_manual_time();
    let rng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
    let steps = Steps::default();
    let executor = smol::LocalExecutor::new();
    let mut running = Vec::new();
    for operator in 0..OPERATORS {
        let store = Scheduled {
            store: mem.clone(),
            rng: Arc::clone(&rng),
        };
        running.push(executor.spawn(operate(store, operator, Rc::clone(&steps))));
    }
    executor
        .run(async {
            for operator in running {
                operator.await;
            }
        })
        .await;
    settle(&mem, steps.take()).await
}

async fn operate(store: Scheduled, operator: usize, steps: Steps) {
    let record = |action| steps.borrow_mut().push((operator, action));
    for round in 0..ROUNDS {
        disturb(&store).await;
        let number = operator as u64 * 100 + round + 1;
        record(Action::Call(Operation::Publish(number, None)));
        let id = apply(number.to_string());
        let result = publish(&store, &numbered(number), &id, None).await;
        let revision = result.as_ref().ok().map(|published| published.revision.0);
        match result {
            Err(error) if error.verdict() == Verdict::MayHaveRun => {
                // Its end is recorded once the head says what became of it.
                assert!(matches!(error, PublishError::Unknown(_)));
                return;
            }
            _ => record(Action::Response(Operation::Publish(number, revision))),
        }
        record(Action::Call(Operation::Read(0, 0)));
        let loaded = Loader::default().load(&store).await.unwrap();
        let revision = loaded.seen.revision().0;
        let set = loaded.objects.zones.keys().next();
        let set = set.map_or(0, |name| name.as_str()["zone-".len()..].parse().unwrap());
        record(Action::Response(Operation::Read(revision, set)));
    }
}

/// Plans one fault, or none.
async fn disturb(store: &Scheduled) {
    let dice = store.rng.lock().unwrap().random_range(0..6);
    let faults = store.store.faults();
    match dice {
        0 => faults.lose_answers_under(keys::CONFIG_HEAD, 1),
        1 => faults.lose_requests_under(keys::CONFIG_HEAD, 1),
        2 => faults.lose_answers_under(keys::config_chunk(""), 1),
        3 => drop(clean_up(store).await),
        _ => {}
    }
}

/// Ends the publications whose outcome was unknown, by what the head remembers.
async fn settle(mem: &MemStore, mut steps: Vec<Step>) -> Vec<Step> {
    let head = read_head(mem).await.unwrap().head.unwrap();
    let applied = head.recent.into_iter();
    let applied: BTreeMap<String, u64> = applied.map(|a| (a.id.0, a.revision.0)).collect();
    let mut open = BTreeMap::new();
    for (operator, action) in &steps {
        match action {
            Action::Call(Operation::Publish(number, _)) => open.insert(*operator, *number),
            Action::Call(Operation::Read(..)) => None,
            Action::Response(_) => open.remove(operator),
        };
    }
    for (operator, number) in open {
        let revision = applied.get(&number.to_string()).copied();
        let end = Operation::Publish(number, revision);
        steps.push((operator, Action::Response(end)));
    }
    steps
}
