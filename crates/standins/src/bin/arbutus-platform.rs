//! Runs the stand-in for the platform as a process.

use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;

use getopts::Options;

use arbutus_standins::platform::Platform;

const USAGE: &str = "Usage: arbutus-platform --listen ADDRESS";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutus-platform: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen on", "ADDRESS");
    options.optflag("h", "help", "print this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Ok(());
    }
    let listen: SocketAddr = matches
        .opt_get("listen")?
        .ok_or("the option --listen is required")?;
    let platform = Platform::start(listen)?;
    println!("listening {}", platform.address());
    std::io::stdout().flush()?;
    loop {
        thread::park();
    }
}
