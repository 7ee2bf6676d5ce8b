//! Command lines: options that several commands share, and their values.

use std::io::Write;
use std::net::SocketAddr;
use std::net::ToSocketAddrs;

use getopts::Matches;
use getopts::Options;
use serde::Serialize;

use crate::failure::Failure;
use arbutus_coord::Millis;

/// The result of a command that did not fail.
pub(crate) type Outcome = Result<(), Failure>;

/// The command line of one command.
pub(crate) struct CommandLine {
    options: Options,
    usage: &'static str,
    summary: &'static str,
}

impl CommandLine {
    /// Creates a command line; `usage` shows the arguments, `summary` explains the command.
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

    pub(crate) fn with_value(mut self, name: &str, help: &str, hint: &str) -> Self {
        self.options.optopt("", name, help, hint);
        self
    }

    pub(crate) fn with_flag(mut self, name: &str, help: &str) -> Self {
        self.options.optflag("", name, help);
        self
    }

    /// Parses the arguments, or prints the help and returns `None`.
    pub(crate) fn parse(&self, arguments: &[String]) -> Result<Option<Arguments>, Failure> {
        let help = |argument: &String| argument == "--help" || argument == "-h";
        if arguments.iter().any(help) {
            print_text(&self.help())?;
            return Ok(None);
        }
        let matches = self.options.parse(arguments)?;
        Ok(Some(Arguments { matches }))
    }

    fn help(&self) -> String {
        let brief = format!("Usage: arbutusctl {}\n\n{}", self.usage, self.summary);
        self.options.usage(&brief)
    }
}

/// The parsed arguments of one command.
pub(crate) struct Arguments {
    matches: Matches,
}

impl Arguments {
    pub(crate) fn json(&self) -> bool {
        self.matches.opt_present("json")
    }

    pub(crate) fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    pub(crate) fn value(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    pub(crate) fn required(&self, name: &str) -> Result<String, Failure> {
        self.value(name)
            .ok_or_else(|| Failure::usage(format!("the option --{name} is required")))
    }

    pub(crate) fn number(&self, name: &str) -> Result<Option<u64>, Failure> {
        let Some(text) = self.value(name) else {
            return Ok(None);
        };
        text.parse()
            .map(Some)
            .map_err(|_error| Failure::usage(format!("--{name}: `{text}` is not a whole number")))
    }

    pub(crate) fn seconds(&self, name: &str) -> Result<Option<Millis>, Failure> {
        Ok(self
            .number(name)?
            .map(|seconds| Millis(1_000).times(seconds)))
    }

    pub(crate) fn platform(&self) -> Result<SocketAddr, Failure> {
        address("platform", &self.required("platform")?)
    }

    /// Returns the addresses of the option `--instance`, of which there is at least one.
    pub(crate) fn instances(&self) -> Result<Vec<SocketAddr>, Failure> {
        let addresses = self.optional_instances()?;
        if addresses.is_empty() {
            return Err(Failure::usage("the option --instance is required"));
        }
        Ok(addresses)
    }

    pub(crate) fn optional_instances(&self) -> Result<Vec<SocketAddr>, Failure> {
        let texts = self.matches.opt_strs("instance");
        texts.iter().map(|text| address("instance", text)).collect()
    }

    /// Returns exactly the named positional arguments.
    pub(crate) fn positional<const N: usize>(
        &self,
        names: [&str; N],
    ) -> Result<[&str; N], Failure> {
        let found: Vec<&str> = self.matches.free.iter().map(String::as_str).collect();
        if let Some(name) = names.get(found.len()) {
            return Err(Failure::usage(format!("the argument {name} is missing")));
        }
        if let Some(extra) = found.get(N) {
            return Err(Failure::usage(format!("unexpected argument `{extra}`")));
        }
        Ok(std::array::from_fn(|index| found[index]))
    }

    pub(crate) fn free(&self) -> &[String] {
        &self.matches.free
    }
}

fn address(option: &str, text: &str) -> Result<SocketAddr, Failure> {
    let resolved = text
        .to_socket_addrs()
        .map_err(|error| Failure::usage(format!("--{option}: `{text}`: {error}")))?
        .next();
    resolved.ok_or_else(|| Failure::usage(format!("--{option}: `{text}` has no address")))
}

/// Prints text on standard output, with a line break at the end.
pub(crate) fn print_text(text: &str) -> Outcome {
    let mut output = std::io::stdout().lock();
    let text = text.strip_suffix('\n').unwrap_or(text);
    writeln!(output, "{text}")
        .and_then(|()| output.flush())
        .map_err(|error| Failure::refused(format!("cannot write to standard output: {error}")))
}

/// Prints a value as JSON on standard output.
pub(crate) fn print_json(value: &impl Serialize) -> Outcome {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::refused(format!("cannot render the answer: {error}")))?;
    print_text(&text)
}

/// Arranges rows in columns, separated by two spaces.
pub(crate) fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
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
