//! The summary of a run as a text table.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use crate::loadgen::checked_request::Outcome;
use crate::report::request_stats::RequestStats;
use crate::report::summary::DeploymentSummary;
use crate::report::summary::Summary;

/// Formats a summary as text.
#[derive(Clone, Copy, Debug)]
pub struct TextReport<'a>(pub &'a Summary);

impl Display for TextReport<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let summary = self.0;
        writeln!(
            f,
            "scenario {}, seed {}, {} s of arrivals, the first {} s omitted, generator lag {:.1} ms",
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
            writeln!(f, "  attainment         {:.3}", ratios.attainment)?;
            writeln!(f, "  goodput            {:.3}", ratios.goodput)?;
            writeln!(f, "  latency p95        {:.3}", ratios.latency_p95)?;
            writeln!(f, "  first token p95    {:.3}", ratios.first_token_p95)?;
            writeln!(f, "  cost per response  {:.3}", ratios.cost)?;
            writeln!(f, "  interrupted        {:.3}", ratios.interrupted)?;
        }
        writeln!(f)?;
        writeln!(f, "violations: {}", summary.violations())
    }
}

fn write_deployment(f: &mut Formatter<'_>, deployment: &DeploymentSummary) -> fmt::Result {
    writeln!(
        f,
        "deployment {}: goodput {:.1}/s, {:.1} ms of target time per complete response",
        deployment.label,
        deployment.goodput_per_s,
        deployment.cost_per_response_ms()
    )?;
    write_header(f)?;
    write_stats(f, "all", &deployment.all)?;
    for (name, stats) in &deployment.classes {
        write_stats(f, &format!("class {name}"), stats)?;
    }
    for (name, stats) in &deployment.organisations {
        write_stats(f, &format!("org {name}"), stats)?;
    }
    for (name, stats) in &deployment.pipelines {
        write_stats(f, &format!("pipeline {name}"), stats)?;
    }
    for period in &deployment.disturbed_periods {
        let (domain, from_s, to_s) = (&period.failure_domain, period.from_s, period.to_s);
        write_stats(
            f,
            &format!("{domain} disturbed {from_s}-{to_s} s"),
            &period.requests,
        )?;
    }
    if !deployment.disturbed_periods.is_empty() {
        write_stats(f, "undisturbed", &deployment.undisturbed)?;
    }
    write_costs(f, deployment)?;
    write_bookings(f, deployment)?;
    for result in &deployment.events {
        let action = result.event.action.describe();
        let outcome = result.error.as_deref().unwrap_or("done");
        writeln!(f, "event at {} s: {action}: {outcome}", result.event.at_s)?;
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

fn write_stats(f: &mut Formatter<'_>, name: &str, stats: &RequestStats) -> fmt::Result {
    let pair = |first: f64, second: f64| format!("{first:.1}/{second:.1} ms");
    let errors = stats.count(Outcome::Error)
        + stats.count(Outcome::Unsent)
        + stats.count(Outcome::NotStarted);
    writeln!(
        f,
        "{:<28} {:>6} {:>6.2}% {:>5} {:>7} {:>5} {:>5} {:>5} {:>5} {:>6} {:>6} {:>17} {:>17} {:>17}",
        name,
        stats.requests,
        stats.attainment * 100.0,
        stats.count(Outcome::Late),
        stats.count(Outcome::NotExecuted),
        stats.not_executed_with_retry_after,
        stats.count(Outcome::Unknown),
        errors,
        stats.count(Outcome::Truncated),
        stats.count(Outcome::WrongResponse),
        stats.stalls,
        pair(stats.latency.p50_ms, stats.latency.p95_ms),
        pair(stats.first_token.p50_ms, stats.first_token.p95_ms),
        pair(stats.token_gap.p95_ms, stats.token_gap.max_ms),
    )
}

fn write_costs(f: &mut Formatter<'_>, deployment: &DeploymentSummary) -> fmt::Result {
    for (service, cost) in &deployment.costs {
        writeln!(
            f,
            "cost {service:<16} calls {:>6}, completed {:>6}, cold failures {}, refused {}, \
             spent {} ms, wasted {} ms, unreachable targets {}",
            cost.calls,
            cost.completed,
            cost.cold_failures,
            cost.refused,
            cost.spent_ms,
            cost.wasted_ms,
            cost.unreachable_targets,
        )?;
    }
    Ok(())
}

fn write_bookings(f: &mut Formatter<'_>, deployment: &DeploymentSummary) -> fmt::Result {
    let Some(bookings) = &deployment.bookings else {
        return writeln!(
            f,
            "bookings: not compared, because no list of the targets was available"
        );
    };
    writeln!(
        f,
        "bookings {}: executed 0/1/2+ times {}/{}/{}; reported settled {}, not executed {}, \
         unknown {} ({} executed)",
        bookings.bookings,
        bookings.never_executed,
        bookings.executed_once,
        bookings.executed_repeatedly,
        bookings.reported_settled,
        bookings.reported_not_executed,
        bookings.reported_unknown,
        bookings.executed_but_reported_unknown,
    )?;
    writeln!(
        f,
        "  violations: executed repeatedly {}, reported not executed but executed {}, settled but \
         not executed {}, different responses {}; examples: {}",
        bookings.executed_repeatedly,
        bookings.executed_but_reported_not_executed,
        bookings.reported_settled_but_not_executed,
        bookings.different_responses,
        bookings.examples.join(" "),
    )?;
    if !bookings.unreachable_targets.is_empty() {
        let names = bookings.unreachable_targets.join(" ");
        writeln!(
            f,
            "  executions of these targets could not be read: {names}"
        )?;
    }
    Ok(())
}
