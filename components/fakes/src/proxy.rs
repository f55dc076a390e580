//! A TCP proxy between two processes whose open connections can go silent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

use futures_lite::{AsyncReadExt, AsyncWriteExt, future::zip};
use smol::{
    Task,
    net::{TcpListener, TcpStream},
};

/// What a silent connection still delivers. Neither side learns that the other has closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Nothing.
    Complete,
    /// What the client sends.
    Replies,
    /// What the server sends.
    Requests,
    /// What the client sends, held back for this long at first.
    Late(Duration),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// An open connection; the silence and its start.
type Link = Mutex<Option<(Silence, Instant)>>;

#[derive(Default)]
struct State {
    links: Vec<Weak<Link>>,
    connections: Vec<Task<()>>,
}

/// Forwards connections to one address. Dropping it closes them all.
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _accept_task: Task<()>,
}

impl std::fmt::Debug for Proxy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Proxy")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Proxy {
    /// Starts a proxy for `server` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't listen.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::<Mutex<State>>::default();
        let accept_task = smol::spawn(accept(listener, server, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            _accept_task: accept_task,
        })
    }

    /// The address on which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the open connections silent for good that `chosen` returns true for. New
    /// connections work. Returns how many connections have gone silent.
    pub fn silence(&self, silence: Silence, mut chosen: impl FnMut() -> bool) -> usize {
        let mut count = 0;
        for link in lock(&self.state).links.iter().filter_map(Weak::upgrade) {
            let mut silenced = lock(&link);
            if silenced.is_none() && chosen() {
                *silenced = Some((silence, Instant::now()));
                count += 1;
            }
        }
        count
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, state: Arc<Mutex<State>>) {
    while let Ok((client, _)) = listener.accept().await {
        let link = Arc::new(Link::default());
        let mut state = lock(&state);
        state.links.retain(|link| link.strong_count() > 0);
        state.links.push(Arc::downgrade(&link));
        state.connections.retain(|task| !task.is_finished());
        let connection = smol::spawn(forward(client, server, link));
        state.connections.push(connection);
    }
}

async fn forward(client: TcpStream, server: SocketAddr, link: Arc<Link>) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let requests = pump(client.clone(), server.clone(), &link, Direction::ToServer);
    let replies = pump(server, client, &link, Direction::ToClient);
    zip(requests, replies).await;
}

async fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link, direction: Direction) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).await;
        let silence = *lock(link);
        let is_delivered = match silence {
            None => true,
            Some((Silence::Complete, _)) => false,
            Some((Silence::Replies, _)) => direction == Direction::ToServer,
            Some((Silence::Requests, _)) => direction == Direction::ToClient,
            Some((Silence::Late(delay), since)) => {
                if direction == Direction::ToServer {
                    smol::Timer::at(since + delay).await;
                }
                direction == Direction::ToServer
            }
        };
        match read {
            Ok(len @ 1..) if is_delivered => {
                if to.write_all(&buf[..len]).await.is_err() && silence.is_none() {
                    let _ = from.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
            Ok(1..) => {}
            _ if silence.is_none() => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            _ => std::future::pending().await,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
