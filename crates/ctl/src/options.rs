//! Command-line options that commands share, parsing of their values, and output of results.

use std::io::Write;
use std::net::SocketAddr;
use std::net::ToSocketAddrs;

use getopts::Matches;
use getopts::Options;
use serde::Serialize;

use crate::command_error::CommandError;
use arbutus_coord::Millis;

/// The result of a command, which prints its output itself.
pub(crate) type CommandResult = Result<(), CommandError>;

/// The options and the help text of a command.
pub(crate) struct CommandLine {
    options: Options,
    usage: &'static str,
    summary: &'static str,
}

impl CommandLine {
    /// Creates a command line without options except `--help`. `usage` lists the arguments and
    /// `summary` describes the command.
    pub(crate) fn new(usage: &'static str, summary: &'static str) -> Self {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help and exit");
        Self {
            options,
            usage,
            summary,
        }
    }

    pub(crate) fn with_platform(mut self) -> Self {
        self.options.optopt(
            "",
            "platform",
            "address of the platform's object API",
            "ADDR",
        );
        self
    }

    pub(crate) fn with_instances(mut self) -> Self {
        self.options.optmulti(
            "",
            "instance",
            "HTTP address of an instance; several are tried in turn",
            "ADDR",
        );
        self
    }

    pub(crate) fn with_json(mut self) -> Self {
        self.options.optflag("", "json", "print JSON");
        self
    }

    /// Adds an option with a value. `hint` stands for the value in the help text.
    pub(crate) fn with_value(mut self, name: &str, help: &str, hint: &str) -> Self {
        self.options.optopt("", name, help, hint);
        self
    }

    pub(crate) fn with_flag(mut self, name: &str, help: &str) -> Self {
        self.options.optflag("", name, help);
        self
    }

    /// Parses the arguments. Prints the help and returns `None` if it is requested.
    pub(crate) fn parse(&self, arguments: &[String]) -> Result<Option<Arguments>, CommandError> {
        let help = |argument: &String| argument == "--help" || argument == "-h";
        if arguments.iter().any(help) {
            print_text(&self.help_text())?;
            return Ok(None);
        }
        let matches = self.options.parse(arguments)?;
        Ok(Some(Arguments { matches }))
    }

    fn help_text(&self) -> String {
        let brief = format!("Usage: arbutusctl {}\n\n{}", self.usage, self.summary);
        self.options.usage(&brief)
    }
}

/// The parsed arguments of one command.
pub(crate) struct Arguments {
    matches: Matches,
}

impl Arguments {
    pub(crate) fn wants_json(&self) -> bool {
        self.matches.opt_present("json")
    }

    pub(crate) fn has_flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    pub(crate) fn value(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    pub(crate) fn required(&self, name: &str) -> Result<String, CommandError> {
        self.value(name)
            .ok_or_else(|| CommandError::usage(format!("the option --{name} is required")))
    }

    pub(crate) fn number(&self, name: &str) -> Result<Option<u64>, CommandError> {
        let Some(text) = self.value(name) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|_error| {
            CommandError::usage(format!("--{name}: `{text}` is not a whole number"))
        })
    }

    /// Returns the value of an option in seconds, converted to milliseconds.
    pub(crate) fn duration_ms(&self, name: &str) -> Result<Option<Millis>, CommandError> {
        Ok(self
            .number(name)?
            .map(|seconds| Millis(1_000).times(seconds)))
    }

    pub(crate) fn platform_address(&self) -> Result<SocketAddr, CommandError> {
        parse_address("platform", &self.required("platform")?)
    }

    /// Returns the addresses of the options `--instance`, at least one.
    pub(crate) fn instance_addresses(&self) -> Result<Vec<SocketAddr>, CommandError> {
        let addresses = self.optional_instance_addresses()?;
        if addresses.is_empty() {
            return Err(CommandError::usage("the option --instance is required"));
        }
        Ok(addresses)
    }

    pub(crate) fn optional_instance_addresses(&self) -> Result<Vec<SocketAddr>, CommandError> {
        let values = self.matches.opt_strs("instance");
        values
            .iter()
            .map(|text| parse_address("instance", text))
            .collect()
    }

    /// Returns the positional arguments, exactly one for each of `names`. Error messages contain
    /// the names.
    pub(crate) fn positional<const N: usize>(
        &self,
        names: [&str; N],
    ) -> Result<[&str; N], CommandError> {
        let arguments: Vec<&str> = self.matches.free.iter().map(String::as_str).collect();
        if let Some(name) = names.get(arguments.len()) {
            return Err(CommandError::usage(format!(
                "the argument {name} is missing"
            )));
        }
        if let Some(extra) = arguments.get(N) {
            return Err(CommandError::usage(format!(
                "unexpected argument `{extra}`"
            )));
        }
        Ok(std::array::from_fn(|index| arguments[index]))
    }

    /// Returns all positional arguments, for commands that accept a variable number.
    pub(crate) fn all_positional(&self) -> &[String] {
        &self.matches.free
    }
}

fn parse_address(option: &str, text: &str) -> Result<SocketAddr, CommandError> {
    let resolved = text
        .to_socket_addrs()
        .map_err(|error| CommandError::usage(format!("--{option}: `{text}`: {error}")))?
        .next();
    resolved
        .ok_or_else(|| CommandError::usage(format!("--{option}: `{text}` resolves to no address")))
}

/// Prints text to standard output, followed by one line break.
pub(crate) fn print_text(text: &str) -> CommandResult {
    let mut output = std::io::stdout().lock();
    let text = text.strip_suffix('\n').unwrap_or(text);
    writeln!(output, "{text}")
        .and_then(|()| output.flush())
        .map_err(|error| CommandError::failed(format!("cannot write to standard output: {error}")))
}

/// Prints a value as JSON to standard output.
pub(crate) fn print_json(value: &impl Serialize) -> CommandResult {
    let text = serde_json::to_string_pretty(value).map_err(|error| {
        CommandError::failed(format!("cannot encode the output as JSON: {error}"))
    })?;
    print_text(&text)
}

/// Formats rows as a table whose columns are separated by two spaces.
pub(crate) fn format_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let line = |cells: [&str; N]| {
        let padded: Vec<String> = cells
            .into_iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(header)];
    lines.extend(
        rows.iter()
            .map(|row| line(std::array::from_fn(|index| row[index].as_str()))),
    );
    lines.join("\n")
}
