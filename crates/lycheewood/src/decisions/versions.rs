//! Selection of the model version that runs a request.

use crate::decisions::units::unit_interval;
use crate::document::checked::{Model, ModelVersion};
use crate::ids::VersionName;

/// Chooses a version at random by the document's weights among those loaded on live endpoints.
///
/// `is_loaded` returns whether a live endpoint has the version loaded. The share of a version that is not
/// loaded is divided among the others in proportion to their weights, so that a rollout does not refuse
/// requests while engines load. Returns `None` if no version with a positive weight is loaded.
#[must_use]
pub fn choose_version(
    model: &Model,
    is_loaded: impl Fn(&VersionName) -> bool,
    random: u64,
) -> Option<&ModelVersion> {
    let usable = || model.versions.iter().filter(|v| v.weight > 0 && is_loaded(&v.name));
    let total: f64 = usable().map(|v| f64::from(v.weight)).sum();
    let mut point = unit_interval(random) * total;
    for version in usable() {
        point -= f64::from(version.weight);
        if point < 0.0 {
            return Some(version);
        }
    }
    // Rounding errors can leave `point` at the upper end of the last version.
    usable().last()
}
