//! Implementations of the borders on the real system: TCP, the platform over HTTP, calls between
//! instances over tarpc, and the system's clock and randomness.

mod closing_transport;
mod datagram_peers;
mod framed;
mod http_platform;
mod metrics_server;
mod peer_codec;
mod peer_server;
mod peer_service;
mod platform_types;
mod relay_link;
mod system_clock;
mod system_entropy;
mod tarpc_peers;
mod tcp_dialer;
mod tcp_link;
mod timer_context;

pub use datagram_peers::{DatagramPeers, receive_heartbeats, serve_instances};
pub use http_platform::HttpPlatform;
pub use metrics_server::serve_metrics;
pub use peer_server::serve_peers;
pub use platform_types::{InstanceList, ObjectList, PutBody, PutReply, StoredInstance, WireObject};
pub use system_clock::SystemClock;
pub use system_entropy::SystemEntropy;
pub use tarpc_peers::TarpcPeers;
pub use tcp_dialer::TcpDialer;
pub use tcp_link::TcpLink;
pub use timer_context::enter_timer_context;
