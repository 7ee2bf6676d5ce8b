//! Claims a request, executes it once and answers a client retry with the stored response.
//!
//! A value in memory takes the place of the platform's object store.
//!
//! Run it with `cargo run -p arbutus-coord --example claims`.

use arbutus_coord::Clock;
use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::Claim;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::ClaimKey;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::Fingerprint;
use arbutus_coord::claim::Holder;
use arbutus_coord::claim::Input;
use arbutus_coord::claim::Output;
use arbutus_coord::claim::Shard;
use arbutus_coord::claim::ShardWriter;
use arbutus_coord::claim::StoredResponse;
use arbutus_coord::claim::command::Proposal;
use arbutus_coord::claim::holder::DISPATCH_WINDOW_MS;
use arbutus_coord::claim::holder::ProposalResult;
use arbutus_coord::claim::holder::Proposed;
use arbutus_coord::claim::writer::CommandId;
use arbutus_coord::claim::writer::ReadResult;
use arbutus_coord::claim::writer::WriteResult;
use arbutus_coord::claim::writer::WriterSettings;

/// A shard writer with its shard object in memory, and the loop that performs the writer's outputs.
struct InMemoryShard {
    clock: Clock,
    writer: ShardWriter,
    object: Option<(u64, Shard)>,
    next_command_id: u64,
}

impl InMemoryShard {
    fn commit(&mut self, command: ClaimCommand) -> ClaimReply {
        let command_id = CommandId(self.next_command_id);
        self.next_command_id += 1;
        let mut input = Input::Command {
            command_id,
            command,
            wall_ms: Clock::unix_time(),
        };
        loop {
            let mut next = Input::Tick;
            for output in self.writer.handle(self.clock.now(), input) {
                match output {
                    Output::Read { operation } => {
                        let result = self.read();
                        next = Input::Read { operation, result };
                    }
                    Output::Write {
                        operation,
                        expected,
                        shard,
                    } => {
                        let result = self.write(expected, shard);
                        next = Input::Write { operation, result };
                    }
                    Output::Reply { reply, .. } => return reply,
                    // The writer has no segment prefix, so it does not archive claims.
                    Output::ReadSegment { .. }
                    | Output::WriteSegment { .. }
                    | Output::DeleteSegment { .. } => {}
                }
            }
            input = next;
        }
    }

    fn read(&self) -> ReadResult {
        match self.object.clone() {
            Some((version, shard)) => ReadResult::Found { version, shard },
            None => ReadResult::Absent,
        }
    }

    fn write(&mut self, expected: Option<u64>, shard: Shard) -> WriteResult {
        let current = self.object.as_ref().map(|(version, _)| *version);
        if current != expected {
            return WriteResult::Conflict;
        }
        let version = current.unwrap_or(0) + 1;
        self.object = Some((version, shard));
        WriteResult::Written { version }
    }
}

/// Executes a booking at most once for its idempotency key, and returns the response for the
/// client.
fn book(store: &mut InMemoryShard, attempt: &str, body: &str) -> Result<StoredResponse, String> {
    let proposal = Proposal {
        key: ClaimKey::new("sato-ya", "booking", "8c1f-2"),
        fingerprint: Fingerprint::of(body.as_bytes()),
        attempt: AttemptId::from_text(attempt),
        holder: Holder {
            instance: "arita-0".to_owned(),
            boot_id: 1,
        },
        wall_ms: Clock::unix_time(),
    };
    let claim = Claim::<Proposed>::new(store.clock.now(), proposal, DISPATCH_WINDOW_MS);
    let reply = store.commit(claim.command());
    match claim.resolve(store.clock.now(), reply) {
        ProposalResult::Confirmed(claim) => match claim.dispatch(store.clock.now()) {
            Ok(claim) => {
                println!("{attempt}: the service books {body}");
                let response = StoredResponse {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: Some(format!("booked {body}")),
                };
                let finalizing = claim.settle(response.clone(), Clock::unix_time());
                // A real holder retries the command until it is decided; see `RetryQueue`.
                store.commit(finalizing.command().clone());
                Ok(response)
            }
            Err(finalizing) => {
                store.commit(finalizing.command().clone());
                Err("not executed: the dispatch window has passed".to_owned())
            }
        },
        ProposalResult::Settled { response, .. } => Ok(response),
        ProposalResult::Conflict(_) => {
            Err("not executed: the idempotency key was used with another body".to_owned())
        }
        other => Err(format!("{other:?}")),
    }
}

fn main() {
    let mut store = InMemoryShard {
        clock: Clock::new(),
        writer: ShardWriter::new(0, 1, WriterSettings::default()),
        object: None,
        next_command_id: 0,
    };
    for (attempt, body) in [
        ("first", "kiln 3"),
        ("retry", "kiln 3"),
        ("other body", "kiln 4"),
    ] {
        match book(&mut store, attempt, body) {
            Ok(response) => println!("{attempt}: {}", response.body.unwrap_or_default()),
            Err(reason) => println!("{attempt}: {reason}"),
        }
    }
}
