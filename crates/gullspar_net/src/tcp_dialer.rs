//! Opens TCP links.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use compio::net::TcpStream;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{Clock, Dialer, Link, within};

use crate::TcpLink;

/// Connects over TCP.
pub struct TcpDialer {
    clock: Rc<dyn Clock>,
}

impl TcpDialer {
    /// Creates a dialer that measures deadlines on `clock`.
    pub fn new(clock: Rc<dyn Clock>) -> TcpDialer {
        TcpDialer { clock }
    }
}

impl Dialer for TcpDialer {
    fn dial(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, io::Result<Box<dyn Link>>> {
        let clock = Rc::clone(&self.clock);
        async move {
            let connected = within(&*clock, deadline, TcpStream::connect(address)).await;
            let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            let link: Box<dyn Link> = Box::new(TcpLink::new(stream));
            Ok(link)
        }
        .boxed_local()
    }
}
