//! Encoding and decoding of ErrorResponse messages.

use bytes::BytesMut;
use pgwire::error::ErrorInfo;
use pgwire::messages::Message;
use pgwire::messages::response::ErrorResponse;

use crate::{Frame, frame};

/// The fields of an ErrorResponse that are sent or evaluated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReport {
    pub severity: String,
    /// The SQLSTATE.
    pub code: String,
    pub message: String,
    pub hint: Option<String>,
}

impl ErrorReport {
    /// An error of severity `ERROR`, which ends a statement.
    pub fn error(code: &str, message: impl Into<String>) -> ErrorReport {
        ErrorReport {
            severity: "ERROR".to_owned(),
            code: code.to_owned(),
            message: message.into(),
            hint: None,
        }
    }

    /// An error of severity `FATAL`, which ends the connection.
    pub fn fatal(code: &str, message: impl Into<String>) -> ErrorReport {
        ErrorReport { severity: "FATAL".to_owned(), ..ErrorReport::error(code, message) }
    }

    /// Sets the hint.
    pub fn with_hint(mut self, hint: impl Into<String>) -> ErrorReport {
        self.hint = Some(hint.into());
        self
    }

    /// Appends the message to `buf`.
    pub fn encode(&self, buf: &mut BytesMut) {
        let mut info =
            ErrorInfo::new(self.severity.clone(), self.code.clone(), self.message.clone());
        info.hint = self.hint.clone();
        let response = ErrorResponse::from(info);
        // Encoding fails only on messages over the protocol's limit, and these are shorter.
        let _ = response.encode(buf);
    }

    /// Decodes a message; missing fields are left empty.
    pub fn decode(message: &Frame) -> ErrorReport {
        let mut report = ErrorReport::error("", "");
        let mut rest = message.body();
        while let Some((&field, tail)) = rest.split_first() {
            let Ok((text, tail)) = frame::text_at(tail) else { break };
            match field {
                b'S' => report.severity = text.to_owned(),
                b'C' => report.code = text.to_owned(),
                b'M' => report.message = text.to_owned(),
                b'H' => report.hint = Some(text.to_owned()),
                _ => {}
            }
            rest = tail;
        }
        report
    }
}
