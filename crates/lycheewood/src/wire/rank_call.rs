//! Calls of the holder of a group's lease to the agent beside a rank, and their replies.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decisions::expert_groups::{OrderReply, RankCounts, RankOrder, RankStatus};
use crate::ids::InstanceId;

/// What the agent is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankCall {
    /// Read what the rank shows of itself.
    Status,
    /// Read what its requests have chosen.
    Counts {
        /// Experts in each set.
        experts: usize,
        /// The last reading that the caller has from this agent, or 0. The reply then tells the difference only.
        base: u64,
    },
    /// Read which experts it holds.
    HeldExperts,
    /// Give it an order.
    Order {
        /// The formation of the group that the order is for.
        epoch: u64,
        /// The order.
        order: RankOrder,
        /// Whether the rank's status is read after the order and told with the reply. Agents of earlier builds ignore
        /// this and tell the reply alone.
        #[serde(default, skip_serializing_if = "is_false")]
        reads_status: bool,
    },
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// A call for one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRequest {
    /// The endpoint. The rank refuses a call for another one.
    #[serde(rename = "server")]
    pub endpoint: InstanceId,
    /// The number of the caller's term of the lease, or 0 outside a term. An agent or a relay refuses a lower number
    /// than it has seen.
    pub fence: u64,
    /// Where the endpoint listens. An agent calls the endpoint beside it whatever stands here.
    pub address: SocketAddr,
    /// The call.
    pub call: RankCall,
}

/// Counts of a rank as they are sent.
///
/// A lease holder reads the counts of all groups several times a second, and each reading has thousands of them.
/// Most differences from the last reading fit in a byte, while the counts themselves take three to five.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedCounts {
    /// The reading, unique over all runs of all agents.
    #[serde(rename = "n")]
    pub reading: u64,
    /// The reading that the counts are differences from, or 0 if they are counts since the rank started.
    #[serde(rename = "b")]
    pub base: u64,
    /// The reading without its counts.
    #[serde(rename = "r")]
    pub rank: RankCounts,
    /// Experts in each set.
    #[serde(rename = "e")]
    pub experts: usize,
    /// The counts of all sets in order, seven bits to a byte and the lowest first; the last byte of each count has
    /// its highest bit clear.
    #[serde(rename = "c", with = "serde_bytes")]
    pub counts: Vec<u8>,
}

/// Counts of one reading, by set and then by expert, which later readings are compared with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reading {
    pub(crate) id: u64,
    pub(crate) counts: Vec<Vec<u64>>,
}

impl PackedCounts {
    /// Packs the counts of `reading`, as differences from `base` if it has the same shape and no higher count.
    pub(crate) fn pack(reading: u64, rank: &RankCounts, base: Option<&Reading>) -> Self {
        let counts = &rank.counts;
        let differences = base.and_then(|base| differences(counts, &base.counts));
        let base = base.filter(|_| differences.is_some()).map_or(0, |base| base.id);
        let experts = counts.first().map_or(0, Vec::len);
        let mut packed = Vec::with_capacity(counts.len() * experts);
        for count in differences.as_ref().unwrap_or(counts).iter().flatten() {
            push_count(&mut packed, *count);
        }
        let RankCounts { epoch, slowdown_percent, held_step, .. } = *rank;
        let rank = RankCounts { epoch, slowdown_percent, held_step, counts: Vec::new() };
        Self { reading, base, rank, experts, counts: packed }
    }

    /// The counts since the rank started. Returns `None` if they are differences from another reading than `base`
    /// or cannot be decoded.
    pub(crate) fn unpack(self, base: Option<&Reading>) -> Option<RankCounts> {
        let mut counts = Vec::with_capacity(self.counts.len());
        let mut rest = self.counts.as_slice();
        while !rest.is_empty() {
            counts.push(take_count(&mut rest)?);
        }
        if self.experts == 0 || !counts.len().is_multiple_of(self.experts) {
            return None;
        }
        let mut counts: Vec<Vec<u64>> = counts.chunks(self.experts).map(<[u64]>::to_vec).collect();
        if self.base != 0 {
            let base =
                base.filter(|base| base.id == self.base && has_shape(&base.counts, &counts))?;
            for (count, before) in counts.iter_mut().flatten().zip(base.counts.iter().flatten()) {
                *count = count.checked_add(*before)?;
            }
        }
        Some(RankCounts { counts, ..self.rank })
    }
}

fn has_shape(left: &[Vec<u64>], right: &[Vec<u64>]) -> bool {
    left.iter().map(Vec::len).eq(right.iter().map(Vec::len))
}

/// The differences of `counts` from `base`, or `None` if a count is lower or the shapes differ.
fn differences(counts: &[Vec<u64>], base: &[Vec<u64>]) -> Option<Vec<Vec<u64>>> {
    if !has_shape(counts, base) {
        return None;
    }
    let sets = counts.iter().zip(base);
    let difference = |(set, base): (&Vec<u64>, &Vec<u64>)| {
        set.iter().zip(base).map(|(count, base)| count.checked_sub(*base)).collect()
    };
    sets.map(difference).collect()
}

/// Bits of a count in one byte.
const COUNT_BITS: u32 = 7;
const MORE_FOLLOWS: u8 = 0x80;

fn push_count(packed: &mut Vec<u8>, mut count: u64) {
    loop {
        let [low, ..] = count.to_le_bytes();
        count >>= COUNT_BITS;
        if count == 0 {
            packed.push(low & !MORE_FOLLOWS);
            return;
        }
        packed.push(low | MORE_FOLLOWS);
    }
}

/// Takes the first count. Returns `None` if the bytes end within it or it has too many bits.
fn take_count(packed: &mut &[u8]) -> Option<u64> {
    let mut count = 0;
    for shift in (0..u64::BITS).step_by(usize::try_from(COUNT_BITS).ok()?) {
        let (byte, rest) = packed.split_first()?;
        *packed = rest;
        let bits = u64::from(byte & !MORE_FOLLOWS);
        if bits << shift >> shift != bits {
            return None;
        }
        count |= bits << shift;
        if byte & MORE_FOLLOWS == 0 {
            return Some(count);
        }
    }
    None
}

/// What the rank said, or `None` parts without a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankReply {
    /// Its status.
    Status(Option<RankStatus>),
    /// Its counts.
    Counts(Option<PackedCounts>),
    /// Its experts, by set.
    HeldExperts(Option<Vec<Vec<usize>>>),
    /// Nothing: the agent has been called under a later lease.
    Superseded,
    /// Its reply to an order.
    Order(OrderReply),
    /// Its reply to an order, and its status after it if it was read in time. Only sent where the call asks for it.
    OrderAndStatus(OrderReply, Option<RankStatus>),
}
