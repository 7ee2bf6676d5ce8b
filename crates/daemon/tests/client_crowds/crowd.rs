//! Clients that send legal and illegal requests in ways that cost an instance memory or
//! connections, and an instance with small limits.

use std::env;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use arbutus_coord::Millis;
use arbutus_platform::names;
use arbutus_policy::serving::model::ClientLimits;
use arbutus_standins::simulated_platform::SimulatedPlatform;
use arbutus_standins::simulated_platform::client::ClientRequest;
use arbutus_standins::simulated_platform::example;
use arbutus_standins::simulated_platform::instance::InstanceProcess;
use arbutus_standins::simulated_platform::instance::ResourceLimits;

/// Memory that the settings name, and the bound on the peak of the process.
const MEMORY_BYTES: u64 = 64 * 1_048_576;
/// Descriptors that the settings name, and the bound on the files that the process has open.
const FILE_DESCRIPTORS: u64 = 256;
/// Largest legal body. The bodies of 40 clients take two and a half times the memory.
pub const MAX_BODY_BYTES: usize = 4_194_304;
pub const CROWD_CLIENTS: usize = 40;
/// Paths with a route, without one, and of the readiness probe.
pub const PATHS: [&str; 3] = ["/unsafe/1", "/none/1", "/readyz"];
/// How long the crowd has for its bytes, and stays connected afterwards before the ordinary request.
const CROWD_TIME: Duration = Duration::from_millis(1_200);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// How long a client waits for a peer that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long ordinary requests are repeated until one is served. Other tests check durations.
const ORDINARY_TIME: Duration = Duration::from_secs(15);

static ONE_CASE: Mutex<()> = Mutex::new(());

/// A store, targets and one instance with small limits. Holds the lock that lets one case run at a
/// time, since a case measures the peak memory of a process.
pub struct CrowdedInstance {
    pub platform: SimulatedPlatform,
    pub instance: InstanceProcess,
    _one_case: MutexGuard<'static, ()>,
}

impl CrowdedInstance {
    pub fn start() -> Self {
        Self::start_with_route_timeout(None)
    }

    /// Starts with another timeout of all routes than that of the example.
    pub fn start_with_route_timeout(route_timeout_ms: Option<Millis>) -> Self {
        let one_case = ONE_CASE.lock().unwrap_or_else(PoisonError::into_inner);
        let platform = SimulatedPlatform::start(&example::TARGETS).expect("the targets start");
        let mut configuration = example::configuration(1);
        configuration.client_limits = ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: MAX_BODY_BYTES,
            header_timeout_ms: Millis(3_000),
            idle_timeout_ms: Millis(15_000),
        };
        for route in &mut configuration.routes {
            route.timeout_ms = route_timeout_ms.unwrap_or(route.timeout_ms);
        }
        let stored = platform.store.put_configuration(&configuration);
        stored.expect("the object can be encoded");
        // The cases can be played against another build of the program, such as a release build.
        let program = env::var_os("ARBUTUS_CROWD_PROGRAM").map_or_else(
            || PathBuf::from(env!("CARGO_BIN_EXE_arbutusd")),
            PathBuf::from,
        );
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let limits = ResourceLimits {
            memory_bytes: MEMORY_BYTES,
            file_descriptors: Some(FILE_DESCRIPTORS),
            rollout_limits: None,
        };
        let store = platform.store.address;
        let instance = InstanceProcess::start_with_limits(&program, &directory, store, "x", limits)
            .expect("the instance starts");
        instance.wait_until_ready().expect("the instance is ready");
        Self {
            platform,
            instance,
            _one_case: one_case,
        }
    }

    /// Plays the clients, and checks the instance while they stay connected. Returns the bounds that
    /// it exceeded, with the figures.
    pub fn withstand(
        mut self,
        name: &str,
        address: SocketAddrV4,
        clients: usize,
        play: fn(&mut Client),
        path: &'static str,
    ) -> Vec<String> {
        let is_over = Arc::new(AtomicBool::new(false));
        let crowd: Vec<_> = (0..clients)
            .map(|number| {
                let is_over = Arc::clone(&is_over);
                let client = thread::Builder::new().stack_size(256 * 1024);
                let client = client.spawn(move || {
                    if let Some(mut client) = Client::connect(address, number, path, &is_over) {
                        play(&mut client);
                        client.wait_until_over();
                    }
                });
                client.expect("the thread starts")
            })
            .collect();
        let mut open_files = self.sample_for(CROWD_TIME);
        let ordinary = self.call_until_served();
        open_files = open_files.max(self.sample_for(SAMPLE_INTERVAL));
        is_over.store(true, Ordering::Relaxed);
        for client in crowd {
            client.join().expect("the client does not panic");
        }
        let exit = self.instance.exit_success().expect("the state is known");
        assert_eq!(exit, None, "{name} {path}: the process ended");
        let usage = self.instance.usage().expect("the process lives");
        let peak_kb = usage.peak_resident_kb;
        println!("{name} {path}: peak {peak_kb} KB, {open_files} open files, served: {ordinary}");
        let files_bound = usize::try_from(FILE_DESCRIPTORS).expect("it is small");
        let checks = [
            (peak_kb <= MEMORY_BYTES / 1_024, format!("{peak_kb} KB")),
            (
                open_files <= files_bound,
                format!("{open_files} open files"),
            ),
            (ordinary, "no ordinary request is served".to_owned()),
        ];
        let violated = checks.into_iter().filter(|(holds, _)| !holds);
        violated
            .map(|(_, figure)| format!("{name} {path}: {figure}"))
            .collect()
    }

    /// Waits, and returns the largest number of open files meanwhile.
    fn sample_for(&self, duration: Duration) -> usize {
        let until = Instant::now() + duration;
        let mut most = 0;
        while Instant::now() < until {
            most = most.max(self.instance.open_file_count().unwrap_or(0));
            thread::sleep(SAMPLE_INTERVAL);
        }
        most
    }

    fn call_until_served(&self) -> bool {
        let until = Instant::now() + ORDINARY_TIME;
        let mut attempts = 0;
        while Instant::now() < until {
            attempts += 1;
            let request = ClientRequest::new("GET", "/safe/1", &format!("ordinary-{attempts}"));
            let response = request.call(self.instance.client_address());
            if response.is_ok_and(|response| response.status == 200) {
                return true;
            }
            thread::sleep(SAMPLE_INTERVAL);
        }
        false
    }
}

/// One client of a crowd.
pub struct Client<'a> {
    pub number: usize,
    pub path: &'static str,
    pub stream: TcpStream,
    is_over: &'a AtomicBool,
}

impl<'a> Client<'a> {
    pub fn connect(
        address: SocketAddrV4,
        number: usize,
        path: &'static str,
        is_over: &'a AtomicBool,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address.into(), WRITE_TIMEOUT).ok()?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
        stream.set_read_timeout(Some(WRITE_TIMEOUT)).ok()?;
        Some(Self {
            number,
            path,
            stream,
            is_over,
        })
    }

    /// Returns a head without its final empty line, with the fields of an ordinary request.
    pub fn head(&self, method: &str, fields: &str) -> String {
        let Self { path, number, .. } = self;
        let (id, key, deadline) = (names::REQUEST_ID, names::API_KEY, names::DEADLINE);
        format!(
            "{method} {path} HTTP/1.1\r\nhost: a.example\r\n{id}: crowd-{number}\r\n{key}: key\r\n\
             {deadline}: 20000\r\n{fields}"
        )
    }

    /// Writes until the instance closes the connection or does not read; tells whether all was
    /// written.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Writes zeros in pieces of a size.
    pub fn write_body(&mut self, bytes: usize, piece_bytes: usize) -> bool {
        let piece = vec![b'x'; piece_bytes.min(bytes)];
        let mut left = bytes;
        while left > 0 {
            let length = left.min(piece.len());
            if self.is_over() || !self.write(&piece[..length]) {
                return false;
            }
            left -= length;
        }
        true
    }

    /// Writes chunks of 1,000 bytes without the last chunk.
    pub fn write_chunks(&mut self, bytes: usize) -> bool {
        let chunk = [b"3e8\r\n".as_slice(), &[b'x'; 1_000], b"\r\n"].concat();
        (0..bytes / 1_000).all(|_| !self.is_over() && self.write(&chunk))
    }

    /// Reads up to a number of bytes.
    pub fn read(&mut self, bytes: usize) {
        let mut buffer = vec![0; bytes];
        let _ended = self.stream.read(&mut buffer);
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn wait_until_over(&self) {
        while !self.is_over() {
            thread::sleep(SAMPLE_INTERVAL);
        }
    }
}
