//! Reads the settings of a running instance again when its operator asks for it.

use std::io;

use gullspar_instance::Signals;

/// Starts to read the settings again at each SIGHUP, and to log whether they have changed since `settings` were read.
///
/// The running instance keeps the settings with which it started, since addresses and names can't change while it runs.
pub(crate) fn start<T: PartialEq + 'static>(
    hangups: Signals,
    settings: T,
    read: impl Fn() -> Result<T, String> + 'static,
) {
    compio::runtime::spawn(async move {
        if let Err(err) = run(hangups, settings, read).await {
            log::error!(reason = err.to_string().as_str(); "G0819 SIGHUP can't be handled; the settings are not reloaded");
        }
    })
    .detach();
}

/// Returns only if SIGHUP can't be handled.
async fn run<T: PartialEq>(
    mut hangups: Signals,
    mut settings: T,
    read: impl Fn() -> Result<T, String>,
) -> io::Result<()> {
    loop {
        hangups.next().await?;
        match read() {
            Ok(reloaded) if reloaded == settings => {
                log::info!("G0811 the settings were reloaded and have not changed");
            }
            Ok(reloaded) => {
                log::warn!("G0812 the settings have changed; they take effect at the next start");
                settings = reloaded;
            }
            Err(findings) => {
                log::error!(findings = findings.as_str(); "G0813 the settings can't be reloaded; the previous ones stay in force");
            }
        }
    }
}
