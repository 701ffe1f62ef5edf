//! Orders of a lease holder whose lease has passed to another entry.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use lycheewood::{
    Frame, Hello, Incarnation, InstanceId, Offset, PROTOCOL_MAX, PROTOCOL_MIN, StageAsk, decode,
    encode,
};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

use crate::cluster::{Cluster, WAIT_MS};

/// Sends orders over a new connection, as an entry that was paused would, and returns the reply to the last one.
async fn send_orders_as_entry(address: SocketAddr, orders: &[StageAsk]) -> Frame {
    let hello = Hello {
        protocol_min: PROTOCOL_MIN,
        protocol_max: PROTOCOL_MAX,
        incarnation: Incarnation::random(),
        instance: InstanceId::new("paused-entry"),
        role: lycheewood::Role::Entry,
        endpoint_kind: None,
        version: None,
        admin_address: None,
    };
    let tcp = TcpStream::connect(address).await.expect("connect to the daemon");
    let (mut socket, _) =
        client_async(format!("ws://{address}/"), tcp).await.expect("open a connection");
    let stage_frames = orders.iter().map(|order| Frame::Stage(order.clone()));
    for frame in std::iter::once(Frame::Hello(hello)).chain(stage_frames) {
        socket.send(Message::Binary(encode(&frame))).await.expect("send a frame");
    }
    let last = orders.last().map(|order| order.change);
    loop {
        let message = socket.next().await.expect("the connection stays").expect("a message");
        let Message::Binary(bytes) = message else { continue };
        match decode(&bytes).expect("a frame") {
            Frame::Staged(done) if Some(done.change) == last => return Frame::Staged(done),
            Frame::StageRefused(refused) if Some(refused.change) == last => {
                return Frame::StageRefused(refused);
            }
            _ => socket
                .send(Message::Binary(encode(&Frame::Heartbeat(1))))
                .await
                .expect("send a heartbeat"),
        }
    }
}

/// Guards against a rank that obeys a former holder, which was paused while its lease passed to another entry.
/// The engine ignores fencing numbers, so that only the daemon can refuse the order.
#[test]
fn an_order_of_a_superseded_lease_is_refused_by_the_daemon() {
    let mut cluster = Cluster::start(2, false);
    let first = cluster.wait_for_commit_after(None);
    let former_lease = cluster.lease();
    cluster.stop_holder();
    cluster.make_popular(1);
    let change = cluster.wait_for_commit_after(Some(first));
    cluster.wait_until_used(change);
    assert!(cluster.lease().fencing > former_lease.fencing, "no later lease was granted");
    let order = |change, fencing| StageAsk {
        scope: cluster.scope.clone(),
        change,
        step: u64::MAX,
        fencing,
    };
    let daemon = cluster.daemons[0].as_ref().expect("rank 0 runs").peer_address();
    // A pending order of the current holder must not hide the order of the former one.
    let pending = order(Offset(change.0 + 1_000), cluster.lease().fencing);
    let superseded = order(change, former_lease.fencing);
    for orders in [vec![superseded.clone()], vec![pending, superseded]] {
        let last_reply = send_orders_as_entry(daemon, &orders);
        let reply = async { timeout(Duration::from_millis(WAIT_MS), last_reply).await };
        let reply = cluster.deployment.runtime.block_on(reply).expect("the daemon answers");
        assert!(
            matches!(reply, Frame::StageRefused(_)),
            "order accepted after {orders:?}: {reply:?}"
        );
    }
    cluster.check_maps_of_steps("superseded lease");
}
