//! Session with the platform, and the arguments shared by subcommands that use it.

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

/// Result of a step of a subcommand. The error has already been printed; `Code` is its exit code.
pub type Result<T> = std::result::Result<T, Code>;

/// Adds the options of subcommands that require the platform.
pub fn with_platform_args(command: Command) -> Command {
    with_optional_platform_args(command).mut_arg("platform", |arg| arg.required(true))
}

/// Adds the same options to a subcommand for which the platform is optional.
pub fn with_optional_platform_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDR")
                .help("Address of the platform, IP:PORT; several addresses are tried in turn")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("MS")
                .help("Timeout of one request to the platform")
                .default_value("3000")
                .value_parser(value_parser!(u64).range(1..=600_000)),
        )
}

/// Adds the options of subcommands that change the configuration.
pub fn with_change_args(command: Command) -> Command {
    with_platform_args(command).arg(
        Arg::new("author")
            .long("author")
            .value_name("NAME")
            .help("Author of the change; shown in the history and in conflict messages")
            .required(true),
    )
}

pub fn with_base_arg(command: Command) -> Command {
    command.arg(
        Arg::new("base")
            .long("base")
            .value_name("GENERATION")
            .help("Generation that the change replaces [default: the one in force]")
            .value_parser(value_parser!(u64)),
    )
}

/// Access of one subcommand to the platform.
pub struct Session {
    pub client: Client,
    /// Value of `--platform`, for the commands suggested in messages.
    platform: String,
}

/// The configuration in force.
pub struct InForce {
    pub head: Head,
    pub configuration: Configuration,
    /// The platform's time when the configuration was read. All steps of a subcommand use it,
    /// because a shift that starts at one time would appear as a jump at a later one.
    pub now_ms: u64,
}

/// Runs a subcommand with a session.
pub fn run<F>(args: &ArgMatches, command: impl FnOnce(Session) -> F) -> ExitCode
where
    F: Future<Output = Result<()>>,
{
    let session = Session::new(args);
    match runtime::block_on(1, command(session)) {
        Ok(()) => exit::SUCCESS.into(),
        Err(code) => code.into(),
    }
}

impl Session {
    fn new(args: &ArgMatches) -> Session {
        let addresses = args.get_many::<SocketAddr>("platform").unwrap_or_default();
        let addresses: Vec<SocketAddr> = addresses.copied().collect();
        let timeout = args.get_one::<u64>("timeout-ms").copied().unwrap_or(3_000);
        let addresses_text: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        Session {
            client: Client::new(ClientSettings {
                addresses,
                timeout: Duration::from_millis(timeout),
                ..ClientSettings::default()
            }),
            platform: addresses_text.join(","),
        }
    }

    /// Reads the head row.
    pub async fn head(&self) -> Result<VersionedHead> {
        self.client
            .head()
            .await
            .map_err(|report| self.report_read_error(&report))
    }

    /// Reads the configuration in force. Fails if a base is given and is not in force.
    pub async fn in_force(&self, base: Option<Generation>) -> Result<InForce> {
        let Some(head) = self.head().await?.head else {
            eprintln!(
                "error: there is no configuration yet; nothing was changed; run `rosemaryglade \
                 apply --platform {} --base 0 ...`",
                self.platform
            );
            return Err(exit::FAILURE);
        };
        if let Some(base) = base.filter(|base| *base != head.generation) {
            return Err(self.report_conflict(base, &head));
        }
        let configuration = self.configuration(&head).await?;
        let now_ms = self.client.time_ms().unwrap_or_default();
        Ok(InForce {
            head,
            configuration,
            now_ms,
        })
    }

    /// Reads and checks the configuration that a head refers to.
    pub async fn configuration(&self, head: &Head) -> Result<Configuration> {
        let bytes = self.client.object(&head.object).await;
        let bytes = bytes.map_err(|report| self.report_read_error(&report))?;
        config::parse_configuration(&bytes).map_err(|report| {
            eprintln!(
                "error: the configuration of generation {} is invalid; nothing was changed",
                head.generation
            );
            eprintln!("{}", report.current_context());
            exit::FAILURE
        })
    }

    /// Prints the plan of a change and rejects the change if it would exceed a cap.
    pub fn check_caps(&self, in_force: &InForce, after: &Configuration) -> Result<()> {
        let plan = config::plan(&in_force.configuration, after, in_force.now_ms);
        files::print(format_args!("{plan}"));
        if plan.exceeds_cap() {
            eprintln!(
                "error: the change would move more traffic than its cap allows; nothing was \
                 changed; move the traffic first with `rosemaryglade shift --platform {} ...`",
                self.platform
            );
            return Err(exit::CAP_EXCEEDED);
        }
        Ok(())
    }

    /// Applies a configuration as the successor of `base`.
    pub async fn commit(
        &self,
        base: Generation,
        configuration: &Configuration,
        args: &ArgMatches,
    ) -> Result<()> {
        let bytes = config::encode(configuration);
        // Entry VMs reject a configuration with errors, so the encoded form is checked first.
        if let Err(report) = config::parse_configuration(&bytes) {
            eprintln!("error: the new configuration is invalid; nothing was changed");
            eprintln!("{}", report.current_context());
            return Err(exit::FAILURE);
        }
        let author = args.get_one::<String>("author").ok_or(exit::USAGE)?;
        let mut rng = Rng::with_seed(random_seed());
        match platform::apply(&self.client, base, &bytes, author, &mut rng).await {
            Ok(generation) => {
                files::print(format_args!("generation {generation} is accepted\n"));
                Ok(())
            }
            Err(report) => Err(self.report_apply_error(base, &report)),
        }
    }

    /// Prints why a change was not applied or not confirmed, and what to do next.
    fn report_apply_error(&self, base: Generation, report: &Report<ApplyError>) -> Code {
        let platform = &self.platform;
        match report.current_context() {
            ApplyError::Conflict(winner) => self.report_conflict(base, winner),
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
                     again when the platform is reachable."
                );
                exit::PLATFORM_UNREACHABLE
            }
            ApplyError::Unknown {
                generation,
                operation,
            } => {
                eprintln!("error: {report:#}");
                eprintln!(
                    "The change may have taken effect as generation {generation}, may still take \
                     effect, or never will. Run `rosemaryglade history --platform {platform}` until \
                     one of these applies:\n\
                     - operation {operation} is listed: the change was accepted;\n\
                     - generation {generation} has another operation: the change will never take \
                     effect;\n\
                     - generation {generation} is not listed: run the same command again; at most one \
                     change becomes generation {generation}."
                );
                exit::OUTCOME_UNKNOWN
            }
        }
    }

    fn report_conflict(&self, base: Generation, winner: &Head) -> Code {
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

    /// Prints why reading from the platform failed.
    pub fn report_read_error(&self, report: &Report<platform::Error>) -> Code {
        eprintln!(
            "error: the platform at {} cannot be read: {report:#}",
            self.platform
        );
        eprintln!("Nothing was changed. Check the address and run the same command again.");
        exit::PLATFORM_UNREACHABLE
    }
}

/// Returns a seed from the operating system's random source, by way of the keys of the standard
/// library's hasher. With equal seeds the changes of two operators would get the same operation id.
fn random_seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}
