//! Addresses that instances of a lab may stop and start to listen on.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// Loopback addresses that no other socket gets by chance until this value is dropped.
///
/// A port that was chosen by the system may be chosen again, for a connection from another thread, while its instance is
/// stopped. A socket that is bound and does not listen prevents that. It does not prevent an instance from listening, which
/// allows addresses to be reused.
#[derive(Default)]
pub(crate) struct ReservedAddresses {
    sockets: Vec<Socket>,
}

impl ReservedAddresses {
    /// Reserves a free address.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub(crate) fn reserve(&mut self) -> io::Result<SocketAddr> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = socket.local_addr()?.as_socket();
        self.sockets.push(socket);
        address.ok_or_else(|| io::Error::other("the address is not an IP address"))
    }
}
