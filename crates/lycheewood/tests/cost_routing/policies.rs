//! The gateways of the model: what each knows, and how it chooses an endpoint.

use lycheewood::{
    AnswerTable, BalancingCandidate, EndpointPace, EndpointWork, EngineProfile, FailureDomain,
    GapAverage, GroupWork, InstanceId, LengthHint, RequestCost, RequestFacts, RequestWork,
    ServicePace, Timestamp, TokenUsage, WorkCandidate, WorkRequest, choose_by_load, choose_by_work,
    estimate_cost, group_slowdown, total_work_ms,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::model::{DOMAINS, Scenario};

/// How gateways choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The decisions of the library, by estimated work.
    Work,
    /// The choice before: the fewest requests per slot of a random sample.
    Load,
    /// The one of two random endpoints with fewer requests in flight.
    TwoChoices,
    /// The endpoint with the fewest requests in flight.
    LeastCount,
}

pub(crate) const POLICIES: [(Policy, &str); 4] = [
    (Policy::Work, "work"),
    (Policy::Load, "load"),
    (Policy::TwoChoices, "two_choices"),
    (Policy::LeastCount, "least_count"),
];

/// A request as its gateway tracks it.
pub(crate) struct Sent {
    pub(crate) endpoint: usize,
    /// Events sent so far.
    pub(crate) events: u32,
    gateway: usize,
    route: usize,
    hint: f64,
    dispatched_ms: u64,
    prompt_ms: f64,
    work: RequestWork,
}

#[derive(Clone, Copy, Default)]
struct Known {
    in_flight: u32,
    work: EndpointWork,
    pace: EndpointPace,
}

struct Gateway {
    own: Vec<Known>,
    others_in_flight: Vec<u32>,
    others_work_ms: Vec<f64>,
    references: Vec<ServicePace>,
    gaps: Vec<GapAverage>,
    answers: AnswerTable,
    refresh_ms: u64,
}

/// All gateways.
pub(crate) struct Fleet {
    scenario: Scenario,
    policy: Policy,
    profile: EngineProfile,
    random: StdRng,
    ids: Vec<InstanceId>,
    domains: Vec<FailureDomain>,
    gateways: Vec<Gateway>,
}

fn index_below(random: u64, len: usize) -> usize {
    usize::try_from((random & 0xffff_ffff) % u64::try_from(len).unwrap()).unwrap()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_unix_ms(1_000_000 + ms)
}

impl Fleet {
    pub(crate) fn new(scenario: &Scenario, policy: Policy, seed: u64) -> Self {
        let endpoints = scenario.endpoints();
        let (shortest, longest) = scenario.refresh_ms;
        let count = u64::try_from(scenario.gateways).unwrap();
        let gateways = (0..count).map(|gateway| Gateway {
            own: vec![Known::default(); endpoints],
            others_in_flight: vec![0; endpoints],
            others_work_ms: vec![0.0; endpoints],
            references: vec![ServicePace::default(); scenario.groups],
            gaps: vec![GapAverage::default(); scenario.groups],
            answers: AnswerTable::default(),
            refresh_ms: shortest + (longest - shortest) * gateway / count,
        });
        Self {
            scenario: *scenario,
            policy,
            profile: scenario.profile(),
            random: StdRng::seed_from_u64(seed ^ 0x5eed),
            ids: (0..endpoints).map(|n| InstanceId::new(&format!("endpoint-{n}"))).collect(),
            domains: (0..DOMAINS).map(|n| FailureDomain::new(&format!("domain-{n}"))).collect(),
            gateways: gateways.collect(),
        }
    }

    /// Chooses an endpoint for a request and counts it there.
    pub(crate) fn send(
        &mut self,
        gateway: usize,
        route: usize,
        prompt_tokens: f64,
        hint: f64,
        now_ms: u64,
    ) -> Sent {
        let cost = self.estimate(gateway, route, prompt_tokens, hint, now_ms);
        let random = self.random.random();
        let endpoint = match self.policy {
            Policy::Work => self.choose_by_work(gateway, cost, random, now_ms),
            Policy::Load => {
                let candidates = self.candidates(gateway, now_ms);
                let domain = &self.domains[gateway % DOMAINS];
                let index = choose_by_load(&candidates, domain, &[], random);
                index.map(|index| self.index_of(candidates[index].id))
            }
            Policy::TwoChoices => {
                let candidates = self.candidates(gateway, now_ms);
                let first = index_below(random, candidates.len());
                let second = index_below(random >> 32, candidates.len());
                let fewer = candidates[first].in_flight <= candidates[second].in_flight;
                Some(self.index_of(candidates[if fewer { first } else { second }].id))
            }
            Policy::LeastCount => {
                let candidates = self.candidates(gateway, now_ms);
                let least = candidates.iter().min_by_key(|candidate| candidate.in_flight);
                least.map(|candidate| self.index_of(candidate.id))
            }
        };
        let endpoint = endpoint.expect("an endpoint");
        let work = RequestWork::new(cost);
        let instances = u32::try_from(self.gateways.len()).unwrap();
        let known = &mut self.gateways[gateway].own[endpoint];
        known.in_flight += 1;
        known.work.add(&work);
        known.pace.record_sent(instances, at(now_ms));
        let prompt_ms = cost.prompt_ms;
        Sent { endpoint, events: 0, gateway, route, hint, dispatched_ms: now_ms, prompt_ms, work }
    }

    fn index_of(&self, id: &InstanceId) -> usize {
        self.ids.iter().position(|other| other == id).expect("a known endpoint")
    }

    fn estimate(
        &self,
        gateway: usize,
        route: usize,
        prompt_tokens: f64,
        hint: f64,
        now_ms: u64,
    ) -> RequestCost {
        let cost = self.profile.cost.expect("a cost profile");
        let answers = &self.gateways[gateway].answers;
        let answer =
            answers.estimate(&route.to_string(), None, cost.typical_answer_tokens, at(now_ms));
        let usage = format!("{prompt_tokens:.0},2048");
        let facts = RequestFacts {
            usage: TokenUsage::try_from(usage.as_str()).expect("token counts"),
            hint: LengthHint::try_from(format!("{hint:.0}").as_str()).ok(),
            events_received: 0,
        };
        estimate_cost(&self.profile, &cost, &facts, &answer)
    }

    fn candidate(&self, gateway: usize, endpoint: usize) -> BalancingCandidate<'_> {
        let Gateway { own, others_in_flight, .. } = &self.gateways[gateway];
        BalancingCandidate {
            id: &self.ids[endpoint],
            failure_domain: &self.domains[endpoint % DOMAINS],
            slots: self.profile.slots,
            in_flight: own[endpoint].in_flight + others_in_flight[endpoint],
            failures: 0.0,
            is_slow: false,
        }
    }

    fn candidates(&self, gateway: usize, now_ms: u64) -> Vec<BalancingCandidate<'_>> {
        let listed = (0..self.ids.len()).filter(|n| (self.scenario.is_listed)(now_ms, *n));
        listed.map(|endpoint| self.candidate(gateway, endpoint)).collect()
    }

    fn choose_by_work(
        &mut self,
        gateway: usize,
        cost: RequestCost,
        random: u64,
        now_ms: u64,
    ) -> Option<usize> {
        let ranks = self.scenario.ranks;
        let typical =
            RequestCost::typical(&self.profile, &self.profile.cost.expect("a cost profile"));
        let known = &mut self.gateways[gateway];
        let shared_reference = usize::from(ranks > 1);
        for (endpoint, own) in known.own.iter_mut().enumerate() {
            let reference = &known.references[endpoint / ranks * shared_reference];
            own.pace.check_silence(reference, at(now_ms));
        }
        let listed: Vec<usize> =
            (0..self.ids.len()).filter(|n| (self.scenario.is_listed)(now_ms, *n)).collect();
        let known = &self.gateways[gateway];
        let work_ms = |endpoint: usize| {
            total_work_ms(&known.own[endpoint].work, known.others_work_ms[endpoint], 0, &typical)
        };
        let mut groups = vec![GroupWork::default(); self.scenario.groups];
        for endpoint in &listed {
            let in_flight = self.candidate(gateway, *endpoint).in_flight.min(self.profile.slots);
            groups[endpoint / ranks].add(work_ms(*endpoint), in_flight);
        }
        let candidates: Vec<WorkCandidate<'_>> = listed
            .iter()
            .map(|endpoint| {
                let balancing = self.candidate(gateway, *endpoint);
                let pace = &known.own[*endpoint].pace;
                let group_work = &groups[endpoint / ranks];
                let gap_ms = known.gaps[endpoint / ranks].mean_ms(at(now_ms));
                let batch = group_work.in_flight_per_rank();
                let group = group_slowdown(&self.profile, gap_ms.filter(|_| ranks > 1), batch);
                WorkCandidate {
                    work_ms: work_ms(*endpoint),
                    group_work_ms: group_work.per_rank_ms(),
                    group_in_flight: group_work.in_flight_per_rank(),
                    slowdown: pace.slowdown() * group,
                    is_probe_due: pace.is_probe_due(balancing.in_flight, at(now_ms)),
                    endpoint: BalancingCandidate { is_slow: pace.is_slow(), ..balancing },
                }
            })
            .collect();
        let request = WorkRequest { engine: &self.profile, cost, typical };
        let domain = &self.domains[gateway % DOMAINS];
        let index = choose_by_work(&candidates, &request, domain, &[], random)?;
        Some(listed[index])
    }

    /// Records an event of a stream.
    pub(crate) fn event(&mut self, sent: &mut Sent, gap_ms: Option<u64>, now_ms: u64) {
        let before_ms = sent.work.left_ms();
        sent.events += 1;
        sent.work.record_event();
        let group = sent.endpoint / self.scenario.ranks;
        let reference = if self.scenario.ranks > 1 { group } else { 0 };
        let known = &mut self.gateways[sent.gateway];
        let (own, reference) = (&mut known.own[sent.endpoint], &mut known.references[reference]);
        own.work.update(before_ms, sent.work.left_ms());
        match gap_ms {
            None => {
                let wait_ms = (now_ms - sent.dispatched_ms).to_string().parse::<f64>().unwrap();
                let wait_ms = (wait_ms - sent.prompt_ms).max(0.0);
                own.pace.record_first_event(wait_ms, reference, at(now_ms));
                reference.record_first_event(wait_ms, at(now_ms));
            }
            Some(gap_ms) => {
                own.pace.record_gap(gap_ms, reference, at(now_ms));
                reference.record_gap(gap_ms, at(now_ms));
                known.gaps[group].record(gap_ms, at(now_ms));
            }
        }
    }

    /// Records the end of a request, with the number of its events if the answer is complete.
    pub(crate) fn end(&mut self, sent: &Sent, events: Option<u32>, now_ms: u64) {
        let known = &mut self.gateways[sent.gateway];
        let own = &mut known.own[sent.endpoint];
        own.in_flight -= 1;
        own.work.remove(&sent.work);
        own.pace.record_end(!sent.work.is_unread());
        if let Some(events) = events {
            let tokens = f64::from(events) * f64::from(self.profile.tokens_per_event);
            let route = sent.route.to_string();
            known.answers.record(&route, None, tokens, Some(sent.hint), at(now_ms));
        }
    }

    /// Updates what gateways know of the others, each at its own interval.
    pub(crate) fn refresh(&mut self, now_ms: u64) {
        for gateway in 0..self.gateways.len() {
            let offset = u64::try_from(gateway).unwrap() * 37;
            if !(now_ms + offset).is_multiple_of(self.gateways[gateway].refresh_ms) {
                continue;
            }
            let endpoints = self.ids.len();
            let (mut in_flight, mut work_ms) = (vec![0; endpoints], vec![0.0; endpoints]);
            let others = self.gateways.iter().enumerate().filter(|(other, _)| *other != gateway);
            for (_, other) in others {
                for (endpoint, own) in other.own.iter().enumerate() {
                    in_flight[endpoint] += own.in_flight;
                    work_ms[endpoint] += own.work.left_ms() * own.pace.slowdown();
                }
            }
            self.gateways[gateway].others_in_flight = in_flight;
            self.gateways[gateway].others_work_ms = work_ms;
        }
    }
}
