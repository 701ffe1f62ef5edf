//! Tests of the regions that requests may be served in.

use lycheewood::{AllowedRegions, FailureDomain, RegionMap, RegionName};

/// Guards against requests that leave the regions of their route or of their workspace, also where the region of a
/// failure domain is not known.
#[test]
fn a_region_must_be_allowed_by_route_and_workspace() {
    let [a, b, c] = ["a", "b", "c"].map(RegionName::new);
    let (ab, bc) = ([a.clone(), b.clone()], [b.clone(), c.clone()]);
    let allowed = |route: Option<&[RegionName]>, workspace: Option<&[RegionName]>| {
        let allowed = AllowedRegions { route, workspace };
        [Some(&a), Some(&b), Some(&c), None].map(|region| allowed.permits(region))
    };
    assert_eq!(allowed(None, None), [true; 4]);
    assert_eq!(allowed(Some(&ab), None), [true, true, false, false]);
    assert_eq!(allowed(None, Some(&bc)), [false, true, true, false]);
    assert_eq!(allowed(Some(&ab), Some(&bc)), [false, true, false, false]);
    assert_eq!(allowed(Some(&[]), None), [false; 4]);
    let map: RegionMap = [(FailureDomain::new("d"), a.clone())].into_iter().collect();
    assert_eq!(map.region(&FailureDomain::new("d")), Some(&a));
    assert_eq!(map.region(&FailureDomain::new("e")), None);
}
