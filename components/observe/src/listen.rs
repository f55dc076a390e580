//! Opening the ports of a daemon.

use std::net::SocketAddr;

use smol::net::TcpListener;

/// Why a port can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address} ({setting}): {source}; choose a free port")]
pub struct ListenError {
    /// The setting that names the port.
    pub setting: &'static str,
    /// Its value.
    pub address: SocketAddr,
    /// What the system said.
    pub source: std::io::Error,
}

/// Opens the port that `setting` names; gives its address too, since port 0
/// stands for one of the system's choice.
///
/// # Errors
///
/// Returns a [`ListenError`] if the port is taken or not allowed.
pub async fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), ListenError> {
    let failed = |source| ListenError {
        setting,
        address,
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let local = listener.local_addr().map_err(failed)?;
    Ok((listener, local))
}
