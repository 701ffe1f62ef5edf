//! What can happen in the state machine.

use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Reply {
    Arrives,
    Lost,
    Delayed,
    Never,
}

/// `entry` and `endpoint` are indexes; `key` counts back from the newest key.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    NewKey,
    Send { entry: usize, key: usize, endpoint: usize, twice: bool, reply: Reply },
    Work { entry: usize, reads: bool, pauses: bool },
    DeliverStart { which: usize, again: bool },
    Recover { entry: usize, reaches: bool },
    FinishRun { endpoint: usize, lost: bool },
    Advance { ms: u64 },
    DelayedAppend,
    LogUp(bool),
    Drain { endpoint: usize, on: bool },
    RestartEndpoint { endpoint: usize },
    RestartEntry { entry: usize },
}

pub(crate) fn op() -> impl Strategy<Value = Op> {
    use Reply::{Arrives, Delayed, Lost, Never};
    let reply = [Arrives, Arrives, Arrives, Arrives, Lost, Lost, Delayed, Delayed, Never];
    let times_ms = [20, 20, 20, 1_500, 1_500, 6_000, 29_000, 58_500];
    let (index, flags) = ((0..3usize, 0..2usize, 0..2usize), any::<(bool, bool, bool)>());
    let any = (
        0..60,
        index,
        flags,
        prop::sample::select(reply.to_vec()),
        prop::sample::select(times_ms.to_vec()),
    );
    any.prop_map(|(kind, (entry, key, endpoint), (one, two, three), reply, ms)| match kind {
        0..2 => Op::NewKey,
        2..14 => Op::Send { entry, key, endpoint, twice: one && two, reply },
        14..30 => Op::Work { entry, reads: one || two, pauses: three },
        30..38 => Op::DeliverStart { which: entry, again: one },
        38..45 => Op::Recover { entry, reaches: one || two },
        45..47 => Op::FinishRun { endpoint, lost: one },
        47..52 => Op::Advance { ms },
        52..54 => Op::DelayedAppend,
        54 => Op::LogUp(one || two),
        55 => Op::Drain { endpoint, on: one && two },
        56..59 => Op::RestartEndpoint { endpoint },
        _ => Op::RestartEntry { entry },
    })
}
