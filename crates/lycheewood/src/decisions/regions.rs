//! The regions in which a request may be served.

use std::collections::BTreeMap;

use crate::ids::{FailureDomain, RegionName};

/// The region of each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap(BTreeMap<FailureDomain, RegionName>);

impl RegionMap {
    /// The region of a failure domain, or `None` if it is not known.
    #[must_use]
    pub fn region(&self, domain: &FailureDomain) -> Option<&RegionName> {
        self.0.get(domain)
    }
}

impl FromIterator<(FailureDomain, RegionName)> for RegionMap {
    fn from_iter<I: IntoIterator<Item = (FailureDomain, RegionName)>>(regions: I) -> Self {
        Self(regions.into_iter().collect())
    }
}

/// The regions that a request's route and workspace allow. `None` allows every region.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowedRegions<'a> {
    /// Regions that the route allows.
    pub route: Option<&'a [RegionName]>,
    /// Regions that the workspace allows.
    pub workspace: Option<&'a [RegionName]>,
}

impl AllowedRegions<'_> {
    /// Whether the request may be served in a region. A region that is not known is allowed only if all are, since it
    /// may be any.
    #[must_use]
    pub fn permits(&self, region: Option<&RegionName>) -> bool {
        let is_in = |allowed: &[RegionName]| region.is_some_and(|region| allowed.contains(region));
        self.route.is_none_or(is_in) && self.workspace.is_none_or(is_in)
    }
}
