//! The signals that a process receives while it serves.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;

use compio::runtime::fd::PollFd;
use futures::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level;

/// Maximum number of signals that one wait takes together. Those beyond it end the next wait at once.
const MAX_COALESCED: usize = 4096;

/// The signals of one kind that the process receives.
///
/// From the creation of this value to the end of the process, none of them has its default action. Their handler only writes
/// to a socket: a handler that wakes a task corrupts the runtime's queue if it interrupts the runtime itself.
pub struct Signals {
    received: PollFd<UnixStream>,
}

impl Signals {
    fn receive(signal: i32) -> io::Result<Signals> {
        let (reader, writer) = UnixStream::pair()?;
        // A read without data would block the thread that serves all callers.
        reader.set_nonblocking(true)?;
        low_level::pipe::register(signal, writer)?;
        Ok(Signals { received: PollFd::new(reader)? })
    }

    /// Waits for the next signal. Signals that arrived since the last call are taken together.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be waited for.
    pub async fn next(&mut self) -> io::Result<()> {
        loop {
            match (&*self.received).read(&mut [0; MAX_COALESCED]) {
                Ok(_) => return Ok(()),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                    self.received.read_ready().await?;
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
    }
}

/// The signals that end a process in order: SIGINT and SIGTERM.
pub struct TerminationSignals {
    interrupts: Signals,
    terminations: Signals,
}

impl TerminationSignals {
    /// Starts to receive them.
    ///
    /// # Errors
    ///
    /// Fails if the signals can't be handled.
    pub fn receive() -> io::Result<TerminationSignals> {
        Ok(TerminationSignals {
            interrupts: Signals::receive(SIGINT)?,
            terminations: Signals::receive(SIGTERM)?,
        })
    }

    /// Waits for the first of them; completes at once if they can't be waited for, so that the process stops rather than runs
    /// without them.
    ///
    /// A SIGTERM that follows has no effect, so that the shutdown is completed. A SIGINT that follows ends the process.
    pub async fn wait(self) {
        let TerminationSignals { mut interrupts, mut terminations } = self;
        let first = {
            let (interrupt, terminate) = (interrupts.next(), terminations.next());
            futures::pin_mut!(interrupt, terminate);
            future::select(interrupt, terminate).await.factor_first().0
        };
        if first.is_err() {
            return;
        }
        let end_at_next_interrupt = async move {
            let _terminations = terminations;
            if interrupts.next().await.is_ok() {
                let _ = low_level::emulate_default_handler(SIGINT);
            }
        };
        compio::runtime::spawn(end_at_next_interrupt).detach();
    }
}

/// The signals that an instance receives.
pub struct InstanceSignals {
    /// SIGHUP, which operators send after changing the settings file.
    pub hangups: Signals,
    pub terminations: TerminationSignals,
}

impl InstanceSignals {
    /// Starts to receive them. A process does so before anything else, since its operator may send a signal at any time.
    ///
    /// # Errors
    ///
    /// Fails if the signals can't be handled.
    pub fn receive() -> io::Result<InstanceSignals> {
        Ok(InstanceSignals {
            hangups: Signals::receive(SIGHUP)?,
            terminations: TerminationSignals::receive()?,
        })
    }
}
