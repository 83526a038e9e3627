//! Signing and checking session tokens.

use hmac::Mac;
use quick_error::quick_error;

use crate::{CallerName, GroupName, Guard, LogPoint, Token};

quick_error! {
    /// Why a token was refused.
    #[derive(Debug, PartialEq, Eq)]
    pub enum TokenError {
        /// The token does not have the form `group:term:position:signature`.
        Malformed {
            display("the token is not of the form group:term:position:signature")
        }
        /// The signature is not valid for this caller.
        Forged {
            display("the token was not issued to this caller")
        }
    }
}

/// The key with which tokens are signed, shared by all instances.
///
/// A token sets the floor that reads wait for. A forged token could block a caller's reads permanently, and another
/// caller's token would reveal how much that caller writes.
#[derive(Clone)]
pub struct TokenKey(Vec<u8>);

impl TokenKey {
    /// Creates a key from the shared secret.
    pub fn new(secret: &str) -> TokenKey {
        TokenKey(secret.as_bytes().to_vec())
    }

    /// Encodes and signs `token` for `caller`.
    pub fn issue(&self, token: &Token, caller: &CallerName) -> String {
        let body = format!("{}:{}:{}", token.group, token.point.term.0, token.point.position.0);
        let signature = self.sign(&body, caller);
        format!("{body}:{signature}")
    }

    /// Decodes a token after checking that it was issued to `caller`.
    pub fn verify(&self, text: &str, caller: &CallerName) -> Result<Token, TokenError> {
        let (body, signature) = text.rsplit_once(':').ok_or(TokenError::Malformed)?;
        let mut parts = body.rsplitn(3, ':');
        let position = parts.next().and_then(|it| it.parse().ok()).ok_or(TokenError::Malformed)?;
        let term = parts.next().and_then(|it| it.parse().ok()).ok_or(TokenError::Malformed)?;
        let group = parts.next().ok_or(TokenError::Malformed)?;
        if self.sign(body, caller) != signature && Guard::TokenSignature.is_enabled() {
            return Err(TokenError::Forged);
        }
        Ok(Token { group: GroupName::new(group), point: LogPoint::new(term, position) })
    }

    fn sign(&self, body: &str, caller: &CallerName) -> String {
        #[allow(clippy::expect_used)]
        let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(&self.0)
            .expect("HMAC takes a key of any length");
        mac.update(body.as_bytes());
        mac.update(&[0]);
        mac.update(caller.as_str().as_bytes());
        let digest = mac.finalize().into_bytes();
        digest.iter().take(16).map(|it| format!("{it:02x}")).collect()
    }
}
