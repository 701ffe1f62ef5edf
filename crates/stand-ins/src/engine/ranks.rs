//! A group of ranks that runs its steps in lock-step, each rank on an expert map.
//!
//! The group runs a step only when every rank has been granted it. It does not check that all
//! ranks use the same map: the step events show which one each rank used.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::timeout;

use super::fence::{Fence, Refusal};
use super::{EngineFake, EngineFaults, EngineState};
use crate::clock::unix_ms;
use crate::control::Controller;
use crate::http::{self, Call, Reply};

/// Step events kept for tests.
const MAX_EVENTS: usize = 100_000;

/// A map that a rank has been told of but may not use yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StagedMap {
    /// The map.
    pub map_version: u64,
    /// The first step that uses it, if it is committed.
    pub step: u64,
    /// Whether it has been committed.
    pub committed: bool,
}

/// One rank, as `GET /ranks` shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// The map in use; 0 until the first commit.
    pub map_version: u64,
    /// Steps below this one are granted.
    pub granted_until: u64,
    /// The map that waits for its decision or its step.
    pub staged: Option<StagedMap>,
}

impl Rank {
    /// The map for a step; a committed map is used from its step on.
    fn map_for(&self, step: u64) -> u64 {
        match &self.staged {
            Some(staged) if staged.committed && staged.step <= step => staged.map_version,
            _ => self.map_version,
        }
    }

    /// Keeps the map that the step used, and drops what was staged for it.
    fn ran(&mut self, step: u64) {
        self.map_version = self.map_for(step);
        if self.staged.as_ref().is_some_and(|staged| staged.committed && staged.step <= step) {
            self.staged = None;
        }
    }
}

/// One rank's part in one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepEvent {
    /// The step.
    pub step: u64,
    /// The rank.
    pub rank: usize,
    /// The map that the rank used.
    pub map_version: u64,
    /// How long the rank needed.
    pub duration_ms: u64,
}

#[derive(Default)]
pub(super) struct Ranks {
    next_step: u64,
    members: Vec<Rank>,
    fences: Vec<Fence>,
    events: VecDeque<StepEvent>,
}

impl Ranks {
    pub(super) fn new(count: usize) -> Self {
        let (members, fences) = (vec![Rank::default(); count], vec![Fence::default(); count]);
        Self { members, fences, ..Self::default() }
    }

    /// Forgets what every rank knows; the group's step and the events stay.
    pub(super) fn clear(&mut self) {
        for rank in 0..self.members.len() {
            self.replace(rank);
        }
    }

    /// Puts a rank without any state in a rank's place.
    pub(super) fn replace(&mut self, rank: usize) {
        self.members[rank] = Rank::default();
        self.fences[rank] = Fence::default();
    }

    pub(super) fn members(&self) -> &[Rank] {
        &self.members
    }

    pub(super) fn has_run(&self, step: u64) -> bool {
        self.next_step > step
    }

    pub(super) fn events(&self) -> Vec<StepEvent> {
        self.events.iter().cloned().collect()
    }

    /// The next step's events, if every rank may run it and none is stalled.
    fn due(&self, faults: &EngineFaults) -> Option<Vec<StepEvent>> {
        let step = self.next_step;
        let granted = self.members.iter().all(|rank| rank.granted_until > step);
        let stalled = faults.stalled_rank.is_some_and(|rank| rank < self.members.len());
        if self.members.is_empty() || !granted || stalled {
            return None;
        }
        let event = |(rank, known): (usize, &Rank)| StepEvent {
            step,
            rank,
            map_version: known.map_for(step),
            duration_ms: faults.step_duration_ms(rank),
        };
        Some(self.members.iter().enumerate().map(event).collect())
    }

    /// Ends a step that was due, unless a crash or a replaced rank took its grant back.
    fn finish(&mut self, events: Vec<StepEvent>, faults: &EngineFaults) {
        let still_due = self.due(faults).is_some_and(|due| due[0].step == events[0].step);
        if !still_due {
            return;
        }
        self.next_step += 1;
        for event in events {
            self.members[event.rank].ran(event.step);
            self.events.push_back(event);
        }
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    fn obey(&mut self, rank: usize, order: &RankOrder, checks: bool) -> Result<Rank, Refusal> {
        if let Some(number) = order.fencing_number() {
            self.fences[rank].pass(number, checks)?;
        }
        let next_step = self.next_step;
        let known = &mut self.members[rank];
        match *order {
            RankOrder::Stage { map_version, step, .. } => {
                if step < next_step {
                    return Err(Refusal::Conflict("the step has been run"));
                }
                known.staged = Some(StagedMap { map_version, step, committed: false });
            }
            RankOrder::Decide { map_version, commit, .. } => {
                let staged = known.staged.as_mut().filter(|map| map.map_version == map_version);
                let staged = staged.ok_or(Refusal::Conflict("the map is not staged"))?;
                staged.committed = commit;
                if !commit {
                    known.staged = None;
                }
            }
            RankOrder::Grant { until_step } => {
                known.granted_until = known.granted_until.max(until_step);
            }
            RankOrder::Replace => self.replace(rank),
        }
        Ok(self.members[rank].clone())
    }
}

/// What a rank is told.
enum RankOrder {
    Stage { fencing_number: u64, map_version: u64, step: u64 },
    Decide { fencing_number: u64, map_version: u64, commit: bool },
    Grant { until_step: u64 },
    Replace,
}

impl RankOrder {
    /// Grants come from the rank's own daemon, so they carry no fencing number.
    fn fencing_number(&self) -> Option<u64> {
        match self {
            Self::Stage { fencing_number, .. } | Self::Decide { fencing_number, .. } => {
                Some(*fencing_number)
            }
            Self::Grant { .. } | Self::Replace => None,
        }
    }

    fn read(action: &str, call: &Call) -> Result<Self, String> {
        match action {
            "stage" => call.json::<Stage>().map(|body| Self::Stage {
                fencing_number: body.fencing_number,
                map_version: body.map_version,
                step: body.step,
            }),
            "decide" => call.json::<Decide>().map(|body| Self::Decide {
                fencing_number: body.fencing_number,
                map_version: body.map_version,
                commit: body.commit,
            }),
            "grant" => call.json::<Grant>().map(|body| Self::Grant { until_step: body.until_step }),
            "replace" => Ok(Self::Replace),
            _ => Err(format!("no order named {action}")),
        }
    }
}

#[derive(Deserialize)]
struct Stage {
    #[serde(default)]
    fencing_number: u64,
    map_version: u64,
    step: u64,
}

#[derive(Deserialize)]
struct Decide {
    #[serde(default)]
    fencing_number: u64,
    map_version: u64,
    commit: bool,
}

#[derive(Deserialize)]
struct Grant {
    until_step: u64,
}

/// Runs the group's steps, one after the other.
pub(super) async fn run_steps(control: Controller<EngineState>) {
    loop {
        let events = control.wait(|state| state.ranks.due(&state.faults)).await;
        let slowest_ms = events.iter().map(|event| event.duration_ms).max().unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(slowest_ms)).await;
        control.change(move |state| state.ranks.finish(events, &state.faults)).await;
    }
}

/// Handles `POST /ranks/{rank}/{action}`.
pub(super) async fn order(fake: &EngineFake, rank: &str, action: &str, call: &Call) -> Reply {
    let count = fake.control.read(|state| state.ranks.members.len()).await;
    let Some(rank) = rank.parse().ok().filter(|rank| *rank < count) else {
        return http::not_found();
    };
    let order = match RankOrder::read(action, call) {
        Ok(order) => order,
        Err(message) => return http::bad_request(&message),
    };
    let obey =
        move |state: &mut EngineState| state.ranks.obey(rank, &order, state.checks_fencing_numbers);
    match fake.control.change(obey).await {
        Ok(rank) => http::ok(&rank),
        Err(refusal) => refusal.reply(),
    }
}

/// Handles `GET /ranks`. Waits up to `wait_ms` until the next step is at least `min_next_step`.
pub(super) async fn list(fake: &EngineFake, call: &Call) -> Reply {
    let (min_next_step, wait_ms) = (call.number("min_next_step", 0), call.number("wait_ms", 0));
    let has_come =
        move |state: &EngineState| (state.ranks.next_step >= min_next_step).then_some(());
    // When the wait is over, the ranks are shown as they are.
    let _ = timeout(Duration::from_millis(wait_ms), fake.control.wait(has_come)).await;
    let view = |state: &EngineState| (state.ranks.next_step, state.ranks.members.clone());
    let (next_step, ranks) = fake.control.read(view).await;
    http::ok(&json!({ "next_step": next_step, "ranks": ranks }))
}

/// Handles `GET /ranks/load`: tokens by layer and expert, and time and speed of each rank.
pub(super) async fn load(fake: &EngineFake) -> Reply {
    let view = |state: &EngineState| {
        let (ranks, faults) = (&state.ranks, &state.faults);
        let step_ms: Vec<u64> =
            (0..ranks.members.len()).map(|rank| faults.step_duration_ms(rank)).collect();
        let speeds: Vec<f64> = (0..ranks.members.len()).map(|rank| faults.speed(rank)).collect();
        json!({
            "tokens": noisy_tokens(faults, ranks.next_step),
            "step_ms": step_ms,
            "speeds": speeds,
            "slots": faults.expert_slots,
            "ended_unix_ms": unix_ms().saturating_sub(faults.load_lag_ms),
        })
    };
    http::ok(&fake.control.read(view).await)
}

/// The tokens with an error that depends on step, layer and expert only.
fn noisy_tokens(faults: &EngineFaults, step: u64) -> Vec<Vec<u64>> {
    let width = 2 * faults.expert_noise_percent + 1;
    let noisy = |layer: usize, expert: usize, tokens: u64| {
        let seed = step.wrapping_mul(31).wrapping_add((layer * 1_009 + expert * 97) as u64);
        // A multiplicative hash; its high bits are well mixed.
        let draw = (seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) % width;
        tokens * (100 + draw).saturating_sub(faults.expert_noise_percent) / 100
    };
    let layers = faults.expert_tokens.iter().enumerate();
    let of_layer = |(layer, experts): (usize, &Vec<u64>)| {
        experts.iter().enumerate().map(|(expert, &tokens)| noisy(layer, expert, tokens)).collect()
    };
    layers.map(of_layer).collect()
}

/// Handles `GET /steps`: the events of step `from` and later ones.
pub(super) async fn steps(fake: &EngineFake, call: &Call) -> Reply {
    let from = call.number("from", 0);
    let mut events = fake.control.read(|state| state.ranks.events()).await;
    events.retain(|event| event.step >= from);
    http::ok(&json!({ "steps": events }))
}
