//! `call`: sends a request to a pipeline, as a client does.

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

use crate::command_error::CommandError;
use crate::instance_client::describe_problem;
use crate::instance_client::url;
use crate::options::Arguments;
use crate::options::CommandLine;
use crate::options::CommandResult;
use crate::options::print_text;
use arbutus_coord::Millis;
use arbutus_wire::header;

const USAGE: &str = "call --instance ADDR --organisation NAME [OPTIONS] PIPELINE [INPUT]";
const SUMMARY: &str =
    "Sends one request and prints the response as JSON. INPUT is JSON, @FILE, or - for
standard input; {} by default. Another --instance is tried only if no connection could be
established, so the request is sent at most once. To retry a request that is not
idempotent, use the same --key.";

const CONNECT_TIMEOUT_MS: Millis = Millis(1_000);
/// Time that is added to the deadline for the transmission of the request and of the response. The
/// instance itself responds by the deadline.
const RESPONSE_MARGIN_MS: Millis = Millis(5_000);
/// The longest deadline that an instance accepts. It determines the timeout of the call if the
/// operator gives no deadline.
const MAX_DEADLINE_MS: Millis = Millis(60 * 60 * 1_000);
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

pub(super) fn run(arguments: &[String]) -> CommandResult {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_instances()
        .with_value(
            "organisation",
            "the organisation on whose behalf the request is sent",
            "NAME",
        )
        .with_value(
            "deadline-ms",
            "the deadline of the request; the pipeline's deadline by default",
            "MS",
        )
        .with_value("key", "the idempotency key", "KEY")
        .with_flag("stream", "print server-sent events as they arrive")
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let (pipeline, input) = match arguments.all_positional() {
        [pipeline] => (pipeline, "{}"),
        [pipeline, input] => (pipeline, input.as_str()),
        [] => return Err(CommandError::usage("the argument PIPELINE is missing")),
        [_, _, arg, ..] => return Err(CommandError::usage(format!("unexpected argument `{arg}`"))),
    };
    let body = read_input(input)?;
    let response = send_to_first_reachable(&arguments, pipeline, &body)?;
    if arguments.has_flag("stream") && response.status().is_success() {
        return print_events(response);
    }
    print_response(response)
}

fn read_input(input: &str) -> Result<Vec<u8>, CommandError> {
    let io_error = |error: io::Error| CommandError::failed(format!("cannot read {input}: {error}"));
    let bytes = match input.strip_prefix('@') {
        Some(file) => fs::read(file).map_err(io_error)?,
        None if input == "-" => {
            let mut bytes = Vec::new();
            io::stdin().read_to_end(&mut bytes).map_err(io_error)?;
            bytes
        }
        None => input.as_bytes().to_vec(),
    };
    serde_json::from_slice::<serde_json::Value>(&bytes)
        .map_err(|error| CommandError::usage(format!("the input is not JSON: {error}")))?;
    Ok(bytes)
}

fn send_to_first_reachable(
    arguments: &Arguments,
    pipeline: &str,
    body: &[u8],
) -> Result<Response<Body>, CommandError> {
    let mut failures = Vec::new();
    for address in arguments.instance_addresses()? {
        match send(arguments, address, pipeline, body)? {
            Ok(response) => return Ok(response),
            Err(error) if proves_not_sent(&error) => failures.push(format!("{address}: {error}")),
            Err(error) => {
                return Err(CommandError::failed(format!(
                    "{address}: {error}; whether the request was executed is unknown"
                )));
            }
        }
    }
    let failures = failures.join("\n  ");
    Err(CommandError::failed(format!(
        "not executed: no instance can be reached:\n  {failures}"
    )))
}

/// Sends the request to one instance. The outer error is an invalid option, the inner one a
/// transport error.
fn send(
    arguments: &Arguments,
    address: SocketAddr,
    pipeline: &str,
    body: &[u8],
) -> Result<Result<Response<Body>, Error>, CommandError> {
    let deadline_ms = arguments.number("deadline-ms")?.map(Millis);
    let timeout_ms = deadline_ms.unwrap_or(MAX_DEADLINE_MS) + RESPONSE_MARGIN_MS;
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT_MS.to_duration()))
        .timeout_global(Some(timeout_ms.to_duration()))
        .build()
        .new_agent();
    let accept = if arguments.has_flag("stream") {
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

/// Returns whether an error proves that no connection was established.
fn proves_not_sent(error: &Error) -> bool {
    match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => true,
        Error::Io(cause) => cause.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn print_response(mut response: Response<Body>) -> CommandResult {
    let status = response.status().as_u16();
    let text = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_string()
        .map_err(|error| {
            CommandError::failed(format!(
                "the response is incomplete: {error}; whether the request was executed is unknown"
            ))
        })?;
    if response.status().is_success() {
        return print_text(&text);
    }
    let execution_status = execution_status(&text);
    Err(CommandError::FailedWithJson(
        crate::command_error::JsonReport {
            text: format!(
                "{}; executed: {execution_status}",
                describe_problem(status, &text)
            ),
            json: serde_json::from_str(&text).unwrap_or_default(),
        },
    ))
}

/// Returns whether the request was executed according to a problem response.
fn execution_status(problem: &str) -> String {
    let problem: arbutus_wire::admin::Problem = serde_json::from_str(problem).unwrap_or_default();
    problem.executed.unwrap_or_else(|| "unknown".to_owned())
}

/// Prints events as they arrive. The response is complete only if the last event is `done`.
fn print_events(response: Response<Body>) -> CommandResult {
    let io_error = |error: io::Error| {
        CommandError::failed(format!(
            "cannot copy the stream to standard output: {error}"
        ))
    };
    let mut output = io::stdout().lock();
    let mut last_event = String::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line.map_err(io_error)?;
        if let Some(event) = line.strip_prefix("event: ") {
            event.clone_into(&mut last_event);
        }
        writeln!(output, "{line}")
            .and_then(|()| output.flush())
            .map_err(io_error)?;
    }
    if last_event == "done" {
        return Ok(());
    }
    Err(CommandError::failed(format!(
        "the stream ended with the event `{last_event}` instead of `done`, so the response is \
         incomplete"
    )))
}
