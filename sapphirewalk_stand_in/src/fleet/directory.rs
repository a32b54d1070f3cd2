//! The temporary directory of a fleet, and the search for free loopback ports.

use std::fs;
use std::io;
use std::net;
use std::path;

use crate::fleet::error::FleetError;
use crate::server;

/// How many ports are tried until one is free for both TCP and UDP.
const PORT_TRIES: u32 = 100;

/// A temporary directory. Dropping it removes the directory with its content.
#[derive(Debug)]
pub struct TempDirectory {
    path: path::PathBuf,
}

impl TempDirectory {
    /// Creates a directory with a random name in the system's temporary directory.
    ///
    /// # Errors
    ///
    /// When it cannot be created.
    pub fn create() -> Result<Self, FleetError> {
        let name = format!("sapphirewalk-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path).map_err(FleetError::io("create the temporary directory"))?;
        Ok(Self { path })
    }

    /// The path of the directory, which exists until this value is dropped.
    pub fn path(&self) -> &path::Path {
        &self.path
    }

    /// The path of the file `name` in the directory, whether it exists or not.
    pub fn file(&self, name: &str) -> path::PathBuf {
        self.path.join(name)
    }

    /// Writes the file `name` in the directory and returns its path.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> Result<path::PathBuf, FleetError> {
        let path = self.file(name);
        fs::write(&path, text).map_err(FleetError::io("write a file"))?;
        Ok(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        // On failure the files remain in the system's temporary directory.
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Finds `count` different loopback ports that are free for TCP and UDP. They are released on
/// return, so another program can still bind them.
///
/// # Errors
///
/// When the system has too few.
pub(super) fn reserve_ports(count: usize) -> Result<Vec<net::SocketAddr>, FleetError> {
    let mut sockets = Vec::with_capacity(count);
    while sockets.len() < count {
        sockets.push(bind_free_port().map_err(FleetError::io("reserve a port"))?);
    }
    sockets
        .iter()
        .map(|(listener, _)| listener.local_addr())
        .collect::<io::Result<Vec<_>>>()
        .map_err(FleetError::io("read a port"))
}

fn bind_free_port() -> io::Result<(net::TcpListener, net::UdpSocket)> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_TRIES {
        let listener = net::TcpListener::bind(server::loopback_any_port())?;
        match net::UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
