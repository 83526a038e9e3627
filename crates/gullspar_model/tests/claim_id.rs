//! Whose claim a stored claim is.

use gullspar_model::{ClaimId, InstanceId};
use test_case::test_case;

/// Guards against an instance that takes the claim of another one, whose name begins with its own, for its own claim and
/// does not wait for that promotion.
#[test_case("i-1", "i-1", true)]
#[test_case("i-1", "i-10", false)]
#[test_case("i-10", "i-1", false)]
#[test_case("i", "i-1", false)]
fn a_claim_is_recognised_by_its_claimant_only(instance: &str, claimant: &str, expected: bool) {
    let claim = ClaimId::new(&InstanceId::new(claimant), 7);
    assert_eq!(claim.is_by(&InstanceId::new(instance)), expected);
}

/// Guards against an empty claim, of a group that was never claimed, that counts as anybody's.
#[test]
fn no_claim_is_nobodys() {
    assert!(!ClaimId::default().is_by(&InstanceId::new("")));
}
