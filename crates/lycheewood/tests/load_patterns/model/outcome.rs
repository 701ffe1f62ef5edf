//! What becomes of the requests of a run.

use super::{Policy, Request, Site};

/// Number of priorities in the model.
pub(crate) const CLASSES: usize = 3;
/// Number of workspaces, which all send the same mix of requests.
pub(crate) const WORKSPACES: usize = 8;

/// How the requests of one kind were served.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
}

impl Share {
    /// Share of the requests that were answered.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.asked.max(1))
    }

    /// Share of the value where a late response keeps the part `late`.
    pub(crate) fn value(&self, late: f64) -> f64 {
        (f64::from(self.on_time) + late * f64::from(self.late)) / f64::from(self.asked.max(1))
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.on_time += other.on_time;
        self.late += other.late;
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    /// Requests that were refused or not completed by their deadline.
    pub(crate) unserved: u32,
    /// Sends that an engine rejected because its queue was full.
    pub(crate) rejected: u32,
    /// Requests that callers had left and that were still sent to an engine.
    pub(crate) sent_in_vain: u32,
    /// Longest time that a refused request was held, in milliseconds.
    pub(crate) longest_held_ms: u64,
    pub(crate) classes: [Share; CLASSES],
    pub(crate) workspaces: [Share; WORKSPACES],
    /// The largest tenth of the prompts.
    pub(crate) large: Share,
}

impl Outcome {
    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }

    /// Share of the credit where a late response counts half.
    pub(crate) fn credit_share(&self) -> f64 {
        (f64::from(self.on_time) + 0.5 * f64::from(self.late)) / f64::from(self.asked.max(1))
    }

    /// Share of the requests that were answered.
    pub(crate) fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.asked.max(1))
    }

    /// Sum of the values of the responses.
    pub(crate) fn value(&self, site: &Site) -> f64 {
        let classes = self.classes.iter().zip(site.values);
        classes
            .map(|(share, (value, late))| value * share.value(late) * f64::from(share.asked))
            .sum()
    }

    /// One line with the value, and for each class the share of the requests that were answered and of their value.
    pub(crate) fn summary(&self, site: &Site, policy: Policy) -> String {
        let classes = self.classes.iter().zip(site.values);
        let classes = classes.map(|(share, (_, late))| (share.served(), share.value(late)));
        let classes: Vec<_> =
            classes.map(|(served, value)| format!("{served:.3}/{value:.3}")).collect();
        let (value, served) = (self.value(site), self.served());
        let Self { rejected, unserved, longest_held_ms, .. } = self;
        format!(
            "{policy:?} value={value:.0} served={served:.3} classes={classes:?} rejected={rejected} \
             unserved={unserved} longest_held_ms={longest_held_ms}"
        )
    }

    /// Counts a request in all shares that it belongs to.
    pub(super) fn count(&mut self, request: &Request, change: impl Fn(&mut Share)) {
        let mut all = Share { asked: self.asked, on_time: self.on_time, late: self.late };
        change(&mut all);
        Share { asked: self.asked, on_time: self.on_time, late: self.late } = all;
        change(&mut self.classes[request.class]);
        change(&mut self.workspaces[request.workspace]);
        if request.is_large {
            change(&mut self.large);
        }
    }

    /// Adds the outcome of another run.
    pub(crate) fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.on_time += other.on_time;
        self.late += other.late;
        self.unserved += other.unserved;
        self.rejected += other.rejected;
        self.sent_in_vain += other.sent_in_vain;
        self.longest_held_ms = self.longest_held_ms.max(other.longest_held_ms);
        self.large.add(&other.large);
        self.classes.iter_mut().zip(&other.classes).for_each(|(sum, share)| sum.add(share));
        let workspaces = self.workspaces.iter_mut().zip(&other.workspaces);
        workspaces.for_each(|(sum, share)| sum.add(share));
    }
}
