//! Encoding of a heartbeat as an array without field names, written by hand.
//!
//! The extension is a last element that is present only if it has content, so builds without it read the others.

use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};

use crate::wire::heartbeat::Heartbeat;

/// Number of elements without the extension.
const ELEMENTS: usize = 9;

impl Serialize for Heartbeat {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let has_extension = !self.extension.is_empty();
        let mut tuple = serializer.serialize_tuple(ELEMENTS + usize::from(has_extension))?;
        tuple.serialize_element(&self.about)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&self.sequence)?;
        tuple.serialize_element(&self.is_ready)?;
        tuple.serialize_element(&self.leading)?;
        tuple.serialize_element(&self.route_version)?;
        tuple.serialize_element(&self.endpoints_next)?;
        tuple.serialize_element(&self.reads)?;
        tuple.serialize_element(&self.in_flight)?;
        if has_extension {
            tuple.serialize_element(&self.extension)?;
        }
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Heartbeat {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(HeartbeatVisitor)
    }
}

struct HeartbeatVisitor;

impl<'de> Visitor<'de> for HeartbeatVisitor {
    type Value = Heartbeat;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a heartbeat as an array")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Heartbeat, A::Error> {
        let heartbeat = Heartbeat {
            about: next(&mut elements, 0)?,
            incarnation: next(&mut elements, 1)?,
            sequence: next(&mut elements, 2)?,
            is_ready: next(&mut elements, 3)?,
            leading: next(&mut elements, 4)?,
            route_version: next(&mut elements, 5)?,
            endpoints_next: next(&mut elements, 6)?,
            reads: next(&mut elements, 7)?,
            in_flight: next(&mut elements, 8)?,
            extension: elements.next_element()?.unwrap_or_default(),
        };
        while elements.next_element::<IgnoredAny>()?.is_some() {}
        Ok(heartbeat)
    }
}

fn next<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    elements: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    elements.next_element()?.ok_or_else(|| A::Error::invalid_length(index, &HeartbeatVisitor))
}
