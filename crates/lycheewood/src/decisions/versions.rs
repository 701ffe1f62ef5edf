//! Choice of the model version that runs a request.

use crate::decisions::units::unit;
use crate::document::checked::{Model, ModelVersion};
use crate::ids::VersionName;

/// Chooses a version by the document's weights among those loaded on live endpoints.
///
/// `loaded` tells whether a live endpoint has the version loaded. A version that is not loaded passes
/// its share to the others in proportion, so a rollout does not refuse requests while engines load.
/// Returns `None` when no version with a positive weight is loaded.
#[must_use]
pub fn choose_version(
    model: &Model,
    loaded: impl Fn(&VersionName) -> bool,
    random: u64,
) -> Option<&ModelVersion> {
    let usable = || model.versions.iter().filter(|v| v.weight > 0 && loaded(&v.name));
    let total: f64 = usable().map(|v| f64::from(v.weight)).sum();
    let mut point = unit(random) * total;
    for version in usable() {
        point -= f64::from(version.weight);
        if point < 0.0 {
            return Some(version);
        }
    }
    // Rounding may leave the point at the upper end of the last version.
    usable().last()
}
