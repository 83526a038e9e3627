//! Errors of the message exchange on a link.

use quick_error::quick_error;

quick_error! {
    /// Why reading or writing a message failed.
    #[derive(Debug)]
    pub enum WireError {
        /// Reading from or writing to the link failed.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("link broken: {err}")
        }
        /// The peer closed the connection.
        Closed {
            display("the other side closed the connection")
        }
        /// The bytes are not a valid message.
        Malformed(what: String) {
            display("malformed message: {what}")
        }
        /// A message is too long: its type byte, its length and the limit.
        TooLarge(kind: u8, length: usize, limit: usize) {
            display("message '{}' of {length} bytes is over the limit of {limit}", *kind as char)
        }
        /// The server answered with an error.
        Server(report: crate::ErrorReport) {
            display("{}: {}", report.code, report.message)
        }
    }
}
