//! An ErrorResponse, read or written.

use bytes::BytesMut;
use pgwire::error::ErrorInfo;
use pgwire::messages::Message;
use pgwire::messages::response::ErrorResponse;

use crate::{Frame, frame};

/// The parts of an error that callers and decisions use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReport {
    pub severity: String,
    /// The SQLSTATE.
    pub code: String,
    pub message: String,
    pub hint: Option<String>,
}

impl ErrorReport {
    /// An error that ends a statement.
    pub fn error(code: &str, message: impl Into<String>) -> ErrorReport {
        ErrorReport {
            severity: "ERROR".to_owned(),
            code: code.to_owned(),
            message: message.into(),
            hint: None,
        }
    }

    /// An error that ends the connection.
    pub fn fatal(code: &str, message: impl Into<String>) -> ErrorReport {
        ErrorReport { severity: "FATAL".to_owned(), ..ErrorReport::error(code, message) }
    }

    /// Adds a hint.
    pub fn with_hint(mut self, hint: impl Into<String>) -> ErrorReport {
        self.hint = Some(hint.into());
        self
    }

    /// Writes the message.
    pub fn encode(&self, buf: &mut BytesMut) {
        let mut info =
            ErrorInfo::new(self.severity.clone(), self.code.clone(), self.message.clone());
        info.hint = self.hint.clone();
        let response = ErrorResponse::from(info);
        // Encoding fails on messages over the protocol's limit only, and these texts are short.
        let _ = response.encode(buf);
    }

    /// Reads the message; parts that are missing stay empty.
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
