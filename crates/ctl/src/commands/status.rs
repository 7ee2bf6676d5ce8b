//! `status`: what an instance knows about itself, its members and its targets.

use crate::instance::Instances;
use crate::options::CommandLine;
use crate::options::Outcome;
use crate::options::print_json;
use crate::options::print_text;
use crate::options::table;
use arbutus_wire::admin::Status;

const USAGE: &str = "status --instance ADDR [--instance ADDR ..] [--json]";
const SUMMARY: &str =
    "Shows the first instance that answers: its configuration generation, the members with
their states and generations, drains, targets, requests in progress and limits. What it
says about others is its own view, which lags behind.";

pub(super) fn run(arguments: &[String]) -> Outcome {
    let command_line = CommandLine::new(USAGE, SUMMARY)
        .with_instances()
        .with_json();
    let Some(arguments) = command_line.parse(arguments)? else {
        return Ok(());
    };
    let [] = arguments.positional([])?;
    let instances = Instances::new(arguments.instances()?);
    let status: Status = instances.get("/admin/status")?;
    if arguments.json() {
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
        section("members", members(status)),
        section("drains", drains(status)),
        section("targets", targets(status)),
        section("limits", limits(status)),
    ];
    parts.into_iter().flatten().collect::<Vec<_>>().join("\n\n")
}

fn section(name: &str, table: Option<String>) -> Option<String> {
    Some(format!("{name}\n{}", table?))
}

fn members(status: &Status) -> Option<String> {
    let header = ["NAME", "FAILURE DOMAIN", "STATE", "GENERATION"];
    let rows = status.members.iter().map(|member| {
        [
            member.name.clone(),
            member.failure_domain.clone(),
            member.state.to_string(),
            member.generation.to_string(),
        ]
    });
    rows_table(header, rows)
}

fn drains(status: &Status) -> Option<String> {
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
    rows_table(["KIND", "NAME", "STATE", "REVISION"], rows)
}

fn targets(status: &Status) -> Option<String> {
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
    rows_table(header, rows)
}

fn limits(status: &Status) -> Option<String> {
    let rows = status.limits.iter().map(|limit| {
        [
            limit.path.clone(),
            limit.in_flight.to_string(),
            limit.limit.to_string(),
        ]
    });
    rows_table(["PATH", "IN FLIGHT", "LIMIT"], rows)
}

fn rows_table<const N: usize>(
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> Option<String> {
    let rows: Vec<[String; N]> = rows.collect();
    (!rows.is_empty()).then(|| table(header, &rows))
}
