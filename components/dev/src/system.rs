//! Runs stand-ins, entries and agents in one process.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use agent::daemon::Agent;
use conf::settings::{AgentSettings, EndpointSettings, EntryLimits, EntrySettings, EntryTimings};
use entry::daemon::{Entry, EntrySecrets};
use fakes::{history::History, store::MemStore};
use kernel::{Clock, NameError, secret::SecretError, secret::Secrets};
use smol::Task;
use store::{Store, etcd::EtcdStore};

use crate::{
    plan::{OPERATOR_SECRET, Plan, SERVICE, SYSTEM_SECRET},
    vm::{Standins, any_port, listen},
};

/// The system could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A name in the plan is invalid.
    #[error("the plan has an invalid name: {0}")]
    Name(#[from] NameError),
    /// A secret is invalid.
    #[error("the plan has an invalid secret: {0}")]
    Secret(#[from] SecretError),
    /// A port can't be opened.
    #[error("can't listen on loopback: {0}")]
    Listen(#[from] std::io::Error),
    /// An entry did not start.
    #[error("an entry did not start: {0}")]
    Entry(#[from] entry::daemon::StartError),
    /// An agent did not start.
    #[error("an agent did not start: {0}")]
    Agent(#[from] agent::daemon::StartError),
}

/// One VM: its stand-ins and its agent.
pub struct DevVm {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The stand-ins for the platform's services on the VM.
    pub standins: Standins,
    /// The agent; `None` while it is stopped.
    pub agent: Option<Agent>,
}

/// The running system.
pub struct System {
    /// The plan that the system was started with.
    pub plan: Plan,
    /// The stand-in store.
    pub store: MemStore,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// The entries; `None` in the place of a stopped one.
    pub entries: Vec<Option<Entry>>,
    /// The VMs.
    pub vms: Vec<DevVm>,
    /// The events at the stand-ins.
    pub history: History,
    /// The clock that gives the times in the history.
    pub clock: Clock,
    _store_task: Task<()>,
}

impl std::fmt::Debug for System {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("System")
            .field("plan", &self.plan)
            .finish_non_exhaustive()
    }
}

impl System {
    /// Starts the stand-ins, entries and agents of `plan`.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a port can't be opened or a name is invalid.
    pub async fn start(plan: Plan) -> Result<Self, StartError> {
        let clock = Clock::start();
        let store = MemStore::new();
        let (listener, store_address) = listen().await?;
        let forever = smol::future::pending();
        let store_task = smol::spawn(fakes::store::serve(listener, store.clone(), forever));
        let mut system = Self {
            plan,
            store,
            store_address,
            entries: Vec::new(),
            vms: Vec::new(),
            history: History::new(),
            clock,
            _store_task: store_task,
        };
        for number in 0..system.plan.entries {
            let entry = system.start_entry(number).await?;
            system.entries.push(Some(entry));
        }
        for (name, zone) in system.plan.vms() {
            let mut vm = system.start_vm(&name, &zone).await?;
            vm.agent = Some(system.start_agent(&vm).await?);
            system.vms.push(vm);
        }
        Ok(system)
    }

    /// Returns the entries that are not stopped.
    pub fn running_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().flatten()
    }

    /// Starts the entry `entry-N`, with N one more than `number`.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a port can't be opened.
    pub async fn start_entry(&self, number: usize) -> Result<Entry, StartError> {
        let zone = &self.plan.zones[number % self.plan.zones.len()];
        let settings = EntrySettings {
            name: format!("entry-{}", number + 1).parse()?,
            zone: zone.parse()?,
            system: any_port(),
            callers: any_port(),
            operators: any_port(),
            store: vec![self.store_address],
            secret_file: PathBuf::new(),
            operator_secret_file: PathBuf::new(),
            timings: EntryTimings {
                task_lease_millis: self.plan.task_lease_millis,
                ..EntryTimings::default()
            },
            limits: EntryLimits::default(),
        };
        let secrets = EntrySecrets {
            system: Secrets::parse(SYSTEM_SECRET)?,
            operators: Secrets::parse(OPERATOR_SECRET)?,
        };
        let store: Arc<dyn Store> = Arc::new(EtcdStore::new(&[self.store_address]));
        Ok(entry::daemon::start(settings, store, secrets).await?)
    }

    async fn start_vm(&self, name: &str, zone: &str) -> Result<DevVm, StartError> {
        let capacity = self.plan.capacity;
        let standins = Standins::start(name, zone, capacity, &self.history, self.clock).await?;
        Ok(DevVm {
            name: name.to_owned(),
            zone: zone.to_owned(),
            standins,
            agent: None,
        })
    }

    /// Starts the agent of a VM.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a port can't be opened.
    pub async fn start_agent(&self, vm: &DevVm) -> Result<Agent, StartError> {
        let settings = AgentSettings {
            vm: vm.name.parse()?,
            zone: vm.zone.parse()?,
            rack: format!("{}-rack", vm.zone).parse()?,
            cell: None,
            system: any_port(),
            health: any_port(),
            entries: self.running_entries().map(|entry| entry.system).collect(),
            secret_file: PathBuf::new(),
            worker: Some(vm.standins.worker_address),
            capacity: self.plan.capacity,
            heartbeat_millis: self.plan.heartbeat_millis,
            stop_millis: 10_000,
            endpoints: vec![EndpointSettings {
                service: SERVICE.parse()?,
                address: vm.standins.endpoint.address(),
                slots: self.plan.slots,
                connections: 64,
            }],
        };
        let secrets = Secrets::parse(SYSTEM_SECRET)?;
        Ok(agent::daemon::start(settings, secrets).await?)
    }

    /// Stops everything gracefully, agents first.
    pub async fn stop(mut self) {
        for vm in &mut self.vms {
            if let Some(agent) = vm.agent.take() {
                agent.stop().await;
            }
        }
        for entry in self.entries.iter_mut().filter_map(Option::take) {
            entry.stop().await;
        }
    }
}
