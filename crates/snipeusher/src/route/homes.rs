//! Home regions of requests.

use std::sync::Arc;

use crate::name;

/// Regions in which a request may be handled.
///
/// Copies share one list, so that a request without a list or with one only costs a reference
/// count. See `docs/design/homes.md`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes(
    /// `None` means anywhere; an empty list, which intersections may give, means nowhere.
    Option<Arc<[name::Region]>>,
);

impl Homes {
    /// Whether every region and every zone without a region is allowed.
    pub const fn is_anywhere(&self) -> bool {
        self.0.is_none()
    }

    /// Whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        self.0.as_ref().is_some_and(|regions| regions.is_empty())
    }

    /// Whether a host may handle the request; `region` is `None` if its region is not known.
    pub fn admits(&self, region: Option<&name::Region>) -> bool {
        let Some(regions) = &self.0 else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }

    /// The regions that both allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        let (Some(own), Some(others)) = (&self.0, &other.0) else {
            return Self(self.0.clone().or_else(|| other.0.clone()));
        };
        let common = own.iter().filter(|region| others.contains(region));
        Self(Some(common.cloned().collect()))
    }

    /// The allowed regions; none if all are allowed.
    pub fn regions(&self) -> &[name::Region] {
        self.0.as_deref().unwrap_or_default()
    }
}

/// An empty list means anywhere, as in the configuration.
impl FromIterator<name::Region> for Homes {
    fn from_iter<I: IntoIterator<Item = name::Region>>(iter: I) -> Self {
        let regions: Arc<[name::Region]> = iter.into_iter().collect();
        Self((!regions.is_empty()).then_some(regions))
    }
}
