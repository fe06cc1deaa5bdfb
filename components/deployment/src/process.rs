//! Entry VMs as child processes.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use config::Settings;
use error_stack::{Report, ResultExt};

use crate::error::{Error, Result};

/// Interval at which a child process is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How the entry VMs run.
#[derive(Clone, Debug, Default)]
pub enum EntryVmMode {
    /// As tasks of this process.
    #[default]
    InProcess,
    /// Each as a child process.
    ChildProcesses {
        /// Executable of the entry VM.
        program: PathBuf,
        /// Existing directory for the settings files and logs.
        directory: PathBuf,
    },
}

/// A child process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Writes the settings file and starts the executable with it; its stderr goes to a log file.
    pub fn start(program: &Path, directory: &Path, settings: &Settings) -> Result<Process> {
        let file = directory.join(format!("{}.json", settings.id));
        let text = serde_json::to_string_pretty(settings).change_context(Error::Process)?;
        std::fs::write(&file, text).change_context(Error::Process)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(directory.join(format!("{}.log", settings.id)))
            .change_context(Error::Process)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .change_context(Error::Process)
            .attach_with(|| program.display().to_string())?;
        Ok(Process { child })
    }

    /// Returns the process id, which may be signalled until the process has been waited for.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().change_context(Error::Process)?;
        self.child.wait().change_context(Error::Process)?;
        Ok(())
    }

    /// Waits until the process exits without being killed.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().change_context(Error::Process)? {
                return Ok(status);
            }
            if started.elapsed() > timeout {
                return Err(Report::new(Error::Process).attach("it did not exit in time"));
            }
            runtime::sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has already been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
