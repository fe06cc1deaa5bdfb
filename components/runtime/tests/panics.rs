//! Panics of tasks that a process cannot work without. The test runs itself as a child process.

use std::process::Command;
use std::thread;
use std::time::Duration;

/// Environment variable that is set in the child process.
const CHILD: &str = "CONTROL_PANIC_CHILD";

/// Runs the test `name` in a child process and returns its exit code.
fn run_child(name: &str) -> Option<i32> {
    let mut child = Command::new(std::env::current_exe().unwrap());
    let output = child.args(["--exact", name]).env(CHILD, "1").output();
    output.unwrap().status.code()
}

/// Guards against a process that goes on serving with its last view of servers and configuration
/// because the task that keeps it up to date has panicked.
#[test]
fn panic_of_a_control_task_ends_the_process() {
    if std::env::var_os(CHILD).is_some() {
        runtime::spawn_control(async { panic!("test") }).detach();
        thread::sleep(Duration::from_secs(5));
        return;
    }
    let code = run_child("panic_of_a_control_task_ends_the_process");
    assert_eq!(code, Some(101));
}

/// Guards against a process that goes on without a listener or the exchange with other entry VMs.
#[test]
fn panic_of_a_service_ends_the_process() {
    if std::env::var_os(CHILD).is_some() {
        runtime::spawn_service(async { panic!("test") });
        let pause = async { runtime::sleep(Duration::from_secs(5)).await };
        return runtime::block_on(1, pause);
    }
    assert_eq!(run_child("panic_of_a_service_ends_the_process"), Some(101));
}

/// Guards against a process that ends because one request panics.
#[test]
fn process_goes_on_after_a_panic_of_another_task() {
    runtime::spawn(async { panic!("test") }).detach();
    runtime::block_on(1, runtime::sleep(Duration::from_millis(100)));
}
