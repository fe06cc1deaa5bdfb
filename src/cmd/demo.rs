//! `demo`: a whole deployment inside one process, with a check of what callers received.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use config::{Class, Configuration, Source};
use deployment::{Caller, CallerRequest, Deployment, Options, RequestOutcome};

use crate::cmd::exit;

const INVENTORY: &str = include_str!("../../examples/notensatz/inventory.json");
const RULES: &str = include_str!("../../examples/notensatz/rules.json");
/// Executor threads.
const THREADS: usize = 4;
/// Time for one request.
const DEADLINE: Duration = Duration::from_secs(5);

/// Builds the definition with its help.
pub fn command() -> Command {
    Command::new("demo")
        .about("Run an example deployment inside this process and check its answers")
        .long_about(
            "Starts the platform stand-in, the backend servers and the entry VMs of the Notensatz \
             example inside this process, on free loopback ports. Sends requests of each class, \
             retries binding ones with the same ticket, drains a server and stops an entry VM \
             gracefully meanwhile. Prints key=value lines; the exit status is 0 only if every \
             promise held.",
        )
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .default_value("100")
                .value_parser(value_parser!(u32).range(1..=10_000))
                .help("Requests per service"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the stand-ins"),
        )
}

/// Runs the demo.
pub fn run(args: &ArgMatches) -> ExitCode {
    let requests = args.get_one::<u32>("requests").copied().unwrap_or(100);
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let inventory = Source {
        name: "examples/notensatz/inventory.json",
        text: INVENTORY,
    };
    let rules = Source {
        name: "examples/notensatz/rules.json",
        text: RULES,
    };
    let (configuration, faults) = config::read_configuration(inventory, rules);
    let Some(configuration) = configuration else {
        for fault in faults {
            eprintln!("{fault}");
        }
        return exit::FAULTS.into();
    };
    match runtime::block_on(THREADS, demo(configuration, requests, seed)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => exit::FAULTS.into(),
        Err(report) => {
            eprintln!("demo: {report:?}");
            exit::FAULTS.into()
        }
    }
}

/// Counts of what callers received.
#[derive(Clone, Debug, Default)]
struct Counts {
    whole: u64,
    wrong: u64,
    not_run: u64,
    unknown: u64,
    by_code: BTreeMap<u16, u64>,
}

impl Counts {
    fn add(&mut self, answer: &RequestOutcome) {
        match answer {
            RequestOutcome::Complete => self.whole += 1,
            RequestOutcome::Invalid => self.wrong += 1,
            RequestOutcome::NotRun(code) => {
                self.not_run += 1;
                *self.by_code.entry(*code).or_default() += 1;
            }
            RequestOutcome::Unknown(code) => {
                self.unknown += 1;
                *self.by_code.entry(*code).or_default() += 1;
            }
        }
    }
}

async fn demo(configuration: Configuration, requests: u32, seed: u64) -> deployment::Result<bool> {
    let started = Instant::now();
    let options = Options {
        configuration,
        seed,
        ..Options::default()
    };
    let mut deployment = Deployment::start(options).await?;
    println!(
        "event=started entry_vms={} servers={} ready_ms={}",
        deployment.running().len(),
        deployment.servers.len(),
        started.elapsed().as_millis()
    );
    let mut is_kept = true;
    let services = deployment.configuration.inventory.services.clone();
    let entry_vms = deployment
        .running()
        .iter()
        .map(|v| v.caller_address)
        .collect();
    let caller = Caller {
        entry_vms,
        deadline: DEADLINE,
    };
    let mut tasks = Vec::new();
    for service in &services {
        for i in 0..requests {
            let work = work_of(&service.id, service.class, i);
            let caller = caller.clone();
            tasks.push(runtime::spawn(async move {
                runtime::sleep(Duration::from_millis(10) * i).await;
                let answer = caller.send_with_retries(&work).await;
                (work, answer)
            }));
        }
    }
    is_kept &= change_under_load(&mut deployment).await?;
    let mut counts: BTreeMap<Box<str>, Counts> = BTreeMap::new();
    let mut answers = Vec::new();
    for task in tasks {
        let (work, answer) = task.await;
        counts.entry(work.service.clone()).or_default().add(&answer);
        answers.push((work, answer));
    }
    for (service, c) in &counts {
        println!(
            "service={service} whole={} wrong={} not_run={} unknown={} codes={:?}",
            c.whole, c.wrong, c.not_run, c.unknown, c.by_code
        );
        is_kept &= c.wrong == 0 && c.unknown == 0 && c.whole == u64::from(requests);
    }
    is_kept &= check_executions(&deployment, &answers);
    is_kept &= deployment.stop().await;
    println!(
        "demo={} elapsed_ms={}",
        if is_kept { "ok" } else { "failed" },
        started.elapsed().as_millis()
    );
    Ok(is_kept)
}

fn work_of(service: &str, class: Class, i: u32) -> CallerRequest {
    CallerRequest {
        service: service.into(),
        house: format!("house-{}", i % 5).into(),
        id: format!("{service}-{i}").into(),
        binding: class == Class::Binding,
        response_bytes: if class == Class::Deferrable {
            200_000
        } else {
            2_000
        },
    }
}

/// Drains a server and stops an entry VM while requests are under way.
async fn change_under_load(deployment: &mut Deployment) -> deployment::Result<bool> {
    runtime::sleep(Duration::from_millis(200)).await;
    let mut next = deployment.configuration.clone();
    let server = next.inventory.servers[0].id.clone();
    next.rules.drains.servers.push(server.clone());
    let generation = deployment.apply(1, &next).await?;
    let taken = deployment.wait_generation(generation).await?;
    println!(
        "event=drained server={server} generation={generation} in_force_ms={}",
        taken.as_millis()
    );
    let vm = deployment.running()[1].id.clone();
    let begun = Instant::now();
    let graceful = deployment.stop_entry_vm(&vm).await;
    println!(
        "event=vm_stopped vm={vm} graceful={graceful} stop_ms={}",
        begun.elapsed().as_millis()
    );
    Ok(graceful)
}

/// Checks that binding work ran once when answered, and never twice.
fn check_executions(deployment: &Deployment, answers: &[(CallerRequest, RequestOutcome)]) -> bool {
    let mut runs: BTreeMap<Box<str>, u64> = BTreeMap::new();
    let mut peak_over = 0;
    for (id, server) in &deployment.servers {
        let seen = server.executions();
        for (work, n) in seen.executions {
            *runs.entry(work).or_default() += n;
        }
        let servers = &deployment.configuration.inventory.servers;
        let slots = servers
            .iter()
            .find(|s| s.id == *id)
            .map_or(0, |s| s.slots as usize);
        peak_over += usize::from(seen.peak_present > slots);
    }
    let binding: Vec<_> = answers.iter().filter(|(w, _)| w.binding).collect();
    let twice = binding
        .iter()
        .filter(|(w, _)| runs.get(&w.id).copied().unwrap_or(0) > 1)
        .count();
    let untrue = binding
        .iter()
        .filter(|(w, a)| matches!(a, RequestOutcome::NotRun(_)) && runs.contains_key(&w.id))
        .count();
    println!(
        "binding={} run_twice={twice} untrue_not_run={untrue} servers_past_slots={peak_over}",
        binding.len()
    );
    twice == 0 && untrue == 0 && peak_over == 0 && !binding.is_empty()
}
