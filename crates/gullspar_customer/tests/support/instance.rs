//! One instance of a simulated fleet.

use std::collections::VecDeque;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_customer::{LeasedTokens, OwnedQuotas};
use gullspar_membership::Reach;

use super::known::Known;

/// One instance of a simulated fleet.
pub struct Instance {
    /// The partition that it is in.
    pub side: usize,
    pub is_up: bool,
    /// What it knows of each instance, by number.
    pub members: Vec<Known>,
    /// The owner by these members: the one with the lowest rank.
    pub owner: usize,
    pub reach: Reach,
    pub changed_at: u64,
    pub quota: OwnedQuotas,
    pub leased: LeasedTokens,
    pub even_tokens: f64,
    pub waiting: VecDeque<Waiting>,
    pub asked_at: Option<u64>,
    pub is_without_grants: bool,
}

/// An operation that waits for tokens.
pub struct Waiting {
    pub until: u64,
    pub tries: u32,
}

/// The order of instances as owners.
fn rank(number: usize) -> u64 {
    (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20
}

impl Instance {
    pub fn learn(&mut self, about: usize, known: Known) {
        let before = std::mem::replace(&mut self.members[about], known);
        for (state, change) in [(before, -1), (known, 1)] {
            let Reach { reached, known } = &mut self.reach;
            *reached =
                reached.saturating_add_signed(if state == Known::Member { change } else { 0 });
            *known = known.saturating_add_signed(if state == Known::Left { 0 } else { change });
        }
        let is_member = |it: &usize| self.members[*it] == Known::Member;
        if !is_member(&self.owner) {
            let members = (0..self.members.len()).filter(is_member);
            self.owner = members.min_by_key(|it| rank(*it)).unwrap_or(about);
        } else if is_member(&about) && rank(about) < rank(self.owner) {
            self.owner = about;
        }
    }

    pub fn new(size: usize, started: u64) -> Instance {
        Instance {
            side: 0,
            is_up: true,
            members: vec![Known::Member; size],
            owner: (0..size).min_by_key(|it| rank(*it)).unwrap_or(0),
            reach: Reach { reached: size, known: size },
            changed_at: started,
            quota: OwnedQuotas::default(),
            leased: LeasedTokens::new(BootInstant(started).plus(Duration::ZERO)),
            even_tokens: 1.0,
            waiting: VecDeque::new(),
            asked_at: None,
            is_without_grants: false,
        }
    }
}
