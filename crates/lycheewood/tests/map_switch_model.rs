//! Every order of events in a switch of a small group's map, with two holders of the lease one after the
//! other, orders that are lost or carried out late, and a first holder that stops at any point.
//!
//! Guards against a pass that begins while two ranks have different maps, and against a group that is
//! held for good.

use std::collections::HashSet;

use lycheewood::{RankStatus, UnfinishedSwitch, find_unfinished_switch, held_steps};

const RANKS: usize = 2;
/// Passes after which a run ends.
const LAST_STEP: u64 = 5;
/// Orders that may be carried out after their giver has stopped waiting for them.
const MAX_LATE: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Order {
    Prepare(u64),
    Arm(u64, u64),
    Hold(u64),
    Release(u64),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Rank {
    map: u64,
    /// The newest version that it was told to prepare; older ones are refused.
    prepared: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

/// What a holder of the lease does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The second holder before the lease is its own.
    Waiting,
    /// It is about to look at all ranks.
    Enter,
    Prepare {
        done: [bool; RANKS],
    },
    Hold {
        step: u64,
    },
    Arm {
        step: u64,
        done: [bool; RANKS],
        version: u64,
        rank: usize,
    },
    Release {
        step: u64,
        version: u64,
        rank: usize,
    },
    Settle {
        version: u64,
    },
    Done,
    /// Crashed, or its lease is over.
    Stopped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The next pass.
    step: u64,
    ranks: [Rank; RANKS],
    holders: [Phase; 2],
    /// Orders that will be carried out at some time, without a reply.
    late: Vec<(usize, Order)>,
}

/// The version that a holder proposes; the log gives each its own.
fn version(holder: usize) -> u64 {
    if holder == 0 { 1 } else { 2 }
}

/// The rank that holds the group for a holder's version; each version has another one.
fn holding_rank(holder: usize) -> usize {
    (holder + 1) % RANKS
}

impl State {
    fn new() -> Self {
        let start = Phase::Prepare { done: [false; RANKS] };
        Self {
            step: 1,
            ranks: [Rank::default(); RANKS],
            holders: [start, Phase::Waiting],
            late: Vec::new(),
        }
    }

    /// Carries an order out as the engines' protocol says. Tells whether it is done or refused.
    fn carry_out(&mut self, rank: usize, order: Order) -> bool {
        let step_now = self.step;
        let rank = &mut self.ranks[rank];
        match order {
            Order::Prepare(version) if rank.prepared == version || rank.map == version => true,
            Order::Prepare(version) => {
                let fits = version > rank.prepared && version > rank.map && rank.armed.is_none();
                if fits {
                    rank.prepared = version;
                }
                fits
            }
            Order::Arm(version, step) if rank.armed == Some((version, step)) => true,
            Order::Arm(version, step) => {
                let fits = rank.prepared == version && step >= step_now;
                if fits {
                    rank.armed = Some((version, step));
                }
                fits
            }
            Order::Hold(step) if rank.held == Some(step) => true,
            Order::Hold(step) => {
                // A rank holds one pass at a time; a later hold takes the place of the former.
                let fits = step >= step_now;
                if fits {
                    rank.held = Some(step);
                }
                fits
            }
            Order::Release(step) => {
                if rank.held == Some(step) {
                    rank.held = None;
                }
                true
            }
        }
    }

    /// Begins the next pass, if no rank holds it.
    fn begin_pass(&self) -> Option<Self> {
        if self.step >= LAST_STEP || self.ranks.iter().any(|rank| rank.held == Some(self.step)) {
            return None;
        }
        let mut next = self.clone();
        for rank in &mut next.ranks {
            if let Some((version, step)) = rank.armed
                && step == self.step
            {
                rank.map = version;
                rank.armed = None;
            }
        }
        next.step += 1;
        Some(next)
    }

    fn statuses(&self) -> Vec<RankStatus> {
        let status = |rank: &Rank| RankStatus {
            step: self.step - 1,
            map_version: rank.map,
            prepared_versions: (rank.prepared > rank.map)
                .then_some(rank.prepared)
                .into_iter()
                .collect(),
            armed_switch: rank.armed,
            held_step: rank.held,
        };
        self.ranks.iter().map(status).collect()
    }

    /// The orders that a holder may give now.
    fn orders(&self, holder: usize) -> Vec<(usize, Order)> {
        let missing = |done: [bool; RANKS]| (0..RANKS).filter(move |rank| !done[*rank]);
        match self.holders[holder] {
            Phase::Prepare { done } => {
                missing(done).map(|rank| (rank, Order::Prepare(version(holder)))).collect()
            }
            Phase::Hold { step } => vec![(holding_rank(holder), Order::Hold(step))],
            Phase::Arm { step, done, version, .. } => {
                missing(done).map(|rank| (rank, Order::Arm(version, step))).collect()
            }
            Phase::Release { step, rank, .. } => vec![(rank, Order::Release(step))],
            // Between two switches as well as after one, holds are late ones.
            Phase::Settle { .. } | Phase::Done => held_steps(&self.statuses())
                .into_iter()
                .map(|(rank, step)| (rank, Order::Release(step)))
                .collect(),
            Phase::Waiting | Phase::Enter | Phase::Stopped => Vec::new(),
        }
    }

    /// A holder learns what became of its order.
    fn learn(&mut self, holder: usize, rank: usize, is_done: bool) {
        let own = version(holder);
        let lead = self.step + 1;
        let phase = &mut self.holders[holder];
        *phase = match *phase {
            Phase::Prepare { mut done } if is_done => {
                done[rank] = true;
                if done == [true; RANKS] {
                    Phase::Hold { step: lead }
                } else {
                    Phase::Prepare { done }
                }
            }
            Phase::Hold { step } if is_done => {
                Phase::Arm { step, done: [false; RANKS], version: own, rank }
            }
            // The pass has begun: another one is named.
            Phase::Hold { .. } => Phase::Hold { step: lead },
            Phase::Arm { step, mut done, version, rank: held } if is_done => {
                done[rank] = true;
                if done == [true; RANKS] {
                    Phase::Release { step, version, rank: held }
                } else {
                    Phase::Arm { step, done, version, rank: held }
                }
            }
            Phase::Release { version, .. } | Phase::Settle { version } => Phase::Settle { version },
            Phase::Done => Phase::Done,
            // A refusal elsewhere makes the holder look again.
            _ => Phase::Enter,
        };
    }

    /// A holder looks at all ranks.
    fn enter(&mut self, holder: usize) {
        self.holders[holder] = match find_unfinished_switch(&self.statuses()) {
            UnfinishedSwitch::Nothing
                if self.ranks.iter().all(|rank| rank.map == version(holder)) =>
            {
                Phase::Done
            }
            UnfinishedSwitch::Nothing => Phase::Prepare { done: [false; RANKS] },
            UnfinishedSwitch::Switch { version, step, rank } => {
                Phase::Arm { step, done: [false; RANKS], version, rank }
            }
            UnfinishedSwitch::Hold { step, rank } => Phase::Release { step, version: 0, rank },
        };
    }

    fn next(&self) -> Vec<Self> {
        let mut states: Vec<Self> = self.begin_pass().into_iter().collect();
        for holder in 0..2 {
            for (rank, order) in self.orders(holder) {
                let mut answered = self.clone();
                let is_done = answered.carry_out(rank, order);
                answered.learn(holder, rank, is_done);
                states.push(answered);
                let mut unanswered = self.clone();
                unanswered.carry_out(rank, order);
                states.push(unanswered);
                if self.late.len() < MAX_LATE && !self.late.contains(&(rank, order)) {
                    let mut late = self.clone();
                    late.late.push((rank, order));
                    late.late.sort_by_key(|late| format!("{late:?}"));
                    states.push(late);
                }
            }
            match self.holders[holder] {
                Phase::Enter => {
                    let mut entered = self.clone();
                    entered.enter(holder);
                    states.push(entered);
                }
                Phase::Settle { version } if self.ranks.iter().all(|r| r.map == version) => {
                    let mut settled = self.clone();
                    settled.holders[holder] = Phase::Done;
                    states.push(settled);
                }
                Phase::Settle { version: 0 } => {
                    let mut again = self.clone();
                    again.holders[holder] = Phase::Enter;
                    states.push(again);
                }
                _ => {}
            }
        }
        for index in 0..self.late.len() {
            let mut carried = self.clone();
            let (rank, order) = carried.late.remove(index);
            carried.carry_out(rank, order);
            states.push(carried);
        }
        // The first holder stops anywhere, and the lease goes to the second.
        if self.holders[1] == Phase::Waiting {
            let mut moved = self.clone();
            moved.holders = [Phase::Stopped, Phase::Enter];
            states.push(moved);
        }
        states
    }

    fn has_one_map(&self) -> bool {
        self.ranks.iter().all(|rank| rank.map == self.ranks[0].map)
    }
}

#[test]
fn no_order_of_events_parts_the_ranks() {
    let mut seen: HashSet<State> = HashSet::new();
    let mut open = vec![State::new()];
    while let Some(state) = open.pop() {
        assert!(state.has_one_map(), "ranks have different maps: {state:?}");
        for next in state.next() {
            if !seen.contains(&next) {
                seen.insert(next.clone());
                open.push(next);
            }
        }
    }
    // The exploration is of some use only if it gets far.
    assert!(seen.len() > 10_000, "only {} states", seen.len());
    assert!(seen.iter().any(|state| state.ranks[0].map == 2 && state.holders[1] == Phase::Done));
}

/// Guards against a group that nobody releases: from every state the last pass can still be reached
/// while a holder lives and orders are answered.
#[test]
fn every_held_group_can_be_released() {
    let mut seen: HashSet<State> = HashSet::new();
    let mut open = vec![State::new()];
    while let Some(state) = open.pop() {
        let is_lost = state.late.is_empty()
            && state.holders[1] != Phase::Waiting
            && state.next().iter().all(|next| *next == state)
            && state.step < LAST_STEP;
        assert!(!is_lost, "the group is held for good: {state:?}");
        for next in state.next() {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
}
