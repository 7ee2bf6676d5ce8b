//! `claims`: lists non-idempotent requests without a recorded outcome, and settles them.

use crate::command_error::CommandError;
use crate::instance_client::InstanceClient;
use crate::options::CommandLine;
use crate::options::CommandResult;
use crate::options::format_table;
use crate::options::print_json;
use crate::options::print_text;
use arbutus_wire::admin::SettleOutcome;
use arbutus_wire::admin::SettleRequest;
use arbutus_wire::admin::SettleResponse;
use arbutus_wire::admin::UnsettledClaim;

const USAGE: &str = "claims --instance ADDR [--instance ADDR ..] [--json]
       arbutusctl claims settle --instance ADDR --organisation NAME --pipeline NAME
                                --key KEY --outcome run|not_run [--note TEXT] [--json]";
const SUMMARY: &str = "Lists the non-idempotent requests without a recorded outcome. A request in
state `unknown` may or may not have been executed: find out in the records of the service,
then record the outcome with `claims settle`. The outcome is final. Client retries
with the same key receive it, and the request is never executed again with that key.";

pub(super) fn run(arguments: &[String]) -> CommandResult {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_instances()
        .with_value("organisation", "settle: the organisation", "NAME")
        .with_value("pipeline", "settle: the pipeline", "NAME")
        .with_value("key", "settle: the idempotency key", "KEY")
        .with_value(
            "outcome",
            "settle: whether the request was executed",
            "run|not_run",
        )
        .with_value("note", "settle: how the outcome was determined", "TEXT")
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let settle_request = match arguments.all_positional() {
        [] => None,
        [action] if action == "list" => None,
        [action] if action == "settle" => Some(SettleRequest {
            organisation: arguments.required("organisation")?,
            pipeline: arguments.required("pipeline")?,
            idempotency_key: arguments.required("key")?,
            outcome: parse_outcome(&arguments.required("outcome")?)?,
            note: arguments.value("note").unwrap_or_default(),
        }),
        [arg, ..] => return Err(CommandError::usage(format!("unexpected argument `{arg}`"))),
    };
    let instances = InstanceClient::new(arguments.instance_addresses()?);
    match settle_request {
        None => list(&instances, arguments.wants_json()),
        Some(request) => settle(&instances, &request, arguments.wants_json()),
    }
}

fn parse_outcome(text: &str) -> Result<SettleOutcome, CommandError> {
    text.replace('-', "_").parse().map_err(|_error| {
        CommandError::usage(format!("--outcome: `{text}` is neither run nor not_run"))
    })
}

fn list(instances: &InstanceClient, json: bool) -> CommandResult {
    let claims: Vec<UnsettledClaim> = instances.get("/admin/claims")?;
    if json {
        return print_json(&claims);
    }
    if claims.is_empty() {
        return print_text("every claim has a recorded outcome");
    }
    let header = [
        "ORGANISATION",
        "PIPELINE",
        "KEY",
        "STATE",
        "HOLDER",
        "ATTEMPT",
    ];
    let rows: Vec<[String; 6]> = claims
        .into_iter()
        .map(|claim| {
            [
                claim.organisation,
                claim.pipeline,
                claim.idempotency_key,
                claim.state.to_string(),
                claim.holder,
                claim.attempt,
            ]
        })
        .collect();
    print_text(&format_table(header, &rows))
}

/// Records the outcome of a request. Repeating the call is safe, because the first recorded outcome
/// is final.
fn settle(instances: &InstanceClient, request: &SettleRequest, json: bool) -> CommandResult {
    let response: SettleResponse = instances.post("/admin/claims/settle", request)?;
    if !response.settled {
        return Err(CommandError::failed(format!(
            "not settled: {}",
            response.detail
        )));
    }
    if json {
        return print_json(&response);
    }
    print_text(&format!(
        "{} {} {}: settled as {}",
        request.organisation, request.pipeline, request.idempotency_key, request.outcome
    ))
}
