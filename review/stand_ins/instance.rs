//! Instances of the program, each a process of its own, with settings as the template of the deploy file has them.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

pub const HANG_UP: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Instance {
    program: PathBuf,
    pub settings: PathBuf,
    text: String,
    log: PathBuf,
    pub caller_address: String,
    pub health_address: String,
    child: Option<Child>,
}

impl Instance {
    /// Writes the settings of instance `at`; `net` is the second and third part of its loopback address.
    pub fn prepare(
        program: &Path,
        folder: &Path,
        net: (u8, u8),
        at: usize,
        store: SocketAddr,
        promotions: SocketAddr,
    ) -> std::io::Result<Instance> {
        let ip = |at: usize| format!("127.{}.{}.{}", net.0, net.1, at + 1);
        let own = ip(at);
        let text = format!(
            r#"{{
  "id": "front-scot-north-a-{at}",
  "data_centre": "scot-north-a",
  "processor_cores": 0.25,
  "caller_address": "{own}:8784",
  "health_address": "{own}:8785",
  "peer_address": "{own}:7440",
  "seeds": ["{}:8782", "{}:8782", "{}:8782"],
  "store_address": "{store}",
  "promotion_address": "{promotions}",
  "metrics_address": "{own}:9464",
  "claim_lease_ms": 3000,
  "leaving_target_ms": 7000,
  "grace_s": 6
}}
"#,
            ip(0),
            ip(1),
            ip(2)
        );
        let settings = folder.join(format!("instance-{at}.jsonc"));
        fs::write(&settings, &text)?;
        Ok(Instance {
            program: program.to_owned(),
            settings,
            text,
            log: folder.join(format!("instance-{at}.log")),
            caller_address: format!("{own}:8784"),
            health_address: format!("{own}:8785"),
            child: None,
        })
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg(&self.settings).stdin(Stdio::null());
        self.child = Some(command.stdout(log.try_clone()?).stderr(log).spawn()?);
        Ok(())
    }

    /// Writes the settings file again. Its content differs only in a comment that counts the changes.
    pub fn change_settings(&self, change: u64) -> std::io::Result<()> {
        fs::write(&self.settings, format!("// change {change}\n{}", self.text))
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the call has no memory effects; the child was not waited for, so the id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// The exit status if the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
