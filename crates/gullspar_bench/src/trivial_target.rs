//! A target with negligible cost, so that a bench measures only the path to it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use compio::net::TcpStream;
use gullspar_net::TcpLink;
use gullspar_wire::{Channel, Frame, WireError, caller, command_complete, ready, status, target};

/// The start of a status query. Its arguments follow.
const STATUS_PREFIX: &str = "SELECT group_status";

/// A primary or replica in term 1 that answers every statement with the same row.
pub struct TrivialTarget {
    pub address: SocketAddr,
}

impl TrivialTarget {
    /// Starts a target on its own thread, which runs until the process ends.
    pub fn start(primary: bool) -> io::Result<TrivialTarget> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        std::thread::spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else { return };
            runtime.block_on(async move {
                let Ok(listener) = compio::net::TcpListener::from_std(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    compio::runtime::spawn(async move {
                        // An error means that the caller has disconnected.
                        let _ = serve(stream, primary).await;
                    })
                    .detach();
                }
            });
        });
        Ok(TrivialTarget { address })
    }
}

async fn serve(stream: TcpStream, primary: bool) -> Result<(), WireError> {
    let mut channel = Channel::new(Box::new(TcpLink::new(stream)), Channel::DEFAULT_LIMIT);
    let mut head = channel.next_raw(4).await?;
    let length = head.get_u32() as usize;
    channel.next_raw(length.saturating_sub(4)).await?;
    channel.queue(Frame::new(target::AUTHENTICATION, &[0; 4]).bytes());
    channel.queue(Frame::new(target::BACKEND_KEY, &[0; 8]).bytes());
    channel.queue(ready(status::IDLE).bytes());
    channel.flush().await?;
    let mut row = BytesMut::new();
    row.extend_from_slice(column_description().bytes());
    row.extend_from_slice(data_row(&["1"]).bytes());
    row.extend_from_slice(command_complete("SELECT 1").bytes());
    row.extend_from_slice(ready(status::IDLE).bytes());
    let role = if primary { "primary" } else { "replica" };
    let mut state = BytesMut::new();
    state.extend_from_slice(data_row(&[&format!("({role},1,1,1,1)")]).bytes());
    state.extend_from_slice(command_complete("SELECT 1").bytes());
    state.extend_from_slice(ready(status::IDLE).bytes());
    loop {
        let frame = channel.next().await?;
        if frame.kind() == caller::TERMINATE {
            return Ok(());
        }
        let text = frame.first_text()?;
        if let Some(arguments) = text.strip_prefix(STATUS_PREFIX) {
            if !arguments.starts_with("(0, 0, 0, 0)") {
                compio::time::sleep(Duration::from_millis(100)).await;
            }
            channel.queue(&state);
        } else {
            channel.queue(&row);
        }
        channel.flush().await?;
    }
}

fn column_description() -> Frame {
    let mut body = vec![0, 1];
    body.extend_from_slice(b"n\0");
    body.extend_from_slice(&[
        0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0,
    ]);
    Frame::new(target::ROW_DESCRIPTION, &body)
}

fn data_row(values: &[&str]) -> Frame {
    let mut body = (values.len() as u16).to_be_bytes().to_vec();
    for value in values {
        body.extend_from_slice(&(value.len() as u32).to_be_bytes());
        body.extend_from_slice(value.as_bytes());
    }
    Frame::new(target::DATA_ROW, &body)
}
