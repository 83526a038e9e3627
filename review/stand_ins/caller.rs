//! A caller's session.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::TcpStream;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

pub struct Session {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

/// The answer to a statement.
#[derive(Debug)]
pub enum Answer {
    Success,
    /// An error with this code; only for the record.
    Failure(#[allow(dead_code)] String),
}

impl Session {
    pub fn open(address: &str, database: &str) -> Result<Session> {
        let address = address.parse().map_err(|_| Error::from(ErrorKind::InvalidInput))?;
        let stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        let mut session = Session { writer: stream.try_clone()?, reader: BufReader::new(stream) };
        session.writer.write_all(format!("OPEN {database} u1\r\n").as_bytes())?;
        let line = session.line()?;
        if line.starts_with("READY") { Ok(session) } else { Err(Error::other(line)) }
    }

    /// Runs a statement. An error means that there was no complete answer.
    pub fn query(&mut self, id: &str, text: &str) -> Result<Answer> {
        self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes())?;
        let mut answer = None;
        loop {
            let line = self.line()?;
            if line.starts_with("COMPLETE ") {
                answer = Some(Answer::Success);
            } else if let Some(rest) = line.strip_prefix("ERROR ") {
                let code = rest.split(' ').next().unwrap_or_default();
                answer = Some(Answer::Failure(code.to_owned()));
            } else if line.starts_with("READY ") {
                return answer.ok_or_else(|| Error::from(ErrorKind::InvalidData));
            }
        }
    }

    fn line(&mut self) -> Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end_matches(['\r', '\n']).to_owned())
    }
}
