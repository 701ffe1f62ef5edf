//! The events of the simulation, drawn at random.

use proptest::prelude::*;
use proptest::sample::select;

#[derive(Clone, Copy, Debug)]
pub(crate) enum AppendOutcome {
    Arrives,
    ReplyLost,
    Delayed,
    Dropped,
}

#[derive(Clone, Copy, Debug)]
#[rustfmt::skip]
pub(crate) enum Action {
    NewKey, SendClaim, Process, DeliverStart, Recover, FinishAttempts, AdvanceClock, DeliverAppend,
    SetLogState, SetDraining, RestartEndpoint, ReplaceEntry,
}

/// One event. `entry` and `endpoint` are indexes, `key` counts back from the newest key. `even` is true in
/// half of the events and `likely` in three quarters. Each action uses only some of the fields.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Op {
    pub(crate) action: Action,
    pub(crate) entry: usize,
    pub(crate) key: usize,
    pub(crate) endpoint: usize,
    pub(crate) even: bool,
    pub(crate) likely: bool,
    pub(crate) append: AppendOutcome,
    pub(crate) wait_ms: u64,
}

pub(crate) fn op() -> impl Strategy<Value = Op> {
    use Action::{AdvanceClock, DeliverAppend, DeliverStart, FinishAttempts, NewKey, Process};
    use Action::{Recover, ReplaceEntry, RestartEndpoint, SendClaim, SetDraining, SetLogState};
    use AppendOutcome::{Arrives, Delayed, Dropped, ReplyLost};
    let often = [
        SendClaim,
        SendClaim,
        SendClaim,
        Process,
        Process,
        Process,
        Process,
        DeliverStart,
        DeliverStart,
        Recover,
        Recover,
    ];
    let seldom = [
        AdvanceClock,
        DeliverAppend,
        FinishAttempts,
        NewKey,
        RestartEndpoint,
        AdvanceClock,
        DeliverAppend,
        FinishAttempts,
        NewKey,
    ];
    let actions =
        [&often[..], &often, &often, &often, &seldom, &[SetLogState, SetDraining, ReplaceEntry]]
            .concat();
    let appends =
        vec![Arrives, Arrives, Arrives, Arrives, ReplyLost, ReplyLost, Delayed, Delayed, Dropped];
    let waits_ms = vec![20, 20, 20, 1_500, 1_500, 6_000, 29_000, 58_500];
    let flags = (any::<bool>(), prop::bool::weighted(0.75));
    let op = (
        select(actions),
        0..3usize,
        0..2usize,
        0..2usize,
        flags,
        select(appends),
        select(waits_ms),
    );
    op.prop_map(|(action, entry, key, endpoint, (even, likely), append, wait_ms)| Op {
        action,
        entry,
        key,
        endpoint,
        even,
        likely,
        append,
        wait_ms,
    })
}
