//! An entry's operators' port over a stand-in store, and the program run
//! against it.

use std::{
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Command, Output},
    sync::Arc,
};

use entry::{
    config::Follower,
    operator::{Context, ProcessRevision, Revisions, handler},
};
use fakes::store::MemStore;
use kernel::{Clock, secret::Secrets};
use report::Accounts;

pub(crate) const SECRET: &str = "an operators' secret of some length";

/// A served operators' port.
pub(crate) struct Served {
    pub(crate) store: MemStore,
    pub(crate) address: SocketAddr,
    pub(crate) directory: tempfile::TempDir,
}

impl Served {
    pub(crate) fn start() -> Self {
        Self::over(MemStore::with_manual_time())
    }

    /// One more entry over the same store.
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

    /// Runs the program with this entry and its secret.
    pub(crate) fn run(&self, args: &[&str]) -> Ran {
        self.run_at(&self.address.to_string(), args)
    }

    /// Runs the program with other entries.
    pub(crate) fn run_at(&self, entries: &str, args: &[&str]) -> Ran {
        let secret = self.directory.path().join("secret");
        Ran::of(
            Command::new(env!("CARGO_BIN_EXE_hemlockmoor"))
                .args(args)
                .env("HEMLOCKMOOR_ENTRY", entries)
                .env("HEMLOCKMOOR_SECRET_FILE", secret)
                .env("USER", "aminata")
                .output()
                .unwrap(),
        )
    }

    /// Writes a set of one file and gives its directory.
    pub(crate) fn write_set(&self, name: &str, text: &str) -> String {
        let directory = self.directory.path().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("set.toml"), text).unwrap();
        path(&directory)
    }
}

fn context(store: MemStore) -> Context {
    let clock = Clock::start();
    let config = Follower::new(Arc::new(store.clone()), clock);
    let follower = Arc::clone(&config);
    smol::spawn(async move { follower.run().await }).detach();
    let here = Arc::clone(&config);
    Context {
        secrets: Secrets::parse(SECRET).unwrap(),
        body_bytes: 1 << 20,
        clock,
        store: Arc::new(store),
        config,
        revisions: Box::new(move || {
            let revision = here.in_force().revision;
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

/// What a run of the program left.
#[derive(Debug)]
pub(crate) struct Ran {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Ran {
    fn of(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// The output of a run that ended well.
    #[track_caller]
    pub(crate) fn done(self) -> String {
        assert_eq!(self.code, 0, "{self:?}");
        self.out
    }

    /// The error of a run that ended with `code`.
    #[track_caller]
    pub(crate) fn failed(self, code: i32) -> String {
        assert_eq!(self.code, code, "{self:?}");
        self.err
    }
}

pub(crate) fn path(path: &Path) -> String {
    path.display().to_string()
}
