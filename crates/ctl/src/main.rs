//! `arbutusctl`, the operators' command-line tool.
//!
//! Exit status: 0 on success, 1 when something was refused or failed, 2 for wrong usage. Data
//! goes to standard output, everything else to standard error.

mod archive;
mod commands;
mod commit;
mod failure;
mod instance;
mod options;
mod platform;

use std::env;
use std::process::ExitCode;

use crate::commands::Command;
use crate::failure::Failure;
use crate::options::Outcome;
use crate::options::print_text;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let json = arguments.iter().any(|argument| argument == "--json");
            report(&failure, json)
        }
    }
}

fn run(arguments: &[String]) -> Outcome {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(Failure::usage(format!("no command is given\n\n{}", help())));
    };
    if name == "--help" || name == "-h" || name == "help" {
        return print_text(&help());
    }
    let command: Command = name
        .parse()
        .map_err(|_error| Failure::usage(format!("unknown command `{name}`\n\n{}", help())))?;
    command.run(rest)
}

fn report(failure: &Failure, json: bool) -> ExitCode {
    let code = match failure {
        Failure::Usage(_) => EXIT_USAGE,
        Failure::Refused(_) | Failure::Reported(_) => EXIT_FAILED,
    };
    if let (Failure::Reported(report), true) = (failure, json)
        && let Err(error) = options::print_json(&report.json)
    {
        eprintln!("arbutusctl: {error}");
    }
    eprintln!("arbutusctl: {failure}");
    ExitCode::from(code)
}

fn help() -> String {
    let commands: Vec<String> = Command::all()
        .map(|command| format!("    {:<10}{}", command.to_string(), command.summary()))
        .collect();
    format!(
        "Usage: arbutusctl COMMAND [OPTIONS]\n\nCommands:\n{}\n\n\
         `arbutusctl COMMAND --help` explains a command.\n\
         Exit status: 0 success, 1 refused or failed, 2 wrong usage.",
        commands.join("\n")
    )
}
