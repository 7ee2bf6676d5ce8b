//! The summary as a text table.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use crate::loadgen::caller::Outcome;
use crate::report::group::Group;
use crate::report::summary::DeploymentSummary;
use crate::report::summary::Summary;

/// Displays a summary as text.
#[derive(Clone, Copy, Debug)]
pub struct TextReport<'a>(pub &'a Summary);

impl Display for TextReport<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let summary = self.0;
        writeln!(
            f,
            "scenario {}, seed {}, {} s of arrivals, the first {} s left out, generator lag {:.1} ms",
            summary.scenario,
            summary.seed,
            summary.duration_s,
            summary.warmup_s,
            summary.generator_lag_ms
        )?;
        for deployment in &summary.deployments {
            writeln!(f)?;
            write_deployment(f, deployment)?;
        }
        if let (Some(ratios), [first, second]) = (&summary.ratios, summary.deployments.as_slice()) {
            writeln!(f)?;
            writeln!(f, "ratios {} / {}", second.label, first.label)?;
            writeln!(f, "  attainment       {:.3}", ratios.attainment)?;
            writeln!(f, "  goodput          {:.3}", ratios.goodput)?;
            writeln!(f, "  latency p95      {:.3}", ratios.latency_p95)?;
            writeln!(f, "  first token p95  {:.3}", ratios.first_token_p95)?;
            writeln!(f, "  cost per answer  {:.3}", ratios.cost)?;
            writeln!(f, "  interrupted      {:.3}", ratios.interrupted)?;
        }
        writeln!(f)?;
        writeln!(f, "violations: {}", summary.violations())
    }
}

fn write_deployment(f: &mut Formatter<'_>, deployment: &DeploymentSummary) -> fmt::Result {
    writeln!(
        f,
        "deployment {}: goodput {:.1}/s, {:.1} ms of target time per whole answer",
        deployment.label,
        deployment.goodput_per_s,
        deployment.cost_per_answer_ms()
    )?;
    write_header(f)?;
    write_group(f, "all", &deployment.all)?;
    for (name, group) in &deployment.classes {
        write_group(f, &format!("class {name}"), group)?;
    }
    for (name, group) in &deployment.organisations {
        write_group(f, &format!("org {name}"), group)?;
    }
    for (name, group) in &deployment.pipelines {
        write_group(f, &format!("pipeline {name}"), group)?;
    }
    for window in &deployment.domain_changes {
        let (domain, from_s, to_s) = (&window.failure_domain, window.from_s, window.to_s);
        write_group(
            f,
            &format!("{domain} away {from_s}-{to_s} s"),
            &window.requests,
        )?;
    }
    if !deployment.domain_changes.is_empty() {
        write_group(f, "undisturbed", &deployment.undisturbed)?;
    }
    write_costs(f, deployment)?;
    write_bookings(f, deployment)?;
    for done in &deployment.events {
        let action = done.event.action.describe();
        let outcome = done.error.as_deref().unwrap_or("done");
        writeln!(f, "event at {} s: {action}: {outcome}", done.event.at_s)?;
    }
    for (description, count) in &deployment.errors {
        writeln!(f, "{count:>7} x {description}")?;
    }
    Ok(())
}

fn write_header(f: &mut Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "{:<28} {:>6} {:>7} {:>5} {:>7} {:>5} {:>5} {:>5} {:>5} {:>6} {:>6} {:>17} {:>17} {:>17}",
        "",
        "reqs",
        "attain",
        "late",
        "not run",
        "retry",
        "unkn",
        "error",
        "trunc",
        "wrong",
        "stalls",
        "latency p50/p95",
        "1st token p50/p95",
        "token gap p95/max",
    )
}

fn write_group(f: &mut Formatter<'_>, name: &str, group: &Group) -> fmt::Result {
    let pair = |first: f64, second: f64| format!("{first:.1}/{second:.1} ms");
    let errors =
        group.count(Outcome::Error) + group.count(Outcome::Unsent) + group.count(Outcome::Overflow);
    writeln!(
        f,
        "{:<28} {:>6} {:>6.2}% {:>5} {:>7} {:>5} {:>5} {:>5} {:>5} {:>6} {:>6} {:>17} {:>17} {:>17}",
        name,
        group.requests,
        group.attainment * 100.0,
        group.count(Outcome::Late),
        group.count(Outcome::NotRun),
        group.not_run_with_retry_after,
        group.count(Outcome::Unknown),
        errors,
        group.count(Outcome::Truncated),
        group.count(Outcome::Wrong),
        group.stalls,
        pair(group.latency.p50_ms, group.latency.p95_ms),
        pair(group.first_token.p50_ms, group.first_token.p95_ms),
        pair(group.token_gap.p95_ms, group.token_gap.max_ms),
    )
}

fn write_costs(f: &mut Formatter<'_>, deployment: &DeploymentSummary) -> fmt::Result {
    for (service, cost) in &deployment.costs {
        writeln!(
            f,
            "cost {service:<16} calls {:>6}, whole {:>6}, cold failures {}, refused {}, \
             spent {} ms, wasted {} ms, unreachable targets {}",
            cost.calls,
            cost.completed,
            cost.cold_failures,
            cost.refused,
            cost.spent_ms,
            cost.wasted_ms,
            cost.unreachable,
        )?;
    }
    Ok(())
}

fn write_bookings(f: &mut Formatter<'_>, deployment: &DeploymentSummary) -> fmt::Result {
    let Some(bookings) = &deployment.bookings else {
        return writeln!(
            f,
            "bookings: not compared, because no platform address was given"
        );
    };
    writeln!(
        f,
        "bookings {}: run 0/1/2+ times {}/{}/{}; told settled {}, not run {}, unknown {} ({} \
         executed)",
        bookings.bookings,
        bookings.runs_0,
        bookings.runs_1,
        bookings.runs_2_or_more,
        bookings.told_settled,
        bookings.told_not_run,
        bookings.told_unknown,
        bookings.unknown_and_executed,
    )?;
    writeln!(
        f,
        "  violations: run twice {}, `not run` but executed {}, settled but not executed {}, \
         different answers {}; examples: {}",
        bookings.runs_2_or_more,
        bookings.not_run_but_executed,
        bookings.settled_but_not_executed,
        bookings.different_answers,
        bookings.examples.join(" "),
    )?;
    if !bookings.unreachable.is_empty() {
        let names = bookings.unreachable.join(" ");
        writeln!(f, "  executions of these targets are not known: {names}")?;
    }
    Ok(())
}
