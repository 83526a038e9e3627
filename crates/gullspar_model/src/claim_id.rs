//! The id of a claim to promote a group's primary.

use crate::InstanceId;

crate::record! {
    /// The id of one claim: its claimant, and a nonce that tells the claimant's claims apart.
    ///
    /// It is stored as `CLAIMANT-NONCE`; names of claimants may contain dashes themselves, nonces do not.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct ClaimId {
        text: String,
    }
}

impl ClaimId {
    /// Creates the id of a new claim of `claimant`.
    pub fn new(claimant: &InstanceId, nonce: u64) -> ClaimId {
        ClaimId { text: format!("{claimant}-{nonce:016x}") }
    }

    /// Whether `instance` made the claim.
    pub fn is_by(&self, instance: &InstanceId) -> bool {
        self.text.rsplit_once('-').is_some_and(|(claimant, _)| claimant == instance.as_str())
    }
}
