//! An entry's operators' port over a stand-in store, against which tests run the
//! `hemlockmoor` program.

use std::{
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Command, Output},
    sync::Arc,
};

use entry::{
    config::ConfigFollower,
    operator::{Context, ProcessRevision, Revisions, handler},
};
use fakes::store::MemStore;
use kernel::{Clock, secret::Secrets};
use report::Accounts;

pub(crate) const SECRET: &str = "an operators' secret of some length";

/// An operators' port with its store.
pub(crate) struct OperatorsPort {
    pub(crate) store: MemStore,
    pub(crate) address: SocketAddr,
    pub(crate) directory: tempfile::TempDir,
}

impl OperatorsPort {
    pub(crate) fn start() -> Self {
        Self::over(MemStore::with_manual_time())
    }

    /// Serves an entry's port over `store`.
    pub(crate) fn over(store: MemStore) -> Self {
        let directory = tempfile::tempdir().unwrap();
        std::fs::write(directory.path().join("secret"), SECRET).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(smol::net::TcpListener::try_from(listener).unwrap())
            .run_async(handler(context(store.clone())));
        smol::spawn(server).detach();
        Self {
            store,
            address,
            directory,
        }
    }

    /// Runs the program against this entry, with its secret.
    pub(crate) fn run(&self, args: &[&str]) -> CommandOutput {
        self.run_at(&self.address.to_string(), args)
    }

    /// Runs the program against other entries.
    pub(crate) fn run_at(&self, entries: &str, args: &[&str]) -> CommandOutput {
        let secret = self.directory.path().join("secret");
        CommandOutput::of(
            Command::new(env!("CARGO_BIN_EXE_hemlockmoor"))
                .args(args)
                .env("HEMLOCKMOOR_ENTRY", entries)
                .env("HEMLOCKMOOR_SECRET_FILE", secret)
                .env("USER", "aminata")
                .output()
                .unwrap(),
        )
    }

    /// Writes a set of one file. Returns its directory.
    pub(crate) fn write_set(&self, name: &str, text: &str) -> String {
        let directory = self.directory.path().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("set.toml"), text).unwrap();
        path(&directory)
    }
}

fn context(store: MemStore) -> Context {
    let clock = Clock::start();
    let config = ConfigFollower::new(Arc::new(store.clone()), clock);
    let follower = Arc::clone(&config);
    smol::spawn(async move { follower.run().await }).detach();
    let config_here = Arc::clone(&config);
    Context {
        secrets: Secrets::parse(SECRET).unwrap(),
        body_bytes: 1 << 20,
        clock,
        store: Arc::new(store),
        config,
        revisions: Box::new(move || {
            let revision = config_here.in_force().revision;
            let name = "entry-1".to_owned();
            Revisions {
                here: revision,
                entries: vec![ProcessRevision { name, revision }],
                vms: Vec::new(),
            }
        }),
        zone_of: Box::new(|vm| (vm.as_str() == "vm-7").then(|| "medina".parse().unwrap())),
        accounts: Box::new(|_| Box::pin(async { Accounts::default() })),
        jobs: None,
    }
}

/// Exit code and output of a run of the program.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl CommandOutput {
    fn of(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Returns standard output; panics unless the exit code is 0.
    #[track_caller]
    pub(crate) fn stdout_of_success(self) -> String {
        assert_eq!(self.code, 0, "{self:?}");
        self.stdout
    }

    /// Returns standard error; panics unless the exit code is `code`.
    #[track_caller]
    pub(crate) fn stderr_of_failure(self, code: i32) -> String {
        assert_eq!(self.code, code, "{self:?}");
        self.stderr
    }
}

pub(crate) fn path(path: &Path) -> String {
    path.display().to_string()
}
