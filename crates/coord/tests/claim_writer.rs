//! Tests that a shard writer decides commands only by versions that the platform returned and never
//! by stale content, that commands keep the invariants of a shard, and that the retry queue loses no
//! command.

use arbutus_coord::Millis;
use arbutus_coord::claim::AttemptId;
use arbutus_coord::claim::Claim;
use arbutus_coord::claim::ClaimCommand;
use arbutus_coord::claim::ClaimKey;
use arbutus_coord::claim::ClaimReply;
use arbutus_coord::claim::ClaimResult;
use arbutus_coord::claim::Fingerprint;
use arbutus_coord::claim::Holder;
use arbutus_coord::claim::Input;
use arbutus_coord::claim::Output;
use arbutus_coord::claim::RetryQueue;
use arbutus_coord::claim::Segment;
use arbutus_coord::claim::Shard;
use arbutus_coord::claim::ShardWriter;
use arbutus_coord::claim::StoredResponse;
use arbutus_coord::claim::command::Proposal;
use arbutus_coord::claim::holder::FinalizeResult;
use arbutus_coord::claim::holder::Proposed;
use arbutus_coord::claim::record::UnknownReason;
use arbutus_coord::claim::shard::NEW_CLAIM_LIMIT_BYTES;
use arbutus_coord::claim::writer::CommandId;
use arbutus_coord::claim::writer::OperationId;
use arbutus_coord::claim::writer::ReadResult;
use arbutus_coord::claim::writer::WriteResult;
use arbutus_coord::claim::writer::WriterSettings;

fn proposal(key: &str, attempt: &str) -> Proposal {
    Proposal {
        key: ClaimKey::new("kiln/\"1\"", "order-desk", key),
        fingerprint: Fingerprint::of(key.as_bytes()),
        attempt: AttemptId::from_text(attempt),
        holder: Holder {
            instance: "a".to_owned(),
            boot_id: u64::MAX,
        },
        wall_ms: Millis(u64::MAX / 2),
    }
}

fn response(body: &str) -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "application/json".to_owned(),
        body: Some(body.to_owned()),
    }
}

fn settle(proposal: &Proposal, body: &str) -> ClaimCommand {
    ClaimCommand::Settle {
        key: proposal.key.clone(),
        attempt: proposal.attempt.clone(),
        response: response(body),
        wall_ms: Millis(7),
    }
}

struct Harness {
    writer: ShardWriter,
    operations: u64,
}

impl Harness {
    fn new() -> Self {
        Self {
            writer: ShardWriter::new(0, 1, WriterSettings::default()),
            operations: 0,
        }
    }

    fn submit(&mut self, now: u64, command_id: u64, command: ClaimCommand) -> Vec<Output> {
        let input = Input::Command {
            command_id: CommandId(command_id),
            command,
            wall_ms: Millis(7),
        };
        self.writer.handle(Millis(now), input)
    }

    fn tick(&mut self, now: u64) -> Vec<Output> {
        self.writer.handle(Millis(now), Input::Tick)
    }

    fn read(&mut self, now: u64, result: ReadResult) -> Vec<Output> {
        let operation = self.next_operation();
        self.writer
            .handle(Millis(now), Input::Read { operation, result })
    }

    fn write(&mut self, now: u64, result: WriteResult) -> Vec<Output> {
        let operation = self.next_operation();
        self.writer
            .handle(Millis(now), Input::Write { operation, result })
    }

    fn next_operation(&mut self) -> OperationId {
        self.operations += 1;
        OperationId(self.operations - 1)
    }
}

fn written(outputs: &[Output]) -> Shard {
    let [Output::Write { shard, .. }] = outputs else {
        panic!("expected one write: {outputs:?}");
    };
    shard.clone()
}

fn replies(outputs: &[Output]) -> Vec<(u64, ClaimReply)> {
    let reply = |output: &Output| match output {
        Output::Reply { command_id, reply } => Some((command_id.0, reply.clone())),
        _ => None,
    };
    outputs.iter().filter_map(reply).collect()
}

/// A lost response does not prove that the write failed or that it took effect.
#[test]
fn write_without_response_is_confirmed_only_by_a_read() {
    let mut harness = Harness::new();
    harness.submit(0, 1, ClaimCommand::Propose(proposal("k", "a1")));
    harness.tick(5);
    let shard = written(&harness.read(6, ReadResult::Absent));
    let outputs = harness.write(7, WriteResult::Lost);
    assert!(matches!(outputs[..], [Output::Read { .. }]), "{outputs:?}");
    let outputs = harness.read(8, ReadResult::Found { version: 1, shard });
    let claimed = ClaimReply::Decided(ClaimResult::Claimed);
    assert_eq!(replies(&outputs), [(1, claimed)]);
}

/// A read that started before a command arrived may lack a claim that was committed in between, so
/// the command would wrongly be answered with `NotHolder`.
#[test]
fn read_decides_only_commands_that_arrived_before_it() {
    let mut harness = Harness::new();
    let claim = proposal("k", "a1");
    harness.submit(0, 1, settle(&claim, "{}"));
    harness.tick(5);
    // The platform has already processed the read. Another writer may commit the claim before the
    // second command arrives, so the result of the read must not decide that command.
    harness.submit(6, 2, settle(&claim, "{}"));
    let outputs = harness.read(7, ReadResult::Absent);
    let refused = ClaimReply::Decided(ClaimResult::NotHolder);
    assert_eq!(replies(&outputs), [(1, refused)]);
}

/// A holder that is told that its proposal had no effect does not release it. The claim would stay
/// if the proposal took effect after all.
#[test]
fn outage_is_reported_with_whether_the_command_may_have_taken_effect() {
    let mut harness = Harness::new();
    harness.submit(0, 1, ClaimCommand::Propose(proposal("k", "a1")));
    harness.tick(5);
    harness.read(6, ReadResult::Absent);
    harness.submit(7, 2, ClaimCommand::Propose(proposal("l", "a2")));
    harness.write(8, WriteResult::Lost);
    harness.read(9, ReadResult::Failed);
    let unavailable = |may_have_landed| ClaimReply::Unavailable { may_have_landed };
    assert_eq!(replies(&harness.tick(1_000)), [(1, unavailable(true))]);
    assert_eq!(replies(&harness.tick(1_007)), [(2, unavailable(false))]);
}

/// Two writers must not both report a claim of the same key.
#[test]
fn conflict_applies_the_commands_to_the_newer_content() {
    let mut harness = Harness::new();
    harness.submit(0, 1, ClaimCommand::Propose(proposal("k", "a1")));
    harness.tick(5);
    harness.read(6, ReadResult::Absent);
    harness.write(7, WriteResult::Conflict);
    let mut newer = Shard::new(0, 1);
    newer.apply(&ClaimCommand::Propose(proposal("k", "b1")));
    let outputs = harness.read(
        8,
        ReadResult::Found {
            version: 3,
            shard: newer,
        },
    );
    let [(1, ClaimReply::Decided(ClaimResult::Running { attempt, .. }))] = &*replies(&outputs)
    else {
        panic!("expected that the other attempt holds the claim: {outputs:?}");
    };
    assert_eq!(attempt.as_str(), "b1");
}

/// The outcome that an operator recorded must not change, since clients may have received it. Until
/// then, the response of a holder that was wrongly considered dead is the correct outcome.
#[test]
fn operator_outcome_is_final_but_a_holder_wrongly_considered_dead_may_settle_before() {
    let mut shard = Shard::new(0, 1);
    for (key, settled_by_operator) in [("k", false), ("l", true)] {
        let claim = proposal(key, key);
        shard.apply(&ClaimCommand::Propose(claim.clone()));
        shard.apply(&ClaimCommand::MarkUnknown {
            key: claim.key.clone(),
            attempt: claim.attempt.clone(),
            reason: UnknownReason::HolderDead,
            wall_ms: Millis(1),
        });
        let client_retry = ClaimCommand::Propose(proposal(key, "retry"));
        assert!(matches!(
            shard.apply(&client_retry),
            ClaimResult::Unknown { .. }
        ));
        let by_operator = ClaimCommand::OperatorSettle {
            key: claim.key.clone(),
            attempt: claim.attempt.clone(),
            response: response("operator"),
            note: "seen in the ledger".to_owned(),
            wall_ms: Millis(2),
        };
        if settled_by_operator {
            assert_eq!(shard.apply(&by_operator), ClaimResult::Recorded);
            assert_eq!(shard.apply(&by_operator), ClaimResult::Recorded);
        }
        let late_result = shard.apply(&settle(&claim, "holder"));
        assert_eq!(
            late_result == ClaimResult::Recorded,
            !settled_by_operator,
            "{late_result:?}"
        );
        assert!(matches!(
            shard.apply(&client_retry),
            ClaimResult::Settled { .. }
        ));
    }
}

/// Without the reserved space, a shard full of claims could not store the responses of its running
/// requests.
#[test]
fn full_shard_refuses_claims_and_keeps_space_for_responses() {
    let mut shard = Shard::new(0, 1);
    let body = "\u{1}\"".repeat(500);
    let mut accepted = Vec::new();
    for number in 0..2_000 {
        let claim = proposal(&format!("{number}"), &format!("a{number}"));
        if shard.apply(&ClaimCommand::Propose(claim.clone())) == ClaimResult::Full {
            break;
        }
        accepted.push(claim);
    }
    for claim in &accepted {
        let recorded = shard.apply(&settle(claim, &body));
        assert_eq!(recorded, ClaimResult::Recorded);
    }
    let json = serde_json::to_string(&shard).expect("a shard is serializable");
    assert!(accepted.len() > 100 && accepted.len() < 2_000);
    assert!(
        json.len() <= shard.size_bytes(),
        "the estimated size is an upper bound"
    );
    assert!(shard.size_bytes() <= NEW_CLAIM_LIMIT_BYTES);
    let parsed: Shard = serde_json::from_str(&json).expect("the content is valid");
    assert_eq!(parsed, shard);
    let deleted = shard.expire(Millis(86_400_009), Millis(86_400_000), Millis(1));
    assert_eq!(deleted.claims, accepted.len(), "the retention has passed");
}

#[test]
fn retry_queue_retries_until_decided_and_tolerates_a_stale_read() {
    let mut retry_queue = RetryQueue::new();
    let attempt = AttemptId::from_text("a1");
    let claim = Claim::<Proposed>::new(Millis(0), proposal("k", "a1"), Millis(1));
    retry_queue.push(Millis(0), claim.abandon());
    assert_eq!(retry_queue.poll_due(Millis(0)).len(), 1);
    assert!(
        retry_queue.poll_due(Millis(1)).is_empty(),
        "the next retry is later"
    );
    for reply in [
        ClaimReply::Unavailable {
            may_have_landed: false,
        },
        ClaimReply::Decided(ClaimResult::NotHolder),
    ] {
        assert!(retry_queue.resolve(&attempt, &reply).is_none(), "{reply:?}");
        assert_eq!(retry_queue.len(), 1, "{reply:?}");
    }
    assert_eq!(retry_queue.poll_due(Millis(100)).len(), 1);
    let done = retry_queue.resolve(&attempt, &ClaimReply::Decided(ClaimResult::Released));
    assert!(matches!(done, Some(FinalizeResult::Done)) && retry_queue.is_empty());
}

/// The segment holds an expired claim of the key. Archiving it would remove the newer claim, and the
/// request could be executed again.
#[test]
fn archiving_keeps_a_key_that_was_claimed_again_after_its_retention() {
    let mut shard = Shard::new(0, 1);
    let first = proposal("k", "a1");
    shard.apply(&ClaimCommand::Propose(first.clone()));
    shard.apply(&settle(&first, "{}"));
    let segment = Segment::from_settled(&shard, 1).expect("a settled claim can be archived");
    shard.expire(Millis(10), Millis(1), Millis(1));
    let second = ClaimCommand::Propose(proposal("k", "a2"));
    assert_eq!(shard.apply(&second), ClaimResult::Claimed);
    assert!(!shard.archive("s", &segment), "the key is claimed again");
    assert_eq!(shard.apply(&second), ClaimResult::Claimed);
}
