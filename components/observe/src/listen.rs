//! Opens the ports of a daemon.

use std::net::SocketAddr;

use smol::net::TcpListener;

/// A port could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address} ({setting}): {source}; choose a free port")]
pub struct ListenError {
    /// Name of the setting that holds the address.
    pub setting: &'static str,
    /// Value of the setting.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// Listens on `address`, the value of `setting`. Returns the listener and its actual
/// address, which differs if the port is 0: the system then chooses a free one.
///
/// # Errors
///
/// Returns a [`ListenError`] if the port is in use or not permitted.
pub async fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), ListenError> {
    let to_error = |source| ListenError {
        setting,
        address,
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(to_error)?;
    let local = listener.local_addr().map_err(to_error)?;
    Ok((listener, local))
}
