//! One machine is cut off from all servers: its connections to them, open and new, hang. Its clients are
//! served less often than those of the others.

use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Load};
use crate::record::Event;
use crate::{Run, STABILITY_WINDOW};

const ZONES: [&str; 6] = [
    "linz-nord",
    "linz-sued",
    "bregenz-ost",
    "bregenz-west",
    "klagenfurt-a",
    "klagenfurt-b",
];
const CUT_OFF: &str = "frontend-bregenz-ost-1";
/// How long the cut lasts.
const CUT: Duration = Duration::from_secs(12);

pub fn run(run: &mut Run) -> Option<bool> {
    run.add_servers();
    run.configure();
    let mut deployment = Deployment::start(&ZONES, &run.store, &run.record)?;
    run.cut.set_process(deployment.machine(CUT_OFF).pid());
    let mut loads = Vec::new();
    for name in ZONES.map(|zone| format!("frontend-{zone}-1")) {
        loads.extend(run.load(&mut deployment, &name, 6.0, 10.0));
    }
    thread::sleep(STABILITY_WINDOW + Duration::from_secs(1));
    let began = run
        .record
        .step(&format!("{CUT_OFF} is cut off from all servers"));
    run.cut.set_active(run.trouble);
    run.wait_until(began + CUT);
    run.cut.set_active(false);
    let ended = run.record.step("the cut ends");
    thread::sleep(Duration::from_secs(2));
    loads.into_iter().for_each(Load::stop);
    thread::sleep(Duration::from_secs(2));
    // Tries that were sent and had their time before the cut ended.
    let window = began + STABILITY_WINDOW..ended - Duration::from_millis(1500);
    let lines = run.record.lines();
    let (mut tries, mut served) = ([0usize; 2], [0usize; 2]);
    for sent in lines
        .iter()
        .filter(|l| l.event == Event::Sent && window.contains(&l.at))
    {
        let at_cut = usize::from(sent.what.starts_with(CUT_OFF));
        tries[at_cut] += 1;
        let got = lines
            .iter()
            .find(|l| l.event == Event::Got && l.id == sent.id);
        served[at_cut] += usize::from(got.is_some_and(|l| l.what.ends_with(" 200")));
    }
    println!(
        "first tries served at the machine that is cut off: {} of {}",
        served[1], tries[1]
    );
    println!(
        "first tries served at the others: {} of {}",
        served[0], tries[0]
    );
    println!(
        "processes that ended by themselves: {:?}",
        deployment.ended()
    );
    let share = |i: usize| served[i] as f64 / tries[i].max(1) as f64;
    let failed = (tries[1] - served[1]) as f64;
    let all = (tries[0] + tries[1]) as f64;
    Some(share(1) < share(0) * 2.0 / 3.0 && failed > 10.0 + all / 50.0)
}
