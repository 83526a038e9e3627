//! What can go wrong on a link.

use quick_error::quick_error;

quick_error! {
    /// Why a message could not be exchanged.
    #[derive(Debug)]
    pub enum WireError {
        /// The link broke.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("link broken: {err}")
        }
        /// The other side closed in good order.
        Closed {
            display("the other side closed the connection")
        }
        /// The bytes are no message.
        Malformed(what: String) {
            display("malformed message: {what}")
        }
        /// A message is longer than what is accepted.
        TooLarge(kind: u8, length: usize, limit: usize) {
            display("message '{}' of {length} bytes is over the limit of {limit}", *kind as char)
        }
        /// The server answered with an error.
        Server(report: crate::ErrorReport) {
            display("{}: {}", report.code, report.message)
        }
    }
}
