//! Reads a caller's messages and groups them into requests.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use bytes::BytesMut;
use gullspar_wire::{
    Channel, Frame, LaneFrame, WireError, bind_parts, caller, kind_and_name, parse_parts,
    texts_and_rest,
};

use crate::request::{Request, RequestEnd};
use crate::{Classifier, Statement};

/// Longest request, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Prepared statements that a session may have.
const MAX_PREPARED_STATEMENTS: usize = 4096;

/// What a caller sent.
pub(crate) enum Incoming {
    Request(Request),
    Terminate,
}

/// A prepared statement.
#[derive(Clone, Debug)]
struct Prepared {
    sql: String,
    types: Vec<u8>,
    statement: Rc<Statement>,
}

/// Reads requests and tracks the session's prepared statements and portals.
#[derive(Default)]
pub(crate) struct RequestReader {
    prepared: HashMap<String, Prepared>,
    portals: HashMap<String, Rc<Statement>>,
}

impl RequestReader {
    /// Reads the next request completely.
    pub(crate) async fn next(
        &mut self,
        channel: &mut Channel,
        classifier: &Classifier,
    ) -> Result<Incoming, WireError> {
        let mut batch = Batch::default();
        loop {
            let frame = channel.next().await?;
            if batch.payload.len() + frame.bytes().len() > MAX_REQUEST_BYTES {
                return Err(WireError::TooLarge(
                    frame.kind(),
                    batch.payload.len(),
                    MAX_REQUEST_BYTES,
                ));
            }
            match frame.kind() {
                caller::TERMINATE => return Ok(Incoming::Terminate),
                caller::QUERY if batch.kinds.is_empty() => {
                    return simple_query(&frame, classifier).map(Incoming::Request);
                }
                // The caller may still send the data of a COPY that was refused.
                caller::COPY_DATA | caller::COPY_DONE | caller::COPY_FAIL => {}
                caller::SYNC | caller::FLUSH => {
                    batch.add(&frame);
                    let end = if frame.kind() == caller::SYNC {
                        RequestEnd::Sync
                    } else {
                        RequestEnd::Flush
                    };
                    return Ok(Incoming::Request(batch.finish(end)));
                }
                caller::PARSE => self.parse(&frame, classifier, &mut batch)?,
                caller::BIND => self.bind(&frame, &mut batch)?,
                caller::DESCRIBE => self.describe(&frame, &mut batch)?,
                caller::EXECUTE => {
                    let portal = frame.first_text()?;
                    batch.statements.extend(self.portals.get(portal).cloned());
                    batch.add(&frame);
                }
                caller::CLOSE => self.close(&frame, &mut batch)?,
                other => {
                    let what = format!("message {:?} is not expected here", other as char);
                    return Err(WireError::Malformed(what));
                }
            }
        }
    }

    /// Removes all prepared statements and portals, as DISCARD ALL does.
    pub(crate) fn clear(&mut self) {
        self.prepared.clear();
        self.portals.clear();
    }

    fn parse(
        &mut self,
        frame: &Frame,
        classifier: &Classifier,
        batch: &mut Batch,
    ) -> Result<(), WireError> {
        let (name, sql, types) = parse_parts(frame)?;
        if self.prepared.len() >= MAX_PREPARED_STATEMENTS && !self.prepared.contains_key(name) {
            let what =
                format!("more than {MAX_PREPARED_STATEMENTS} prepared statements in one session");
            return Err(WireError::Malformed(what));
        }
        let statement = classifier.classify(sql);
        let prepared = Prepared { sql: sql.to_owned(), types: types.to_vec(), statement };
        let shared = prepared.shared_name(name);
        batch.parsed.insert(name.to_owned());
        batch.text = Some(sql.to_owned());
        batch.described.push(Rc::clone(&prepared.statement));
        batch.add(&texts_and_rest(caller::PARSE, &[&shared, sql], types));
        self.prepared.insert(name.to_owned(), prepared);
        Ok(())
    }

    fn bind(&mut self, frame: &Frame, batch: &mut Batch) -> Result<(), WireError> {
        let (portal, name, rest) = bind_parts(frame)?;
        let shared = self.ensure_parsed(name, batch);
        if let Some(prepared) = self.prepared.get(name) {
            self.portals.insert(portal.to_owned(), Rc::clone(&prepared.statement));
            batch.text = Some(prepared.sql.clone());
        }
        batch.add(&texts_and_rest(caller::BIND, &[portal, &shared], rest));
        Ok(())
    }

    fn describe(&mut self, frame: &Frame, batch: &mut Batch) -> Result<(), WireError> {
        let (kind, name) = kind_and_name(frame)?;
        if kind != b'S' {
            batch.add(frame);
            return Ok(());
        }
        let shared = self.ensure_parsed(name, batch);
        if let Some(prepared) = self.prepared.get(name) {
            batch.described.push(Rc::clone(&prepared.statement));
        }
        let mut body = vec![kind];
        body.extend_from_slice(shared.as_bytes());
        body.push(0);
        batch.add(&Frame::new(caller::DESCRIBE, &body));
        Ok(())
    }

    /// Adds a Parse of the statement `name` unless the batch has one, and returns its shared name.
    ///
    /// The request may run on another connection than the one that parsed the statement.
    fn ensure_parsed(&self, name: &str, batch: &mut Batch) -> String {
        let Some(prepared) = self.prepared.get(name) else { return name.to_owned() };
        let shared = prepared.shared_name(name);
        if batch.parsed.insert(name.to_owned()) {
            let message =
                texts_and_rest(LaneFrame::SILENT_PARSE, &[&shared, &prepared.sql], &prepared.types);
            batch.payload.extend_from_slice(message.bytes());
        }
        shared
    }

    fn close(&mut self, frame: &Frame, batch: &mut Batch) -> Result<(), WireError> {
        let (kind, name) = kind_and_name(frame)?;
        if kind != b'S' {
            self.portals.remove(name);
            batch.add(frame);
            return Ok(());
        }
        self.prepared.remove(name);
        // Other sessions may use the shared statement, so one that does not exist is closed instead;
        // the target answers that with CloseComplete too.
        batch.add(&Frame::new(caller::CLOSE, b"Sgullspar_none\0"));
        Ok(())
    }
}

impl Prepared {
    /// The statement's name on connections: a hash of its text and parameter types, so that sessions
    /// share it. The unnamed statement stays unnamed.
    fn shared_name(&self, name: &str) -> String {
        if name.is_empty() {
            return String::new();
        }
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(self.sql.as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.types);
        format!("gs_{:032x}", hasher.digest128())
    }
}

/// Messages collected since the last Sync or Flush.
#[derive(Default)]
struct Batch {
    payload: BytesMut,
    statements: Vec<Rc<Statement>>,
    described: Vec<Rc<Statement>>,
    parsed: HashSet<String>,
    text: Option<String>,
    kinds: Vec<u8>,
}

impl Batch {
    fn add(&mut self, frame: &Frame) {
        self.kinds.push(frame.kind());
        self.payload.extend_from_slice(frame.bytes());
    }

    fn finish(self, end: RequestEnd) -> Request {
        Request {
            payload: self.payload,
            statements: self.statements,
            described: self.described,
            text: self.text,
            kinds: self.kinds,
            end,
        }
    }
}

fn simple_query(frame: &Frame, classifier: &Classifier) -> Result<Request, WireError> {
    let sql = frame.first_text()?;
    Ok(Request {
        statements: vec![classifier.classify(sql)],
        described: Vec::new(),
        text: Some(sql.to_owned()),
        kinds: vec![caller::QUERY],
        payload: BytesMut::from(frame.bytes()),
        end: RequestEnd::Query,
    })
}
