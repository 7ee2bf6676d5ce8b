//! `arbutusctl`, the command-line tool for operators.
//!
//! The exit status is 0 on success, 1 if a command was rejected or failed, and 2 for wrong usage.
//! Results are printed to standard output, errors and warnings to standard error.

mod command_error;
mod commands;
mod commit;
mod config_history;
mod instance_client;
mod options;
mod platform_client;

use std::env;
use std::process::ExitCode;

use crate::command_error::CommandError;
use crate::commands::Command;
use crate::options::CommandResult;
use crate::options::print_text;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let as_json = arguments.iter().any(|argument| argument == "--json");
            report_error(&error, as_json)
        }
    }
}

fn run(arguments: &[String]) -> CommandResult {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(CommandError::usage(format!(
            "no command is given\n\n{}",
            help()
        )));
    };
    if name == "--help" || name == "-h" || name == "help" {
        return print_text(&help());
    }
    let command: Command = name
        .parse()
        .map_err(|_error| CommandError::usage(format!("unknown command `{name}`\n\n{}", help())))?;
    command.run(rest)
}

fn report_error(error: &CommandError, as_json: bool) -> ExitCode {
    let code = match error {
        CommandError::Usage(_) => EXIT_USAGE,
        CommandError::Failed(_) | CommandError::FailedWithJson(_) => EXIT_FAILED,
    };
    if let (CommandError::FailedWithJson(report), true) = (error, as_json)
        && let Err(error) = options::print_json(&report.json)
    {
        eprintln!("arbutusctl: {error}");
    }
    eprintln!("arbutusctl: {error}");
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
