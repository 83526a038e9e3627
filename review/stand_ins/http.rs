//! A small HTTP/1.1 server with one thread per connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map_or("", |it| it.1.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }
}

/// What a handler does with a call.
pub enum Reply {
    Answer(u16, String),
    /// The connection stays open, and the call is never answered.
    Silence,
}

pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: &Request) -> Reply;
}

/// Serves `handler` on a free port of 127.0.0.1.
pub fn serve(handler: Arc<dyn Handler>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, handler: &dyn Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Reply::Answer(status, body) = handler.handle(&request) else {
            // Waits until the caller closes the connection.
            let _ = reader.read(&mut [0]);
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let first = read_line(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|it| it.0.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(Some(0), |it| it.1.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(length) if length > 0 => Some(line.trim_end_matches(['\r', '\n']).to_owned()),
        _ => None,
    }
}
