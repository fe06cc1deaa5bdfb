//! `demo`: runs a complete deployment inside one process and checks the responses to callers.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use config::{Class, Configuration, Source};
use deployment::{Caller, CallerRequest, Deployment, Options, RequestOutcome};

use crate::cmd::exit;

const INVENTORY: &str = include_str!("../../examples/notensatz/inventory.json");
const RULES: &str = include_str!("../../examples/notensatz/rules.json");
const THREADS: usize = 4;
const DEADLINE: Duration = Duration::from_secs(5);

pub fn command() -> Command {
    Command::new("demo")
        .about("Run an example deployment inside this process and check its responses")
        .long_about(
            "Starts a test platform, test servers and the entry VMs of the Notensatz example in \
             this process, on free loopback ports. Sends requests to services of each class and \
             retries binding requests with the same ticket. Meanwhile it drains a server and stops \
             an entry VM gracefully. Prints key=value lines; the exit code is 0 only if all checks \
             passed.",
        )
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .default_value("100")
                .value_parser(value_parser!(u32).range(1..=10_000))
                .help("Number of requests per service"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the test platform and test servers"),
        )
}

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
    let (configuration, diagnostics) = config::read_configuration(inventory, rules);
    let Some(configuration) = configuration else {
        for diagnostic in diagnostics {
            eprintln!("{diagnostic}");
        }
        return exit::FAILURE.into();
    };
    match runtime::block_on(THREADS, run_demo(configuration, requests, seed)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => exit::FAILURE.into(),
        Err(report) => {
            eprintln!("error: the demo could not be run: {report:?}");
            exit::FAILURE.into()
        }
    }
}

/// Number of responses to callers, by outcome and result code.
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

async fn run_demo(
    configuration: Configuration,
    requests: u32,
    seed: u64,
) -> deployment::Result<bool> {
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
    let mut passed = true;
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
            let work = build_work(&service.id, service.class, i);
            let caller = caller.clone();
            tasks.push(runtime::spawn(async move {
                runtime::sleep(Duration::from_millis(10) * i).await;
                let answer = caller.send_with_retries(&work).await;
                (work, answer)
            }));
        }
    }
    passed &= drain_and_stop_under_load(&mut deployment).await?;
    let mut counts_by_service: BTreeMap<Box<str>, Counts> = BTreeMap::new();
    let mut answers = Vec::new();
    for task in tasks {
        let (work, answer) = task.await;
        counts_by_service
            .entry(work.service.clone())
            .or_default()
            .add(&answer);
        answers.push((work, answer));
    }
    for (service, counts) in &counts_by_service {
        println!(
            "service={service} whole={} wrong={} not_run={} unknown={} codes={:?}",
            counts.whole, counts.wrong, counts.not_run, counts.unknown, counts.by_code
        );
        passed &= counts.wrong == 0 && counts.unknown == 0 && counts.whole == u64::from(requests);
    }
    passed &= check_executions(&deployment, &answers);
    passed &= deployment.stop().await;
    println!(
        "demo={} elapsed_ms={}",
        if passed { "ok" } else { "failed" },
        started.elapsed().as_millis()
    );
    Ok(passed)
}

fn build_work(service: &str, class: Class, i: u32) -> CallerRequest {
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

/// Drains a server and stops an entry VM while requests are in progress. Returns whether the entry
/// VM stopped gracefully.
async fn drain_and_stop_under_load(deployment: &mut Deployment) -> deployment::Result<bool> {
    runtime::sleep(Duration::from_millis(200)).await;
    let mut after = deployment.configuration.clone();
    let server = after.inventory.servers[0].id.clone();
    after.rules.drains.servers.push(server.clone());
    let generation = deployment.apply(1, &after).await?;
    let elapsed = deployment.wait_generation(generation).await?;
    println!(
        "event=drained server={server} generation={generation} in_force_ms={}",
        elapsed.as_millis()
    );
    let vm = deployment.running()[1].id.clone();
    let stop_started = Instant::now();
    let graceful = deployment.stop_entry_vm(&vm).await;
    println!(
        "event=vm_stopped vm={vm} graceful={graceful} stop_ms={}",
        stop_started.elapsed().as_millis()
    );
    Ok(graceful)
}

/// Checks that no binding work ran twice or ran although it was reported as not run, and that no
/// server exceeded its slots.
fn check_executions(deployment: &Deployment, answers: &[(CallerRequest, RequestOutcome)]) -> bool {
    let mut run_counts: BTreeMap<Box<str>, u64> = BTreeMap::new();
    let mut over_slots = 0;
    for (id, server) in &deployment.servers {
        let stats = server.stats();
        for (work, n) in stats.executions {
            *run_counts.entry(work).or_default() += n;
        }
        let servers = &deployment.configuration.inventory.servers;
        let slots = servers
            .iter()
            .find(|s| s.id == *id)
            .map_or(0, |s| s.slots as usize);
        over_slots += usize::from(stats.peak_present > slots);
    }
    let binding: Vec<_> = answers.iter().filter(|(w, _)| w.binding).collect();
    let run_twice = binding
        .iter()
        .filter(|(w, _)| run_counts.get(&w.id).copied().unwrap_or(0) > 1)
        .count();
    let false_reports = binding
        .iter()
        .filter(|(w, a)| matches!(a, RequestOutcome::NotRun(_)) && run_counts.contains_key(&w.id))
        .count();
    println!(
        "binding={} run_twice={run_twice} untrue_not_run={false_reports} servers_past_slots={over_slots}",
        binding.len()
    );
    run_twice == 0 && false_reports == 0 && over_slots == 0 && !binding.is_empty()
}
