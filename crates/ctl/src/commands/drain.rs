//! `drain` and `undrain`: take a failure domain, an instance or a target out of service, and return
//! it to service.

use serde_json::json;

use crate::command_error::CommandError;
use crate::instance_client::InstanceClient;
use crate::options::CommandLine;
use crate::options::CommandResult;
use crate::options::print_json;
use crate::options::print_text;
use arbutus_wire::admin::DrainKind;
use arbutus_wire::admin::DrainRequest;
use arbutus_wire::admin::DrainResponse;

const DRAIN_USAGE: &str = "drain --instance ADDR [--instance ADDR ..] [--json] KIND NAME";
const DRAIN_SUMMARY: &str =
    "Takes a failure domain, an instance or a target out of service. KIND is one of
failure_domain, instance, target. Any instance accepts the command and distributes
it to the others, also during an outage of the platform. New work stops within 5 s,
requests in progress finish. The command is safe to repeat.";

const UNDRAIN_USAGE: &str = "undrain --instance ADDR [--instance ADDR ..] [--json] KIND NAME";
const UNDRAIN_SUMMARY: &str =
    "Returns a failure domain, an instance or a target to service. KIND is one of
failure_domain, instance, target. The command is safe to repeat.";

pub(super) fn run(arguments: &[String], drained: bool) -> CommandResult {
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
    let request = DrainRequest {
        kind: parse_kind(kind)?,
        name: name.to_owned(),
        drained,
    };
    let instances = InstanceClient::new(arguments.instance_addresses()?);
    let response: DrainResponse = instances.post("/admin/drain", &request)?;
    if response.drained != drained {
        return Err(CommandError::failed(format!(
            "{} {name}: another order with revision {} is in effect",
            request.kind, response.revision
        )));
    }
    if arguments.wants_json() {
        return print_json(&json!({"order": request, "answer": response}));
    }
    let state = if drained { "drained" } else { "in service" };
    print_text(&format!(
        "{} {name}: {state}, revision {}",
        request.kind, response.revision
    ))
}

/// Parses a kind whose words are separated by `-` or `_`.
fn parse_kind(text: &str) -> Result<DrainKind, CommandError> {
    text.replace('-', "_").parse().map_err(|_error| {
        CommandError::usage(format!(
            "`{text}` is not one of failure_domain, instance, target"
        ))
    })
}
