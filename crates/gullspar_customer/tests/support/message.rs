//! What instances of a simulated fleet send each other.

use gullspar_customer::TokenGrant;

use super::known::Known;

pub enum Message {
    Request { to: usize, from: usize, wanted: u32, is_forwarded: bool },
    Grant { to: usize, grant: TokenGrant },
    Handover { to: usize, thousandths: i64 },
    MemberUpdate { at: usize, about: usize, known: Known },
}
