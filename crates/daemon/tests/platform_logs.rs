//! Guards against requests of which no instance logs the identifier. They occurred at a shutdown:
//! the process exited before the logging thread had written its queue, and logged a request only
//! when it ended.

use std::collections::BTreeMap;
use std::fs;
use std::io::PipeReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use arbutus_platform::names;
use arbutus_standins::simulated_platform::SimulatedPlatform;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example;
use arbutus_standins::simulated_platform::instance::InstanceProcess;
use arbutus_standins::simulated_platform::target::Fault;

/// Number of requests whose log lines, of more than 200 bytes each, do not fit into a pipe of 64
/// KiB. They fit into the queue of the log.
const FILLING_REQUESTS: usize = 400;
/// How long a process without a drain would need at most to exit after it has closed its
/// connections; less than the drain may take.
const EXIT_WITHOUT_DRAIN: Duration = Duration::from_millis(20);

fn start_platform() -> SimulatedPlatform {
    let platform =
        SimulatedPlatform::start(&example::TARGETS).expect("the store and targets start");
    platform
        .store
        .put_configuration(&example::configuration(1))
        .expect("the object can be encoded");
    platform
}

fn start_instance(platform: &SimulatedPlatform) -> InstanceProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_arbutusd"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let instance = InstanceProcess::start(program, directory, platform.store.address, "x")
        .expect("the instance starts");
    instance.wait_until_ready().expect("the instance is ready");
    instance
}

/// Starts an instance whose log goes to a pipe that is full, so that further lines are queued.
fn start_instance_with_full_pipe(platform: &SimulatedPlatform) -> (InstanceProcess, PipeReader) {
    let mut instance = start_instance(platform);
    instance.kill().expect("the instance can be killed");
    let pipe = instance
        .restart_with_pipe()
        .expect("the instance starts again");
    instance.wait_until_ready().expect("the instance is ready");
    for number in 0..FILLING_REQUESTS {
        let call = ClientRequest::new("GET", "/safe/1", &format!("fills-{number}"));
        let response = call.call(instance.client_address());
        let response = response.expect("the instance accepts connections");
        assert_eq!(response.status, 200);
    }
    (instance, pipe)
}

/// Sends the head of a request and a part of its body.
fn send_incomplete_request(instance: &InstanceProcess, id: &str) -> TcpStream {
    let mut stream =
        TcpStream::connect(instance.client_address()).expect("the instance accepts connections");
    let head = format!(
        "POST /unsafe/1 HTTP/1.1\r\nhost: a.example\r\n{}: {id}\r\n{}: 9000\r\n{}: key\r\n\
         content-length: 10\r\n\r\npart",
        names::REQUEST_ID,
        names::DEADLINE,
        names::API_KEY,
    );
    stream
        .write_all(head.as_bytes())
        .expect("the request can be written");
    stream
}

/// Returns the keys and values of the lines with a message, in their order.
fn lines_with_message(log: &str, message: &str) -> Vec<BTreeMap<String, String>> {
    let pattern = format!(" msg=\"{message}\"");
    let lines = log.lines().filter(|line| line.contains(&pattern));
    lines.map(parse_line).collect()
}

fn parse_line(line: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = line;
    while let Some((key, after_key)) = rest.trim_start().split_once('=') {
        let (value, after_value) = match after_key.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after_key.split_once(' ').unwrap_or((after_key, "")),
        };
        fields.insert(key.to_owned(), value.to_owned());
        rest = after_value;
    }
    fields
}

/// The full pipe keeps the last lines in the queue until the process has closed its connections.
#[test]
fn the_last_lines_before_the_exit_reach_the_output() {
    let platform = start_platform();
    let (mut instance, mut pipe) = start_instance_with_full_pipe(&platform);
    instance.terminate().expect("the signal is sent");
    // The body has a timeout of 3 s, and the process exits 4.75 s after SIGTERM at the latest.
    thread::sleep(Duration::from_millis(2_400));
    let mut held = send_incomplete_request(&instance, "held");
    let mut response = Vec::new();
    let _reset = held.read_to_end(&mut response);
    thread::sleep(EXIT_WITHOUT_DRAIN);
    let mut log = String::new();
    pipe.read_to_string(&mut log).expect("the log is readable");
    assert!(
        instance.wait().expect("the instance exits"),
        "the exit status is not 0"
    );
    assert_eq!(response, b"");
    let last_line = log.lines().last().expect("the log has lines");
    let last = parse_line(last_line);
    assert_eq!(last["msg"], "all tasks ended; exiting", "{last_line}");
    assert_eq!(last["requests_cut_off"], "1", "{last_line}");
    assert_eq!(last["log_lines_dropped"], "0", "{last_line}");
    let [stopped] = &*lines_with_message(&log, "stopped") else {
        panic!("one line about the decision to exit");
    };
    assert_eq!(stopped["in_progress"], "1");
    assert_eq!(stopped["client_connections"], "1");
    assert_eq!(stopped["reason"], "grace period over");
    let [accepted] = &*lines_with_message(&log, "request accepted during shutdown") else {
        panic!("one line about the acceptance of the request");
    };
    assert_eq!(accepted["request"], "held");
    assert_eq!(accepted["in_progress"], "1");
    assert_eq!(accepted["first_of_connection"], "true");
    let ended = lines_with_message(&log, "request ended");
    assert_eq!(ended.len(), FILLING_REQUESTS + 1);
    let held_end = &ended[FILLING_REQUESTS];
    assert_eq!(held_end["request"], "held");
    assert_eq!(held_end["outcome"], "shutdown");
}

/// Guards against a drain without a bound: the process would be killed at the end of its grace
/// period.
#[test]
fn an_output_that_nobody_reads_does_not_delay_the_exit() {
    let platform = start_platform();
    let (mut instance, _pipe) = start_instance_with_full_pipe(&platform);
    let terminated_at = Instant::now();
    instance.terminate().expect("the signal is sent");
    assert!(
        instance.wait().expect("the instance exits"),
        "the exit status is not 0"
    );
    let elapsed = terminated_at.elapsed();
    // The shutdown takes 3.2 s, the pause after it 50 ms and the drain 100 ms.
    assert!(elapsed < Duration::from_millis(3_800), "after {elapsed:?}");
}

/// Guards against requests that the process reads after its decision to exit and sends to a target,
/// but does not log.
#[test]
fn each_request_that_a_target_executes_during_a_shutdown_is_logged() {
    let platform = start_platform();
    let mut instance = start_instance(&platform);
    let log_path = instance.keep_log();
    let read_log = || fs::read_to_string(&log_path).expect("the log is readable");
    let wait_for_line = |message: &str| {
        while lines_with_message(&read_log(), message).is_empty() {
            thread::sleep(Duration::from_millis(1));
        }
    };
    let send = |id: &str| {
        let call = ClientRequest::new("POST", "/unsafe/1", id);
        call.send(instance.client_address())
    };
    instance.terminate().expect("the signal is sent");
    wait_for_line("shutting down; completing the requests in progress");
    let mut connections = vec![send("early").expect("the instance accepts connections")];
    wait_for_line("stopped");
    // The targets would respond after the exit.
    for target in &platform.targets {
        for _ in 0..3 {
            target.add_fault(Fault::DelayResponse(Duration::from_secs(1)));
        }
    }
    // Fails if the process no longer accepts connections.
    for id in ["late-1", "late-2", "late-3"] {
        connections.extend(send(id));
    }
    assert!(
        instance.wait().expect("the instance exits"),
        "the exit status is not 0"
    );
    let log = read_log();
    let executed = platform.executed_request_ids();
    assert!(executed.contains(&"early".to_owned()), "{executed:?}");
    println!("executed: {executed:?}");
    for message in ["request accepted during shutdown", "request ended"] {
        let lines = lines_with_message(&log, message);
        for id in &executed {
            let count = lines.iter().filter(|line| line["request"] == *id).count();
            assert_eq!(count, 1, "{message} {id}\n{log}");
        }
    }
    for line in lines_with_message(&log, "request ended") {
        let is_late = line["request"].starts_with("late");
        let outcome = if is_late { "shutdown" } else { "answered" };
        assert_eq!(line["outcome"], outcome, "{}", line["request"]);
    }
    let last = lines_with_message(&log, "all tasks ended; exiting");
    let accepted = lines_with_message(&log, "request accepted during shutdown");
    // The early request was answered.
    let cut_off = (accepted.len() - 1).to_string();
    assert_eq!(last[0]["requests_cut_off"], cut_off, "{log}");
    fs::remove_file(log_path).expect("the log can be deleted");
}
