//! `claims`: lists and settles non-idempotent requests without a recorded outcome.

use crate::failure::Failure;
use crate::instance::Instances;
use crate::options::CommandLine;
use crate::options::Outcome;
use crate::options::print_json;
use crate::options::print_text;
use crate::options::table;
use arbutus_wire::admin::SettleOutcome;
use arbutus_wire::admin::SettleRequest;
use arbutus_wire::admin::SettleResponse;
use arbutus_wire::admin::UnsettledClaim;

const USAGE: &str = "claims --instance ADDR [--instance ADDR ..] [--json]
       arbutusctl claims settle --instance ADDR --organisation NAME --pipeline NAME
                                --key KEY --outcome run|not_run [--note TEXT] [--json]";
const SUMMARY: &str =
    "Lists the non-idempotent requests without a recorded outcome. Those in the state
`unknown` may or may not have run: find out at the service, then record it with
`claims settle`. The decision is final. Resends with the same key receive it; the
request itself is never run again under that key.";

pub(super) fn run(arguments: &[String]) -> Outcome {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_instances()
        .with_value("organisation", "settle: the organisation", "NAME")
        .with_value("pipeline", "settle: the pipeline", "NAME")
        .with_value("key", "settle: the idempotency key", "KEY")
        .with_value("outcome", "settle: what happened", "run|not_run")
        .with_value("note", "settle: how you found out", "TEXT")
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let action = match arguments.free() {
        [] => None,
        [action] if action == "list" => None,
        [action] if action == "settle" => Some(SettleRequest {
            organisation: arguments.required("organisation")?,
            pipeline: arguments.required("pipeline")?,
            idempotency_key: arguments.required("key")?,
            outcome: parse_outcome(&arguments.required("outcome")?)?,
            note: arguments.value("note").unwrap_or_default(),
        }),
        [other, ..] => return Err(Failure::usage(format!("unexpected argument `{other}`"))),
    };
    let instances = Instances::new(arguments.instances()?);
    match action {
        None => list(&instances, arguments.json()),
        Some(order) => settle(&instances, &order, arguments.json()),
    }
}

fn parse_outcome(text: &str) -> Result<SettleOutcome, Failure> {
    text.replace('-', "_")
        .parse()
        .map_err(|_error| Failure::usage(format!("--outcome: `{text}` is neither run nor not_run")))
}

fn list(instances: &Instances, json: bool) -> Outcome {
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
    print_text(&table(header, &rows))
}

/// Sends the decision. Repeating it is safe, because the first decision is final.
fn settle(instances: &Instances, order: &SettleRequest, json: bool) -> Outcome {
    let answer: SettleResponse = instances.post("/admin/claims/settle", order)?;
    if !answer.settled {
        return Err(Failure::refused(format!("not settled: {}", answer.detail)));
    }
    if json {
        return print_json(&answer);
    }
    print_text(&format!(
        "{} {} {}: settled as {}",
        order.organisation, order.pipeline, order.idempotency_key, order.outcome
    ))
}
