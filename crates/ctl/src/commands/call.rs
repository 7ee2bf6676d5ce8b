//! `call`: sends one request through a pipeline, as a caller does.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;

use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::Timeout;
use ureq::http::Response;

use crate::failure::Failure;
use crate::instance::problem_text;
use crate::instance::url;
use crate::options::Arguments;
use crate::options::CommandLine;
use crate::options::Outcome;
use crate::options::print_text;
use arbutus_coord::Millis;
use arbutus_wire::header;

const USAGE: &str = "call --instance ADDR --organisation NAME [OPTIONS] PIPELINE [INPUT]";
const SUMMARY: &str =
    "Sends one request and prints the answer as JSON. INPUT is JSON, @FILE, or - for
standard input; {} by default. Another --instance is tried only when no connection could
be established, so the request is sent at most once. To resend a request that is not
idempotent, give the same --key.";

const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);
/// The instance answers by the deadline; the margin covers the way there and back.
const ANSWER_MARGIN_MS: Millis = Millis(5_000);
/// The longest deadline that an instance accepts, when no other is given.
const LONGEST_DEADLINE_MS: Millis = Millis(60 * 60 * 1_000);
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

pub(super) fn run(arguments: &[String]) -> Outcome {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_instances()
        .with_value(
            "organisation",
            "on whose behalf the request is made",
            "NAME",
        )
        .with_value(
            "deadline-ms",
            "when the answer is due; the pipeline's deadline by default",
            "MS",
        )
        .with_value("key", "the idempotency key", "KEY")
        .with_flag("stream", "print server-sent events as they arrive")
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let (pipeline, input) = match arguments.free() {
        [pipeline] => (pipeline, "{}"),
        [pipeline, input] => (pipeline, input.as_str()),
        [] => return Err(Failure::usage("the argument PIPELINE is missing")),
        [_, _, extra, ..] => return Err(Failure::usage(format!("unexpected argument `{extra}`"))),
    };
    let body = read_input(input)?;
    let answer = send_to_first(&arguments, pipeline, &body)?;
    if arguments.flag("stream") && answer.status().is_success() {
        return print_events(answer);
    }
    print_answer(answer)
}

fn read_input(input: &str) -> Result<Vec<u8>, Failure> {
    let failed = |error: io::Error| Failure::refused(format!("cannot read {input}: {error}"));
    let bytes = match input.strip_prefix('@') {
        Some(file) => fs::read(file).map_err(failed)?,
        None if input == "-" => {
            let mut bytes = Vec::new();
            io::stdin().read_to_end(&mut bytes).map_err(failed)?;
            bytes
        }
        None => input.as_bytes().to_vec(),
    };
    serde_json::from_slice::<serde_json::Value>(&bytes)
        .map_err(|error| Failure::usage(format!("the input is not JSON: {error}")))?;
    Ok(bytes)
}

fn send_to_first(
    arguments: &Arguments,
    pipeline: &str,
    body: &[u8],
) -> Result<Response<Body>, Failure> {
    let mut attempts = Vec::new();
    for address in arguments.instances()? {
        match send(arguments, address, pipeline, body)? {
            Ok(answer) => return Ok(answer),
            Err(error) if proves_not_sent(&error) => attempts.push(format!("{address}: {error}")),
            Err(error) => {
                return Err(Failure::refused(format!(
                    "{address}: {error}; whether the request was executed is unknown"
                )));
            }
        }
    }
    let attempts = attempts.join("\n  ");
    Err(Failure::refused(format!(
        "not run, no instance can be reached:\n  {attempts}"
    )))
}

fn send(
    arguments: &Arguments,
    address: SocketAddr,
    pipeline: &str,
    body: &[u8],
) -> Result<Result<Response<Body>, Error>, Failure> {
    let deadline_ms = arguments.number("deadline-ms")?.map(Millis);
    let timeout_ms = deadline_ms.unwrap_or(LONGEST_DEADLINE_MS) + ANSWER_MARGIN_MS;
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
        .timeout_global(Some(timeout_ms.to_duration()))
        .build()
        .new_agent();
    let accept = if arguments.flag("stream") {
        "text/event-stream"
    } else {
        "application/json"
    };
    let mut request = agent
        .post(url(address, &format!("/v1/pipelines/{pipeline}")))
        .header("Content-Type", "application/json")
        .header("Accept", accept)
        .header(header::ORGANISATION, arguments.required("organisation")?);
    if let Some(deadline_ms) = deadline_ms {
        request = request.header(header::DEADLINE_MS, deadline_ms.0.to_string());
    }
    if let Some(key) = arguments.value("key") {
        request = request.header(header::IDEMPOTENCY_KEY, key);
    }
    Ok(request.send(body))
}

/// Tells whether an error proves that no connection was established.
fn proves_not_sent(error: &Error) -> bool {
    match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => true,
        Error::Io(cause) => cause.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn print_answer(mut answer: Response<Body>) -> Outcome {
    let status = answer.status().as_u16();
    let text = answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_string()
        .map_err(|error| {
            Failure::refused(format!(
                "the answer is not whole: {error}; whether the request was executed is unknown"
            ))
        })?;
    if answer.status().is_success() {
        return print_text(&text);
    }
    let executed = executed(&text);
    Err(Failure::Reported(crate::failure::Report {
        text: format!("{}; executed: {executed}", problem_text(status, &text)),
        json: serde_json::from_str(&text).unwrap_or_default(),
    }))
}

fn executed(problem: &str) -> String {
    let problem: arbutus_wire::admin::Problem = serde_json::from_str(problem).unwrap_or_default();
    problem.executed.unwrap_or_else(|| "unknown".to_owned())
}

/// Prints events as they arrive. The answer is whole only when it ends with `done`.
fn print_events(answer: Response<Body>) -> Outcome {
    let failed = |error: io::Error| Failure::refused(format!("the stream broke off: {error}"));
    let mut output = io::stdout().lock();
    let mut last_event = String::new();
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        let line = line.map_err(failed)?;
        if let Some(event) = line.strip_prefix("event: ") {
            event.clone_into(&mut last_event);
        }
        writeln!(output, "{line}")
            .and_then(|()| output.flush())
            .map_err(failed)?;
    }
    if last_event == "done" {
        return Ok(());
    }
    Err(Failure::refused(format!(
        "the stream ended with `{last_event}` and not with `done`, so the answer is not whole"
    )))
}
