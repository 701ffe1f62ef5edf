//! Explores every interleaving of events in a switch of a small group's map: two successive lease holders,
//! orders whose reply is lost or which are executed late, orders to arm whose reply belongs to another call, and a
//! first holder that stops at any point.
//!
//! Guards against a pass that begins while two ranks have different maps, and against a group that is
//! held forever.

use std::collections::HashSet;

use lycheewood::{
    MapSwitch, RankStatus, UnfinishedSwitch, find_unfinished_switch, held_steps, may_release_hold,
};

const RANKS: usize = 2;
/// Pass at which a run ends.
const LAST_STEP: u64 = 5;
/// Orders that may be executed after their sender has stopped waiting for the reply.
const MAX_DELAYED_ORDERS: usize = 2;

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
    /// The newest version that it was ordered to prepare. Older ones are refused.
    prepared: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

/// The next action of a lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Second holder, before it holds the lease.
    Waiting,
    /// Reads the status of all ranks.
    Inspect,
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
    AwaitSwitch {
        version: u64,
    },
    Done,
    /// Crashed, or its lease has ended.
    Stopped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The next pass.
    step: u64,
    ranks: [Rank; RANKS],
    holders: [Phase; 2],
    /// Orders that will be executed at any later time, without a reply.
    delayed: Vec<(usize, Order)>,
}

/// The version that a holder proposes. The log assigns a different one to each.
fn version(holder: usize) -> u64 {
    if holder == 0 { 1 } else { 2 }
}

/// The rank that holds the group for a holder's version. Each version has a different one.
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
            delayed: Vec::new(),
        }
    }

    /// Executes an order by the engines' protocol. Returns whether it was accepted.
    fn execute(&mut self, rank: usize, order: Order) -> bool {
        let current_step = self.step;
        let rank = &mut self.ranks[rank];
        match order {
            Order::Prepare(version) if rank.prepared == version || rank.map == version => true,
            Order::Prepare(version) => {
                let accepted =
                    version > rank.prepared && version > rank.map && rank.armed.is_none();
                if accepted {
                    rank.prepared = version;
                }
                accepted
            }
            Order::Arm(version, step) if rank.armed == Some((version, step)) => true,
            Order::Arm(version, step) => {
                let accepted = rank.prepared == version && step >= current_step;
                if accepted {
                    rank.armed = Some((version, step));
                }
                accepted
            }
            Order::Hold(step) if rank.held == Some(step) => true,
            Order::Hold(step) => {
                // A rank holds one pass at a time. A later hold replaces the former one.
                let accepted = step >= current_step;
                if accepted {
                    rank.held = Some(step);
                }
                accepted
            }
            Order::Release(step) => {
                if rank.held == Some(step) {
                    rank.held = None;
                }
                true
            }
        }
    }

    /// The state after the next pass has begun, unless a rank holds that pass.
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

    /// The orders that a holder may send in this state.
    fn possible_orders(&self, holder: usize) -> Vec<(usize, Order)> {
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
            // Any hold that is left at this point was executed late and must be released.
            Phase::AwaitSwitch { .. } | Phase::Done => held_steps(&self.statuses())
                .into_iter()
                .filter(|(_, step)| may_release_hold(&self.statuses(), *step))
                .map(|(rank, step)| (rank, Order::Release(step)))
                .collect(),
            Phase::Waiting | Phase::Inspect | Phase::Stopped => Vec::new(),
        }
    }

    /// Handles the reply to a holder's order.
    fn handle_reply(&mut self, holder: usize, rank: usize, is_done: bool) {
        let own = version(holder);
        let next_pass = self.step + 1;
        let phase = &mut self.holders[holder];
        *phase = match *phase {
            Phase::Prepare { mut done } if is_done => {
                done[rank] = true;
                if done == [true; RANKS] {
                    Phase::Hold { step: next_pass }
                } else {
                    Phase::Prepare { done }
                }
            }
            Phase::Hold { step } if is_done => {
                Phase::Arm { step, done: [false; RANKS], version: own, rank }
            }
            // The pass has begun already, so a later one is held.
            Phase::Hold { .. } => Phase::Hold { step: next_pass },
            // Only the status of a rank confirms that it is armed.
            Phase::Arm { .. } if is_done => *phase,
            Phase::Release { version, .. } | Phase::AwaitSwitch { version } => {
                Phase::AwaitSwitch { version }
            }
            Phase::Done => Phase::Done,
            // After any other refusal the holder inspects the ranks again.
            _ => Phase::Inspect,
        };
    }

    /// A holder that arms the ranks reads the status of one of them.
    fn read_armed(&mut self, holder: usize, rank: usize) {
        let Phase::Arm { step, mut done, version, rank: held } = self.holders[holder] else {
            return;
        };
        let status = &self.statuses()[rank];
        done[rank] |= MapSwitch::resume(version, 1, RANKS, step, held).confirm(rank, status);
        self.holders[holder] = if done == [true; RANKS] {
            Phase::Release { step, version, rank: held }
        } else {
            Phase::Arm { step, done, version, rank: held }
        };
    }

    /// A holder reads the status of all ranks and chooses its next action.
    fn inspect_ranks(&mut self, holder: usize) {
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
            UnfinishedSwitch::Hold { step, rank } => {
                assert!(may_release_hold(&self.statuses(), step), "held for ever: {self:?}");
                Phase::Release { step, version: 0, rank }
            }
        };
    }

    fn successors(&self) -> Vec<Self> {
        let mut states: Vec<Self> = self.begin_pass().into_iter().collect();
        for holder in 0..2 {
            for (rank, order) in self.possible_orders(holder) {
                let mut answered = self.clone();
                let is_done = answered.execute(rank, order);
                answered.handle_reply(holder, rank, is_done);
                states.push(answered);
                let mut unanswered = self.clone();
                unanswered.execute(rank, order);
                states.push(unanswered);
                if self.delayed.len() < MAX_DELAYED_ORDERS && !self.delayed.contains(&(rank, order))
                {
                    let mut delayed = self.clone();
                    delayed.delayed.push((rank, order));
                    delayed.delayed.sort_by_key(|delayed| format!("{delayed:?}"));
                    states.push(delayed);
                    if matches!(order, Order::Arm(..)) {
                        // The holder takes the reply to another call for the reply to this order.
                        let mut misread = self.clone();
                        misread.delayed.push((rank, order));
                        misread.delayed.sort_by_key(|delayed| format!("{delayed:?}"));
                        misread.handle_reply(holder, rank, true);
                        states.push(misread);
                    }
                }
            }
            for rank in 0..RANKS {
                let mut read = self.clone();
                read.read_armed(holder, rank);
                states.push(read);
            }
            match self.holders[holder] {
                Phase::Inspect => {
                    let mut inspected = self.clone();
                    inspected.inspect_ranks(holder);
                    states.push(inspected);
                }
                Phase::AwaitSwitch { version } if self.ranks.iter().all(|r| r.map == version) => {
                    let mut switched = self.clone();
                    switched.holders[holder] = Phase::Done;
                    states.push(switched);
                }
                Phase::AwaitSwitch { version: 0 } => {
                    let mut retried = self.clone();
                    retried.holders[holder] = Phase::Inspect;
                    states.push(retried);
                }
                _ => {}
            }
        }
        for index in 0..self.delayed.len() {
            let mut executed = self.clone();
            let (rank, order) = executed.delayed.remove(index);
            executed.execute(rank, order);
            states.push(executed);
        }
        // The first holder may stop in any state, and the lease passes to the second.
        if self.holders[1] == Phase::Waiting {
            let mut taken_over = self.clone();
            taken_over.holders = [Phase::Stopped, Phase::Inspect];
            states.push(taken_over);
        }
        states
    }

    fn has_one_map(&self) -> bool {
        self.ranks.iter().all(|rank| rank.map == self.ranks[0].map)
    }
}

#[test]
fn no_order_of_events_parts_the_ranks() {
    let mut visited: HashSet<State> = HashSet::new();
    let mut frontier = vec![State::new()];
    while let Some(state) = frontier.pop() {
        assert!(state.has_one_map(), "ranks have different maps: {state:?}");
        for next in state.successors() {
            if !visited.contains(&next) {
                visited.insert(next.clone());
                frontier.push(next);
            }
        }
    }
    // Guards against a model that ends early and so checks nothing.
    assert!(visited.len() > 10_000, "only {} states", visited.len());
    assert!(visited.iter().any(|state| state.ranks[0].map == 2 && state.holders[1] == Phase::Done));
}

/// Guards against a group that nobody releases: while a holder is active and no order is delayed, no state
/// before the last pass may be a dead end.
#[test]
fn every_held_group_can_be_released() {
    let mut visited: HashSet<State> = HashSet::new();
    let mut frontier = vec![State::new()];
    while let Some(state) = frontier.pop() {
        let is_deadlocked = state.delayed.is_empty()
            && state.holders[1] != Phase::Waiting
            && state.successors().iter().all(|next| *next == state)
            && state.step < LAST_STEP;
        assert!(!is_deadlocked, "the group is held forever: {state:?}");
        for next in state.successors() {
            if visited.insert(next.clone()) {
                frontier.push(next);
            }
        }
    }
}
