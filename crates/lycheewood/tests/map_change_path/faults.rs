//! Faults between the proposal of a change and its decision.

use stand_ins::faults::Outage;

use crate::cluster::{Cluster, RANKS};

/// A fault injected while a change is pending.
#[derive(Clone, Copy, Debug)]
enum Fault {
    DaemonReplaced,
    ConnectionSilent,
    LogDown,
    HolderDropped,
    EngineIgnoresFencing,
}

const FAULTS: [Fault; 5] = [
    Fault::DaemonReplaced,
    Fault::ConnectionSilent,
    Fault::LogDown,
    Fault::HolderDropped,
    Fault::EngineIgnoresFencing,
];

impl Fault {
    /// Sets up what the fault needs before the change is proposed.
    fn prepare(self, cluster: &Cluster) {
        if matches!(self, Self::LogDown) {
            cluster.forwarders[RANKS - 1].silence();
        }
    }

    /// Injects the fault while the change for `step` is undecided, as far as the test has read the stream.
    fn inject(self, cluster: &mut Cluster, step: u64) {
        match self {
            Self::DaemonReplaced => cluster.replace_daemon(2),
            Self::ConnectionSilent => cluster.forwarders[1].silence(),
            Self::LogDown => {
                // The last rank's connection is silent, so the change cannot be committed before the outage.
                cluster.wait_until_staged(RANKS - 1);
                cluster.deployment.log.set_faults(|f| f.common.outage = Outage::Unavailable);
                // Staging needs no log: the last rank stages over its new connection, but the holder cannot
                // append the commit. All ranks must wait at the step.
                cluster.wait_until_staged(RANKS);
                cluster.wait_for_step(step - 1);
                cluster.deployment.log.set_faults(|f| f.common.outage = Outage::None);
            }
            Self::HolderDropped | Self::EngineIgnoresFencing => cluster.stop_holder(),
        }
    }
}

/// Guards against two maps in one step, and against a group that stalls for good, when a process, a
/// connection or the log fails between the proposal of a change and its decision.
#[test]
fn a_fault_between_proposal_and_decision_never_splits_a_step() {
    for fault in FAULTS {
        let mut cluster = Cluster::start(2, !matches!(fault, Fault::EngineIgnoresFencing));
        let first = cluster.wait_for_commit_after(None);
        cluster.wait_until_used(first);
        // Slow appends keep the change pending long enough for the fault to occur before its decision.
        cluster.deployment.log.set_faults(|faults| faults.common.delay_ms = 40);
        fault.prepare(&cluster);
        cluster.make_popular(1);
        let step = cluster.wait_for_proposal_after(first);
        fault.inject(&mut cluster, step);
        cluster.deployment.log.set_faults(|faults| faults.common.delay_ms = 0);
        let change = cluster.wait_for_commit_after(Some(first));
        cluster.make_popular(2);
        let change = cluster.wait_for_commit_after(Some(change));
        cluster.wait_until_used(change);
        let case = format!("{fault:?}");
        assert!(cluster.check_maps_of_steps(&case) >= 2, "{case}: the map did not change");
    }
}
