//! UDP relays between entry VMs that can drop and delay the datagrams of each direction.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::net::UdpSocket;
use tokio::task;

use crate::fleet::command::DaemonKind;
use crate::fleet::entry::DaemonKey;
use crate::fleet::entry::EntryKey;
use crate::fleet::error::FleetError;
use crate::server;

/// The size of a receive buffer, in bytes; no UDP datagram is larger.
const DATAGRAM_BYTES_MAX: usize = 65_536;

/// The faults of the link from one entry VM to another.
#[derive(Debug, Default)]
struct LinkState {
    /// Whether all datagrams are dropped.
    is_down: atomic::AtomicBool,
    /// Zero for no delay.
    delay_ms: atomic::AtomicU64,
}

/// A relay through which one entry VM reaches a daemon of another.
#[derive(Debug)]
struct PeerRelay {
    from: EntryKey,
    to: DaemonKey,
    /// The address that `from` uses for the daemon.
    address: net::SocketAddr,
    relay_task: task::JoinHandle<()>,
}

/// The sockets, the destination and the links of a relay.
#[derive(Debug)]
struct RelayRoute {
    /// Receives the datagrams of the source and sends it those of the destination.
    source_side: sync::Arc<UdpSocket>,
    /// Sends to the destination and receives its datagrams.
    peer_side: sync::Arc<UdpSocket>,
    /// The address of the destination.
    peer: net::SocketAddr,
    /// From the source to the destination.
    outbound_link: sync::Arc<LinkState>,
    /// From the destination to the source.
    inbound_link: sync::Arc<LinkState>,
}

/// The links between all entry VMs and the relays that apply their faults. Dropping it ends the
/// relays.
#[derive(Debug)]
pub(super) struct RelayMesh {
    vms: u32,
    /// The link from VM `from` to VM `to` has the index `from * vms + to`.
    links: Vec<sync::Arc<LinkState>>,
    relays: Vec<PeerRelay>,
}

impl LinkState {
    fn is_down(&self) -> bool {
        self.is_down.load(atomic::Ordering::Acquire)
    }

    fn delay(&self) -> time::Duration {
        time::Duration::from_millis(self.delay_ms.load(atomic::Ordering::Acquire))
    }
}

impl Drop for PeerRelay {
    fn drop(&mut self) {
        self.relay_task.abort();
    }
}

impl RelayMesh {
    /// Links without faults between `vms` entry VMs, and no relays.
    pub fn new(vms: u32) -> Self {
        let links = (0..vms * vms).map(|_| sync::Arc::default()).collect();
        Self {
            vms,
            links,
            relays: Vec::new(),
        }
    }

    /// Starts a relay from the VM `from` to the daemon `to`, which listens for peers on `peer`.
    pub async fn start_relay(
        &mut self,
        from: EntryKey,
        to: DaemonKey,
        peer: net::SocketAddr,
    ) -> Result<(), FleetError> {
        let source_side = bind().await?;
        let address = source_side
            .local_addr()
            .map_err(FleetError::io("read a port"))?;
        let route = RelayRoute {
            source_side: sync::Arc::new(source_side),
            peer_side: sync::Arc::new(bind().await?),
            peer,
            outbound_link: self.link(from, to.vm).clone(),
            inbound_link: self.link(to.vm, from).clone(),
        };
        self.relays.push(PeerRelay {
            from,
            to,
            address,
            relay_task: tokio::spawn(relay(route)),
        });
        Ok(())
    }

    /// The address at which a VM reaches a daemon of another; `None` without a relay.
    pub fn address(
        &self,
        from: EntryKey,
        to: EntryKey,
        daemon: DaemonKind,
    ) -> Option<net::SocketAddr> {
        let to = DaemonKey { vm: to, daemon };
        let mut relays = self.relays.iter();
        let found = relays.find(|relay| relay.from == from && relay.to == to);
        found.map(|relay| relay.address)
    }

    /// While `is_down`, drops all datagrams from `from` to `to`.
    pub fn set_link_down(&self, from: EntryKey, to: EntryKey, is_down: bool) {
        let link = self.link(from, to);
        link.is_down.store(is_down, atomic::Ordering::Release);
    }

    /// Delays the datagrams from `from` to `to`, in milliseconds; zero for no delay.
    pub fn set_delay_ms(&self, from: EntryKey, to: EntryKey, delay_ms: u64) {
        let link = self.link(from, to);
        link.delay_ms.store(delay_ms, atomic::Ordering::Release);
    }

    fn link(&self, from: EntryKey, to: EntryKey) -> &sync::Arc<LinkState> {
        &self.links[(from.0 * self.vms + to.0) as usize]
    }
}

async fn bind() -> Result<UdpSocket, FleetError> {
    let socket = UdpSocket::bind(server::loopback_any_port()).await;
    socket.map_err(FleetError::io("bind a relay"))
}

/// Forwards datagrams in both directions until a socket fails.
async fn relay(route: RelayRoute) {
    let mut outbound = vec![0; DATAGRAM_BYTES_MAX];
    let mut inbound = vec![0; DATAGRAM_BYTES_MAX];
    let mut source = None;
    loop {
        let result: io::Result<()> = tokio::select! {
            received = route.source_side.recv_from(&mut outbound) => received.map(|(length, from)| {
                source = Some(from);
                forward(&route.outbound_link, &route.peer_side, route.peer, &outbound[..length]);
            }),
            received = route.peer_side.recv_from(&mut inbound) => received.map(|(length, _)| {
                if let Some(source) = source {
                    forward(&route.inbound_link, &route.source_side, source, &inbound[..length]);
                }
            }),
        };
        if result.is_err() {
            return;
        }
    }
}

/// Sends a datagram to `to` after the delay of its link. It is dropped when the link is down, and,
/// as in a real network, when the send buffer is full.
fn forward(
    link: &sync::Arc<LinkState>,
    socket: &sync::Arc<UdpSocket>,
    to: net::SocketAddr,
    datagram: &[u8],
) {
    if link.is_down() {
        return;
    }
    let delay = link.delay();
    if delay.is_zero() {
        let _ = socket.try_send_to(datagram, to);
        return;
    }
    let (link, socket, datagram) = (link.clone(), socket.clone(), datagram.to_vec());
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        // A partition also drops delayed datagrams that were received before it.
        if !link.is_down() {
            let _ = socket.try_send_to(&datagram, to);
        }
    });
}
