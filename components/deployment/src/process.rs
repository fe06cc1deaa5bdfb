//! Entry VMs that run as child processes.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use config::Settings;
use error_stack::{Report, ResultExt};

use crate::error::{Error, Result};

/// Time between two looks at whether a child has ended.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Where the entry VMs run.
#[derive(Clone, Debug, Default)]
pub enum Place {
    /// In this process.
    #[default]
    Inside,
    /// In child processes.
    Children {
        /// Program of the entry VM.
        program: PathBuf,
        /// Existing directory for settings files and logs.
        directory: PathBuf,
    },
}

/// One child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Writes the settings file and starts the program.
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

    /// Returns the process id, for signals while the process has not been waited for.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().change_context(Error::Process)?;
        self.child.wait().change_context(Error::Process)?;
        Ok(())
    }

    /// Waits until the process ends by itself.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().change_context(Error::Process)? {
                return Ok(status);
            }
            if begun.elapsed() > limit {
                return Err(Report::new(Error::Process).attach("it did not end in time"));
            }
            runtime::sleep(CHECK_PERIOD).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process has already been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
