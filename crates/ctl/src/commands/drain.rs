//! `drain` and `undrain`: take something out of service, and return it.

use serde_json::json;

use crate::failure::Failure;
use crate::instance::Instances;
use crate::options::CommandLine;
use crate::options::Outcome;
use crate::options::print_json;
use crate::options::print_text;
use arbutus_wire::admin::DrainKind;
use arbutus_wire::admin::DrainRequest;
use arbutus_wire::admin::DrainResponse;

const DRAIN_USAGE: &str = "drain --instance ADDR [--instance ADDR ..] [--json] KIND NAME";
const DRAIN_SUMMARY: &str =
    "Takes a failure domain, an instance or a target out of service. KIND is one of
failure_domain, instance, target. Any instance accepts the order and passes it on; this
also works while the platform is down. New work stops within 5 s, requests in progress
finish. The order is safe to repeat.";

const UNDRAIN_USAGE: &str = "undrain --instance ADDR [--instance ADDR ..] [--json] KIND NAME";
const UNDRAIN_SUMMARY: &str =
    "Returns a failure domain, an instance or a target to service. KIND is one of
failure_domain, instance, target. The order is safe to repeat.";

pub(super) fn run(arguments: &[String], drained: bool) -> Outcome {
    let (usage, summary) = if drained {
        (DRAIN_USAGE, DRAIN_SUMMARY)
    } else {
        (UNDRAIN_USAGE, UNDRAIN_SUMMARY)
    };
    let command_line = CommandLine::new(usage, summary)
        .with_instances()
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [kind, name] = arguments.positional(["KIND", "NAME"])?;
    let order = DrainRequest {
        kind: parse_kind(kind)?,
        name: name.to_owned(),
        drained,
    };
    let instances = Instances::new(arguments.instances()?);
    let answer: DrainResponse = instances.post("/admin/drain", &order)?;
    if answer.drained != drained {
        return Err(Failure::refused(format!(
            "{} {name}: another order with revision {} is in effect",
            order.kind, answer.revision
        )));
    }
    if arguments.json() {
        return print_json(&json!({"order": order, "answer": answer}));
    }
    let state = if drained { "drained" } else { "in service" };
    print_text(&format!(
        "{} {name}: {state}, revision {}",
        order.kind, answer.revision
    ))
}

/// Parses a kind, with `-` or `_` between its words.
fn parse_kind(text: &str) -> Result<DrainKind, Failure> {
    text.replace('-', "_").parse().map_err(|_error| {
        Failure::usage(format!(
            "`{text}` is none of failure_domain, instance, target"
        ))
    })
}
