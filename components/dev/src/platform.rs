//! Runs only the platform's stand-ins (store, workers and endpoints) and writes the
//! settings files for entries and agents that run as separate processes.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use conf::settings::{AgentSettings, EndpointSettings, EntryLimits, EntrySettings, EntryTimings};
use fakes::{history::History, store::MemStore};
use kernel::Clock;
use serde::Serialize;
use smol::Task;

use crate::{
    Plan, StartError,
    plan::{OPERATOR_SECRET, SERVICE, SYSTEM_SECRET},
    vm::{Standins, any_port, listen},
};

/// Limit of an agent's graceful stop, in milliseconds.
const STOP_MILLIS: u64 = 10_000;

/// The files could not be written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// A port can't be opened or the plan is invalid.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A file can't be written.
    #[error("{file}: {source}; name a directory that can be written", file = .file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings can't be serialized as TOML.
    #[error("settings can't be written: {0}")]
    Format(#[from] toml::ser::Error),
}

/// The written files and the addresses of the first entry.
#[derive(Clone, Debug)]
pub struct Files {
    /// The settings file of each entry.
    pub entries: Vec<PathBuf>,
    /// The settings file of each agent.
    pub agents: Vec<PathBuf>,
    /// The directory of the object set.
    pub objects: PathBuf,
    /// The file with the operators' secret.
    pub operator_secret: PathBuf,
    /// The first entry's address for operators.
    pub operators: SocketAddr,
    /// The first entry's address for callers.
    pub callers: SocketAddr,
}

/// The platform's stand-ins, without entries and agents.
pub struct Platform {
    plan: Plan,
    store_address: SocketAddr,
    vms: Vec<(String, String, Standins)>,
    _store_task: Task<()>,
}

impl Platform {
    /// Starts the stand-ins of `plan`.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a port can't be opened or a name is invalid.
    pub async fn start(plan: Plan) -> Result<Self, StartError> {
        let (clock, history) = (Clock::start(), History::new());
        let (listener, store_address) = listen().await?;
        let forever = smol::future::pending();
        let store_task = smol::spawn(fakes::store::serve(listener, MemStore::new(), forever));
        let mut vms = Vec::new();
        for (name, zone) in plan.vms() {
            let standins = Standins::start(&name, &zone, plan.capacity, &history, clock).await?;
            vms.push((name, zone, standins));
        }
        Ok(Self {
            plan,
            store_address,
            vms,
            _store_task: store_task,
        })
    }

    /// Writes settings, secrets and an object set into `directory`.
    ///
    /// # Errors
    ///
    /// Returns a [`WriteError`] that names the file.
    pub async fn write(&self, directory: &Path) -> Result<Files, WriteError> {
        let directory = &std::path::absolute(directory).map_err(|source| WriteError::File {
            file: directory.to_owned(),
            source,
        })?;
        let mut entries = Vec::new();
        for number in 0..self.plan.entries {
            entries.push(self.entry_settings(number, directory).await?);
        }
        let entry_addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.system).collect();
        let mut files = Files {
            entries: Vec::new(),
            agents: Vec::new(),
            objects: directory.join("objects"),
            operator_secret: directory.join("operator.secret"),
            operators: entries[0].operators,
            callers: entries[0].callers,
        };
        write(&directory.join("system.secret"), SYSTEM_SECRET)?;
        write(&files.operator_secret, OPERATOR_SECRET)?;
        write(
            &files.objects.join("set.toml"),
            self.plan.objects().trim_start(),
        )?;
        for settings in entries {
            let file = directory.join(format!("{}.toml", settings.name));
            files.entries.push(write_settings(file, &settings)?);
        }
        for (name, zone, standins) in &self.vms {
            let settings =
                self.agent_settings(name, zone, standins, &entry_addresses, directory)?;
            let file = directory.join(format!("agent-{name}.toml"));
            files.agents.push(write_settings(file, &settings)?);
        }
        Ok(files)
    }

    async fn entry_settings(
        &self,
        number: usize,
        directory: &Path,
    ) -> Result<EntrySettings, StartError> {
        let zone = &self.plan.zones[number % self.plan.zones.len()];
        let [system, callers, operators] = free_ports().await?;
        Ok(EntrySettings {
            name: format!("entry-{}", number + 1).parse()?,
            zone: zone.parse()?,
            system,
            callers,
            operators,
            store: vec![self.store_address],
            secret_file: directory.join("system.secret"),
            operator_secret_file: directory.join("operator.secret"),
            timings: EntryTimings::default(),
            limits: EntryLimits::default(),
        })
    }

    fn agent_settings(
        &self,
        name: &str,
        zone: &str,
        standins: &Standins,
        entries: &[SocketAddr],
        directory: &Path,
    ) -> Result<AgentSettings, StartError> {
        Ok(AgentSettings {
            vm: name.parse()?,
            zone: zone.parse()?,
            rack: format!("{zone}-rack").parse()?,
            cell: None,
            system: any_port(),
            health: any_port(),
            entries: entries.to_vec(),
            secret_file: directory.join("system.secret"),
            worker: Some(standins.worker_address),
            capacity: self.plan.capacity,
            heartbeat_millis: self.plan.heartbeat_millis,
            stop_millis: STOP_MILLIS,
            endpoints: vec![EndpointSettings {
                service: SERVICE.parse()?,
                address: standins.endpoint.address(),
                slots: self.plan.slots,
                connections: 64,
            }],
        })
    }
}

/// Returns three free ports. All three are open at the same time, so that they differ.
async fn free_ports() -> Result<[SocketAddr; 3], StartError> {
    let (_first, system) = listen().await?;
    let (_second, callers) = listen().await?;
    let (_third, operators) = listen().await?;
    Ok([system, callers, operators])
}

fn write(file: &Path, text: &str) -> Result<(), WriteError> {
    let directory = file.parent().unwrap_or(Path::new("."));
    fs::create_dir_all(directory)
        .and_then(|()| fs::write(file, text))
        .map_err(|source| WriteError::File {
            file: file.to_owned(),
            source,
        })
}

fn write_settings(file: PathBuf, settings: &impl Serialize) -> Result<PathBuf, WriteError> {
    write(&file, &toml::to_string(settings)?)?;
    Ok(file)
}
