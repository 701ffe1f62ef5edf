//! Serde by hand for the frame envelope and its hot bodies.

use std::fmt;

use bytes::Bytes;
use serde::de::{self, Deserialize, Deserializer, IgnoredAny, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};
use serde_bytes::ByteBuf;

use crate::clock::Timestamp;
use crate::ids::{AttemptId, Incarnation};
use crate::wire::message::{Chunk, Frame, Load};

const HELLO: u8 = 0;
const HEARTBEAT: u8 = 1;
const START: u8 = 2;
const CANCEL: u8 = 3;
const ASK: u8 = 4;
const RECOVER: u8 = 5;
const ACCEPTED: u8 = 6;
const REFUSED: u8 = 7;
const HEAD: u8 = 8;
const CHUNK: u8 = 9;
const END: u8 = 10;
const FAILED: u8 = 11;
const LOAD: u8 = 12;
const DRAINING: u8 = 13;
const SUSPECTS: u8 = 14;
const DOCUMENT_ASK: u8 = 15;
const DOCUMENT_STATE: u8 = 16;
const STAGE: u8 = 17;
const STAGED: u8 = 18;
const STAGE_REFUSED: u8 = 19;
const RANK_REPORT: u8 = 20;

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        fn pair<S: Serializer, T: Serialize>(s: S, kind: u8, body: &T) -> Result<S::Ok, S::Error> {
            let mut tuple = s.serialize_tuple(2)?;
            tuple.serialize_element(&kind)?;
            tuple.serialize_element(body)?;
            tuple.end()
        }
        match self {
            Self::Hello(body) => pair(serializer, HELLO, body),
            Self::Heartbeat(count) => pair(serializer, HEARTBEAT, count),
            Self::Start(body) => pair(serializer, START, body),
            Self::Cancel(attempt) => pair(serializer, CANCEL, attempt),
            Self::Ask(body) => pair(serializer, ASK, body),
            Self::Recover(body) => pair(serializer, RECOVER, body),
            Self::Accepted(attempt) => pair(serializer, ACCEPTED, attempt),
            Self::Refused(body) => pair(serializer, REFUSED, body),
            Self::Head(body) => pair(serializer, HEAD, body),
            Self::Chunk(body) => pair(serializer, CHUNK, body),
            Self::End(body) => pair(serializer, END, body),
            Self::Failed(body) => pair(serializer, FAILED, body),
            Self::Load(body) => pair(serializer, LOAD, body),
            Self::Draining => pair(serializer, DRAINING, &()),
            Self::Suspects(body) => pair(serializer, SUSPECTS, body),
            Self::DocumentAsk(body) => pair(serializer, DOCUMENT_ASK, body),
            Self::DocumentState(body) => pair(serializer, DOCUMENT_STATE, body),
            Self::Stage(body) => pair(serializer, STAGE, body),
            Self::Staged(body) => pair(serializer, STAGED, body),
            Self::StageRefused(body) => pair(serializer, STAGE_REFUSED, body),
            Self::RankReport(body) => pair(serializer, RANK_REPORT, body),
            Self::Unknown(kind) => pair(serializer, *kind, &()),
        }
    }
}

/// The next element, or an error that names the missing one.
fn element<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    name: &'static str,
) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| de::Error::missing_field(name))
}

/// Reads past elements that a newer sender has appended.
fn skip_rest<'de, A: SeqAccess<'de>>(seq: &mut A) -> Result<(), A::Error> {
    while seq.next_element::<IgnoredAny>()?.is_some() {}
    Ok(())
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of a frame kind and its body")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Frame, A::Error> {
        let kind: u8 = element(&mut seq, "kind")?;
        let frame = match kind {
            HELLO => Frame::Hello(element(&mut seq, "hello")?),
            HEARTBEAT => Frame::Heartbeat(element(&mut seq, "heartbeat")?),
            START => Frame::Start(element(&mut seq, "start")?),
            CANCEL => Frame::Cancel(element(&mut seq, "cancel")?),
            ASK => Frame::Ask(element(&mut seq, "ask")?),
            RECOVER => Frame::Recover(element(&mut seq, "recover")?),
            ACCEPTED => Frame::Accepted(element(&mut seq, "accepted")?),
            REFUSED => Frame::Refused(element(&mut seq, "refused")?),
            HEAD => Frame::Head(element(&mut seq, "head")?),
            CHUNK => Frame::Chunk(element(&mut seq, "chunk")?),
            END => Frame::End(element(&mut seq, "end")?),
            FAILED => Frame::Failed(element(&mut seq, "failed")?),
            LOAD => Frame::Load(element(&mut seq, "load")?),
            DRAINING => Frame::Draining,
            SUSPECTS => Frame::Suspects(element(&mut seq, "suspects")?),
            DOCUMENT_ASK => Frame::DocumentAsk(element(&mut seq, "document_ask")?),
            DOCUMENT_STATE => Frame::DocumentState(element(&mut seq, "document_state")?),
            STAGE => Frame::Stage(element(&mut seq, "stage")?),
            STAGED => Frame::Staged(element(&mut seq, "staged")?),
            STAGE_REFUSED => Frame::StageRefused(element(&mut seq, "stage_refused")?),
            RANK_REPORT => Frame::RankReport(element(&mut seq, "rank_report")?),
            other => Frame::Unknown(other),
        };
        skip_rest(&mut seq)?;
        Ok(frame)
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FrameVisitor)
    }
}

impl Serialize for Chunk {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&self.attempt.incarnation.0)?;
        tuple.serialize_element(&self.attempt.sequence)?;
        tuple.serialize_element(&self.index)?;
        tuple.serialize_element(serde_bytes::Bytes::new(&self.bytes))?;
        tuple.end()
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Chunk;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of incarnation, sequence, index and bytes")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Chunk, A::Error> {
        let incarnation = Incarnation(element(&mut seq, "incarnation")?);
        let sequence = element(&mut seq, "sequence")?;
        let index = element(&mut seq, "index")?;
        let bytes: ByteBuf = element(&mut seq, "bytes")?;
        skip_rest(&mut seq)?;
        Ok(Chunk {
            attempt: AttemptId { incarnation, sequence },
            index,
            bytes: Bytes::from(bytes.into_vec()),
        })
    }
}

impl<'de> Deserialize<'de> for Chunk {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChunkVisitor)
    }
}

impl Serialize for Load {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(4)?;
        tuple.serialize_element(&self.running)?;
        tuple.serialize_element(&self.queued)?;
        tuple.serialize_element(&self.capacity)?;
        tuple.serialize_element(&self.reported)?;
        tuple.end()
    }
}

struct LoadVisitor;

impl<'de> Visitor<'de> for LoadVisitor {
    type Value = Load;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of running, queued, capacity and time")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Load, A::Error> {
        let load = Load {
            running: element(&mut seq, "running")?,
            queued: element(&mut seq, "queued")?,
            capacity: element(&mut seq, "capacity")?,
            reported: Timestamp::from_unix_ms(element(&mut seq, "reported")?),
        };
        skip_rest(&mut seq)?;
        Ok(load)
    }
}

impl<'de> Deserialize<'de> for Load {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(LoadVisitor)
    }
}
