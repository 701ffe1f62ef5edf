//! Exchange of document state between peers, for nodes that cannot read the log.

use kameo::actor::ActorRef;

use crate::controllers::document::{
    DocumentController, GetPeerStateNeed, GetSnapshotAfter, MergePeerSnapshot, PeerStateNeed,
};
use crate::decisions::publication::Snapshot;
use crate::wire::message::{DocumentAsk, DocumentState, Frame};

/// The question to send on a new connection, if this node needs a state.
pub(crate) async fn question(documents: &ActorRef<DocumentController>) -> Option<Frame> {
    match documents.ask(GetPeerStateNeed).await {
        Ok(PeerStateNeed::SnapshotAfter(upto)) => Some(Frame::DocumentAsk(DocumentAsk { upto })),
        Ok(PeerStateNeed::Nothing) | Err(_) => None,
    }
}

/// The reply to a peer's question, if this node is ahead.
pub(crate) async fn reply(
    documents: &ActorRef<DocumentController>,
    ask: DocumentAsk,
) -> Option<Frame> {
    let snapshot = documents.ask(GetSnapshotAfter(ask.upto)).await.ok()??;
    let snapshot = serde_json::to_string(&snapshot).ok()?;
    Some(Frame::DocumentState(DocumentState { snapshot }))
}

/// Passes a peer's state on. One that cannot be read is ignored, like a record of the log.
pub(crate) fn accept(documents: &ActorRef<DocumentController>, state: &DocumentState) {
    if let Ok(snapshot) = serde_json::from_str::<Snapshot>(&state.snapshot) {
        let _ = documents.tell(MergePeerSnapshot(snapshot)).try_send();
    }
}
