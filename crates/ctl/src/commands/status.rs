//! `status`: shows what an instance knows about itself, the other instances and its targets.

use crate::instance_client::InstanceClient;
use crate::options::CommandLine;
use crate::options::CommandResult;
use crate::options::format_table;
use crate::options::print_json;
use crate::options::print_text;
use arbutus_wire::admin::Status;

const USAGE: &str = "status --instance ADDR [--instance ADDR ..] [--json]";
const SUMMARY: &str =
    "Shows the status of the first instance that responds: its configuration generation, the
members with their states and generations, drains, targets, requests in progress and
limits. Its view of other instances may be out of date.";

pub(super) fn run(arguments: &[String]) -> CommandResult {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_instances()
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [] = arguments.positional([])?;
    let instances = InstanceClient::new(arguments.instance_addresses()?);
    let status: Status = instances.get("/admin/status")?;
    if arguments.wants_json() {
        return print_json(&status);
    }
    print_text(&render(&status))
}

fn render(status: &Status) -> String {
    let summary = format!(
        "instance {} in {}, generation {}, {} requests in progress",
        status.instance, status.failure_domain, status.generation, status.requests_in_progress
    );
    let parts = [
        Some(summary),
        section("members", members_table(status)),
        section("drains", drains_table(status)),
        section("targets", targets_table(status)),
        section("limits", limits_table(status)),
    ];
    parts.into_iter().flatten().collect::<Vec<_>>().join("\n\n")
}

fn section(name: &str, table: Option<String>) -> Option<String> {
    Some(format!("{name}\n{}", table?))
}

fn members_table(status: &Status) -> Option<String> {
    let header = ["NAME", "FAILURE DOMAIN", "STATE", "GENERATION"];
    let rows = status.members.iter().map(|member| {
        [
            member.name.clone(),
            member.failure_domain.clone(),
            member.state.to_string(),
            member.generation.to_string(),
        ]
    });
    table_unless_empty(header, rows)
}

fn drains_table(status: &Status) -> Option<String> {
    let rows = status.drains.iter().map(|drain| {
        let state = if drain.drained {
            "drained"
        } else {
            "in service"
        };
        [
            drain.kind.to_string(),
            drain.name.clone(),
            state.to_owned(),
            drain.revision.to_string(),
        ]
    });
    table_unless_empty(["KIND", "NAME", "STATE", "REVISION"], rows)
}

fn targets_table(status: &Status) -> Option<String> {
    let header = [
        "NAME",
        "SERVICE",
        "FAILURE DOMAIN",
        "STATE",
        "SLOTS",
        "IN FLIGHT",
    ];
    let rows = status.targets.iter().map(|target| {
        [
            target.name.clone(),
            target.service.clone(),
            target.failure_domain.clone(),
            target.state.to_string(),
            target.slots.to_string(),
            target.in_flight.to_string(),
        ]
    });
    table_unless_empty(header, rows)
}

fn limits_table(status: &Status) -> Option<String> {
    let rows = status.limits.iter().map(|limit| {
        [
            limit.path.clone(),
            limit.in_flight.to_string(),
            limit.limit.to_string(),
        ]
    });
    table_unless_empty(["PATH", "IN FLIGHT", "LIMIT"], rows)
}

fn table_unless_empty<const N: usize>(
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> Option<String> {
    let rows: Vec<[String; N]> = rows.collect();
    (!rows.is_empty()).then(|| format_table(header, &rows))
}
