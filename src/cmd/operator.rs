//! What the commands that talk to the platform have in common.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{Configuration, Generation};
use error_stack::Report;
use fastrand::Rng;
use platform::{ApplyError, Client, ClientSettings, Head, VersionedHead, format_time};

use super::exit::{self, Code};
use super::files;

/// Result of a step; a failure has been printed and is returned as its exit code.
pub type Result<T> = std::result::Result<T, Code>;

/// Adds the options of commands that talk to the platform.
pub fn with_platform(command: Command) -> Command {
    with_optional_platform(command).mut_arg("platform", |arg| arg.required(true))
}

/// Adds the same options to a command that can do without the platform.
pub fn with_optional_platform(command: Command) -> Command {
    command
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDR")
                .help("Address of the platform, IP:PORT; several are tried in turn")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("MS")
                .help("Time for one exchange with the platform")
                .default_value("3000")
                .value_parser(value_parser!(u64).range(1..=600_000)),
        )
}

/// Adds the options of commands that change the configuration.
pub fn with_change(command: Command) -> Command {
    with_platform(command).arg(
        Arg::new("author")
            .long("author")
            .value_name("NAME")
            .help("Who makes the change; shown in the history and to operators who race it")
            .required(true),
    )
}

/// Adds the option for the generation that a change replaces.
pub fn with_base(command: Command) -> Command {
    command.arg(
        Arg::new("base")
            .long("base")
            .value_name("GENERATION")
            .help("Generation that the change replaces [default: the one in force]")
            .value_parser(value_parser!(u64)),
    )
}

/// Connection of one command to the platform.
pub struct Session {
    /// Client.
    pub client: Client,
    /// `--platform` as it was given, for commands suggested to the operator.
    platform: String,
}

/// The configuration in force.
pub struct InForce {
    /// Its head.
    pub head: Head,
    /// Its content.
    pub configuration: Configuration,
    /// The platform's time when it was read. All steps of a command use this time, because a
    /// shift that starts at one time would seem to jump at a later one.
    pub now_ms: u64,
}

/// Runs a command that talks to the platform.
pub fn run<F>(args: &ArgMatches, command: impl FnOnce(Session) -> F) -> ExitCode
where
    F: Future<Output = Result<()>>,
{
    let session = Session::new(args);
    match runtime::block_on(1, command(session)) {
        Ok(()) => exit::FINE.into(),
        Err(code) => code.into(),
    }
}

impl Session {
    fn new(args: &ArgMatches) -> Session {
        let addresses = args.get_many::<SocketAddr>("platform").unwrap_or_default();
        let addresses: Vec<SocketAddr> = addresses.copied().collect();
        let timeout = args.get_one::<u64>("timeout-ms").copied().unwrap_or(3_000);
        let names: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        Session {
            client: Client::new(ClientSettings {
                addresses,
                timeout: Duration::from_millis(timeout),
                ..ClientSettings::default()
            }),
            platform: names.join(","),
        }
    }

    /// Reads the head row.
    pub async fn head(&self) -> Result<VersionedHead> {
        self.client
            .head()
            .await
            .map_err(|report| self.unreadable(&report))
    }

    /// Reads the configuration in force. If the operator named a base, it must be in force.
    pub async fn in_force(&self, base: Option<Generation>) -> Result<InForce> {
        let Some(head) = self.head().await?.head else {
            eprintln!(
                "error: there is no configuration yet; nothing was changed; run `rosemaryglade \
                 apply --platform {} --base 0 ...`",
                self.platform
            );
            return Err(exit::FAULTS);
        };
        if let Some(base) = base.filter(|base| *base != head.generation) {
            return Err(self.outdated(base, &head));
        }
        let configuration = self.content(&head).await?;
        let now_ms = self.client.time_ms().unwrap_or_default();
        Ok(InForce {
            head,
            configuration,
            now_ms,
        })
    }

    /// Reads and checks the content of an accepted configuration.
    pub async fn content(&self, head: &Head) -> Result<Configuration> {
        let bytes = self.client.object(&head.object).await;
        let bytes = bytes.map_err(|report| self.unreadable(&report))?;
        config::parse_configuration(&bytes).map_err(|report| {
            eprintln!(
                "error: generation {} is not valid; nothing was changed",
                head.generation
            );
            eprintln!("{}", report.current_context());
            exit::FAULTS
        })
    }

    /// Shows what a change does and refuses it if it would pass a cap.
    pub fn check_caps(&self, in_force: &InForce, after: &Configuration) -> Result<()> {
        let plan = config::plan(&in_force.configuration, after, in_force.now_ms);
        files::print(format_args!("{plan}"));
        if plan.exceeds_cap() {
            eprintln!(
                "error: the change would move more traffic than its cap allows; nothing was \
                 changed; move the traffic first with `rosemaryglade shift --platform {} ...`",
                self.platform
            );
            return Err(exit::CAP);
        }
        Ok(())
    }

    /// Makes a configuration the one that follows `base`.
    pub async fn commit(
        &self,
        base: Generation,
        configuration: &Configuration,
        args: &ArgMatches,
    ) -> Result<()> {
        let bytes = config::encode(configuration);
        // Entry VMs reject a configuration with faults, so it is checked as they read it.
        if let Err(report) = config::parse_configuration(&bytes) {
            eprintln!("error: the new configuration is not valid; nothing was changed");
            eprintln!("{}", report.current_context());
            return Err(exit::FAULTS);
        }
        let author = args.get_one::<String>("author").ok_or(exit::USAGE)?;
        let mut rng = Rng::with_seed(seed());
        match platform::apply(&self.client, base, &bytes, author, &mut rng).await {
            Ok(generation) => {
                files::print(format_args!("generation {generation} is accepted\n"));
                Ok(())
            }
            Err(report) => Err(self.not_confirmed(base, &report)),
        }
    }

    /// Prints why a change was not confirmed and what to do.
    fn not_confirmed(&self, base: Generation, report: &Report<ApplyError>) -> Code {
        let platform = &self.platform;
        match report.current_context() {
            ApplyError::Conflict(winner) => self.outdated(base, winner),
            ApplyError::UnknownBase(in_force) => {
                eprintln!(
                    "error: generation {base} does not exist, generation {in_force} is in force; \
                     nothing was changed; run `rosemaryglade history --platform {platform}`"
                );
                exit::CONFLICT
            }
            ApplyError::NotApplied => {
                eprintln!("error: {report:#}");
                eprintln!(
                    "The change has no effect and will not take effect later. Run the same command \
                     again when the platform can be reached."
                );
                exit::UNREACHABLE
            }
            ApplyError::Unknown {
                generation,
                operation,
            } => {
                eprintln!("error: {report:#}");
                eprintln!(
                    "The change may have taken effect as generation {generation}, may still take \
                     effect, or never will. Run `rosemaryglade history --platform {platform}` until \
                     it answers:\n\
                     - operation {operation} is listed: the change is accepted;\n\
                     - another operation is generation {generation}: it will never take effect;\n\
                     - generation {generation} is missing: run the same command again; at most one \
                     change becomes generation {generation}."
                );
                exit::UNKNOWN
            }
        }
    }

    fn outdated(&self, base: Generation, winner: &Head) -> Code {
        eprintln!(
            "error: conflict: generation {} was made by {} at {} (operation {}) and generation \
             {base} is no longer in force; this change has no effect; read the new configuration \
             with `rosemaryglade show --platform {}` and repeat the change on it",
            winner.generation,
            winner.author,
            format_time(winner.time_ms),
            winner.operation,
            self.platform
        );
        exit::CONFLICT
    }

    /// Prints why the platform's state could not be read.
    pub fn unreadable(&self, report: &Report<platform::Error>) -> Code {
        eprintln!(
            "error: the platform at {} cannot be read: {report:#}",
            self.platform
        );
        eprintln!("Nothing was changed. Check the address and run the same command again.");
        exit::UNREACHABLE
    }
}

/// A seed from the operating system's randomness, which the standard library's hash keys use.
/// Equal seeds of two operators would give their changes the same operation id.
fn seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}
