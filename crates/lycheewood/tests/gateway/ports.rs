//! Ports that a gateway listens on.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

use crate::harness::Harness;

/// Loopback address that only this test uses.
const ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 83, 0, 1);
const TAKEN_PORTS: usize = 400;
const GATEWAYS: usize = 250;

/// Guards against a gateway that does not start because the port that the system has chosen for TCP is taken for UDP.
/// Among the 28,000 ports of the system, without a second try one start in 70 would fail.
#[test]
fn a_port_that_is_taken_for_datagrams_is_not_used() {
    let any_port = SocketAddr::from((ADDRESS, 0));
    let taken: Vec<UdpSocket> =
        (0..TAKEN_PORTS).map(|_| UdpSocket::bind(any_port).expect("a port")).collect();
    for _ in 0..GATEWAYS {
        let gateway = Harness::start_with(any_port, Vec::new());
        let peer_address = gateway.peer_address();
        let is_taken = |socket: &UdpSocket| socket.local_addr().is_ok_and(|at| at == peer_address);
        assert!(!taken.iter().any(is_taken), "{peer_address}");
    }
}
