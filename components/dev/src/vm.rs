//! The stand-ins for the platform's services on one VM.

use std::{io, net::SocketAddr};

use fakes::{
    endpoint::Endpoint,
    history::{History, Record},
    worker::{FakeWorker, SharedWorker},
};
use kernel::{Clock, Resources};
use smol::{Task, net::TcpListener};

use crate::StartError;

/// The stand-ins on one VM.
pub struct Standins {
    /// The stand-in for the platform's worker.
    pub worker: SharedWorker,
    /// The address of the worker's HTTP interface.
    pub worker_address: SocketAddr,
    /// The endpoint of [`SERVICE`](crate::plan::SERVICE).
    pub endpoint: Endpoint,
    _worker_task: Task<()>,
}

impl Standins {
    /// Starts the worker and the endpoint of a VM.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a port can't be opened or a name is invalid.
    pub async fn start(
        name: &str,
        zone: &str,
        capacity: Resources,
        history: &History,
        clock: Clock,
    ) -> Result<Self, StartError> {
        history.add(Record::Vm {
            vm: name.parse()?,
            zone: zone.parse()?,
            capacity,
        });
        let worker = FakeWorker::new(name.parse()?, capacity, history.clone());
        let worker = SharedWorker::new(worker, clock);
        let (listener, worker_address) = listen().await?;
        let worker_task = smol::spawn(fakes::worker::serve(listener, worker.clone()));
        Ok(Self {
            worker,
            worker_address,
            endpoint: Endpoint::start().await?,
            _worker_task: worker_task,
        })
    }
}

/// Returns the loopback address with port 0, for which the system chooses a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(any_port()).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
