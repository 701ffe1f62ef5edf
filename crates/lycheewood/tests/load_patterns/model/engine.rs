//! The engines of the model: passes that all ranks share.

use super::gateway::seed;
use super::{DEADLINE_MS, Model, PATIENCE_MS, Policy, Rank, Stream, at, to_f64};

/// Time between two passes of a group that does not run, until it is looked at again.
const IDLE_STEP_MS: u64 = 1;
/// Time of a pass for work other than steps and prompts, in milliseconds.
const PASS_OVERHEAD_MS: f64 = 10.0;
/// Longest time for which a pass reads prompts, in milliseconds. Engines read a chunk of a prompt in each step; what
/// is left is read in later passes.
const MAX_PROMPTS_MS: f64 = 24.0;

impl Model<'_> {
    /// Starts the next pass after the events of the last one.
    pub(super) fn end_pass(&mut self) {
        let slowdown = (self.pattern.slowdown)(self.now_ms);
        if slowdown.is_infinite() {
            self.pass_ends_ms = self.now_ms + IDLE_STEP_MS;
            return;
        }
        let mut freed = Vec::new();
        for rank in 0..self.ranks.len() {
            let mut running = std::mem::take(&mut self.ranks[rank].running);
            running.retain_mut(|stream| {
                let keeps = self.advance(stream);
                if !keeps {
                    freed.push((stream.gateway, rank));
                }
                keeps
            });
            self.ranks[rank].running = running;
        }
        for (gateway, rank) in freed {
            self.gateways[gateway].own[rank] -= 1;
            self.gateways[gateway].claims.record_freed(seed(gateway), at(self.now_ms));
            self.serve_waiting(gateway);
        }
        let slots = usize::try_from(self.pattern.site.engine.slots).unwrap();
        let heeds_priority = matches!(self.policy, Policy::Paced | Policy::Strict);
        let mut most_tokens: f64 = 0.0;
        for Rank { running, queued } in &mut self.ranks {
            let mut tokens = 0.0;
            while running.len() < slots {
                let classes = queued.iter().map(|stream| stream.request.class).enumerate();
                let first =
                    classes.min_by_key(|(_, class)| if heeds_priority { *class } else { 0 });
                let Some(stream) = first.and_then(|(index, _)| queued.remove(index)) else { break };
                tokens += stream.request.prompt_tokens;
                running.push(stream);
            }
            most_tokens = most_tokens.max(tokens);
        }
        self.pass_ends_ms = self.now_ms + self.pass_ms(slowdown, most_tokens);
    }

    /// Makes one event of a stream. Returns whether the stream goes on.
    fn advance(&mut self, stream: &mut Stream) -> bool {
        let request = stream.request;
        if request.leaves_ms.is_some_and(|leaves| leaves <= self.now_ms) {
            return false;
        }
        let last_ms = stream.last_event_ms.unwrap_or(request.received_ms);
        if self.now_ms - last_ms > PATIENCE_MS {
            self.outcome.unserved += u32::from(request.leaves_ms.is_none());
            return false;
        }
        let site = self.pattern.site;
        match stream.last_event_ms.replace(self.now_ms) {
            None => {
                stream.is_late = self.now_ms - request.asked_ms > site.target_ms[request.class];
            }
            Some(last) => {
                let gap_ms = self.now_ms - last;
                stream.is_late |= gap_ms > site.gap_ms;
                self.gateways[stream.gateway].gaps.record(gap_ms, at(self.now_ms));
            }
        }
        stream.events_left -= 1;
        let is_overdue = self.now_ms - request.asked_ms > DEADLINE_MS;
        if request.leaves_ms.is_none() && (is_overdue || stream.events_left == 0) {
            match (is_overdue, stream.is_late) {
                (true, _) => self.outcome.unserved += 1,
                (false, true) => self.outcome.count(&request, |share| share.late += 1),
                (false, false) => self.outcome.count(&request, |share| share.on_time += 1),
            }
        }
        !is_overdue && stream.events_left > 0
    }

    fn pass_ms(&self, slowdown: f64, most_tokens: f64) -> u64 {
        let engine = &self.pattern.site.engine;
        let running: usize = self.ranks.iter().map(|rank| rank.running.len()).sum();
        if running == 0 {
            return IDLE_STEP_MS;
        }
        let mean = to_f64(running) / to_f64(self.ranks.len());
        let most = self.ranks.iter().map(|rank| rank.running.len()).max().unwrap_or(0);
        let share = engine.expert_share;
        let imbalance = (self.pattern.imbalance)(self.now_ms);
        let requests = (1.0 - share) * to_f64(most) + share * mean * imbalance;
        let step_ms = engine.step_ms * slowdown + engine.per_request_ms * requests;
        let prompts_ms = most_tokens / engine.prefill_tokens_per_s * 1_000.0;
        let pass_ms = step_ms * f64::from(engine.tokens_per_event)
            + prompts_ms.clamp(PASS_OVERHEAD_MS, MAX_PROMPTS_MS);
        std::time::Duration::from_secs_f64(pass_ms / 1_000.0).as_millis().try_into().unwrap()
    }
}
