//! The step for which a lease holder proposes a change.

use lycheewood::{
    ExpertMap, FencingNumber, GRANT_AHEAD_STEPS, GroupMaps, LeaseTable, MapEffect, MapRecord,
    Offset, ProposalLead, RankProgress, ScopeName, StageStatus, Timestamp,
};

use crate::{SCOPE, commit, undecided_change};

const NOW: Timestamp = Timestamp::from_unix_ms(1_000_000);
const LEAD_MS: u64 = 1_000;
const STEP_MS: u64 = 2;

/// A group that uses its only map, and whose next step is 100.
fn group() -> (LeaseTable, GroupMaps) {
    let (leases, mut maps) = undecided_change();
    assert_eq!(maps.apply(Offset(3), &commit(1, 9), &leases), MapEffect::Committed(Offset(2)));
    (leases, maps)
}

fn propose(step: u64) -> MapRecord {
    let map = ExpertMap::round_robin(1, 2, 2, 1);
    MapRecord::Propose { scope: ScopeName::new(SCOPE), fencing: FencingNumber(1), step, map }
}

#[allow(clippy::cast_precision_loss, reason = "a few milliseconds")]
fn progress(next_step: u64) -> [RankProgress; 1] {
    [RankProgress { next_step, step_ms: STEP_MS as f64, measured: NOW }]
}

/// The step of the next proposal in a group whose next step is 100, as a number of leads.
fn leads_ahead(lead: &ProposalLead, maps: &GroupMaps) -> u64 {
    let step = lead.proposal_step(maps, &progress(100), LEAD_MS, NOW).expect("a step");
    (step - 100 - GRANT_AHEAD_STEPS) / (LEAD_MS / STEP_MS)
}

/// Guards against a lead that grows with each abort. A change that ranks did not stage for another reason was
/// followed by one up to 16 leads ahead, which a slow group did not reach within 30 s.
#[test]
fn only_a_change_that_came_too_late_extends_the_lead() {
    let (leases, maps) = group();
    let mut changed = maps.clone();
    assert_eq!(changed.apply(Offset(4), &propose(616), &leases), MapEffect::Proposed(Offset(4)));
    let pending = changed.pending().expect("a change");
    let leads_after = |statuses: &[StageStatus], ranks: &[RankProgress], aborts: usize| {
        let mut lead = ProposalLead::new();
        for _ in 0..aborts {
            lead.record_abort(pending, statuses, ranks, NOW);
        }
        leads_ahead(&lead, &maps)
    };
    let (refused, not_staged) = ([StageStatus::Refused], [StageStatus::Pending]);
    assert_eq!(
        leads_after(&not_staged, &progress(615), 1),
        1,
        "the group has not reached the step"
    );
    assert_eq!(leads_after(&not_staged, &progress(616), 1), 2, "the group stalls at the step");
    assert_eq!(leads_after(&refused, &progress(300), 1), 2, "a rank refused");
    assert_eq!(leads_after(&not_staged, &[], 1), 2, "the progress of the group is not known");
    // The rank with the slower steps holds back the group.
    let [fast] = progress(300);
    let slow = RankProgress { step_ms: 100.0, ..fast };
    let later = NOW.plus_ms(1_000);
    let mut lead = ProposalLead::new();
    lead.record_abort(pending, &not_staged, &[fast, slow], later);
    assert_eq!(leads_ahead(&lead, &maps), 1, "the slow rank cannot have reached the step");
}

/// Guards against a lead that doubles with each repetition of an abort while the log does not accept it.
#[test]
fn a_repeated_abort_extends_the_lead_once() {
    let (leases, maps) = group();
    let mut lead = ProposalLead::new();
    for (offset, leads) in [(4, 2), (5, 4), (6, 8), (7, 16), (8, 16)] {
        let mut changed = maps.clone();
        changed.apply(Offset(offset), &propose(616), &leases);
        let pending = changed.pending().expect("a change");
        for _ in 0..10 {
            lead.record_abort(pending, &[StageStatus::Refused], &progress(300), NOW);
        }
        assert_eq!(leads_ahead(&lead, &maps), leads);
    }
}

/// Guards against proposals without effect, which a new holder appended again and again because an aborted
/// change of its predecessor was further ahead than its own lead.
#[test]
fn no_change_is_proposed_before_the_step_of_an_aborted_one() {
    let (leases, mut maps) = group();
    assert_eq!(maps.apply(Offset(4), &propose(3_000), &leases), MapEffect::Proposed(Offset(4)));
    let abort = MapRecord::Abort {
        scope: ScopeName::new(SCOPE),
        fencing: FencingNumber(1),
        change: Offset(4),
    };
    assert_eq!(maps.apply(Offset(5), &abort, &leases), MapEffect::Aborted(Offset(4)));
    let lead = ProposalLead::new();
    let step_at = |next_step| lead.proposal_step(&maps, &progress(next_step), LEAD_MS, NOW);
    let ahead = LEAD_MS / STEP_MS + GRANT_AHEAD_STEPS;
    assert_eq!(step_at(100), None);
    assert_eq!(step_at(3_000 - ahead), None);
    let step = step_at(3_001 - ahead).expect("a step");
    assert_eq!(step, 3_001);
    assert_eq!(maps.apply(Offset(6), &propose(step), &leases), MapEffect::Proposed(Offset(6)));
}
