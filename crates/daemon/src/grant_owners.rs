//! Grants of the slots of the targets that this instance owns.
//!
//! The owner of a target grants its slots to the instances that use it. Rendezvous hashing over the
//! live instances of the target's failure domain selects the owner. Only the owner polls the load
//! report of the target. The state machine [`GrantOwner`] decides about the slots of one target.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::directory::TargetEntry;
use arbutus_coord::Millis;
use arbutus_coord::entity::Instance;
use arbutus_coord::entity::NameTable;
use arbutus_coord::entity::Target;
use arbutus_coord::grant::GrantOwner;
use arbutus_coord::grant::GrantReply;
use arbutus_coord::grant::GrantRequest;
use arbutus_coord::grant::GrantSettings;
use arbutus_coord::grant::OwnerInput;
use arbutus_coord::grant::OwnerOutput;
use arbutus_coord::grant::TargetReport;
use arbutus_wire::target::LoadReport;

/// A reply to an instance that holds slots or asks for them.
#[derive(Clone, Debug)]
pub struct OutgoingReply {
    /// Name of the instance that receives the reply.
    pub holder: String,
    /// Name of the target.
    pub target: String,
    /// The reply of the grant owner.
    pub reply: GrantReply,
}

/// A target whose slots this instance grants.
#[derive(Clone, Debug)]
pub struct OwnedTarget {
    /// Number of the target in the local directory.
    pub target: Target,
    /// Entry of the target in the platform's list.
    pub entry: TargetEntry,
    /// Whether the target is leaving or drained, so that it takes no new calls.
    pub blocked: bool,
}

/// The state machines that grant the slots of the targets that this instance owns.
#[derive(Debug, Default)]
pub struct GrantOwners {
    table: Mutex<OwnerTable>,
}

#[derive(Debug, Default)]
struct OwnerTable {
    instances: NameTable<Instance>,
    owned: BTreeMap<Target, OwnedGrants>,
}

/// An owned target and the state machine that grants its slots.
#[derive(Debug)]
struct OwnedGrants {
    entry: TargetEntry,
    owner: GrantOwner,
}

impl GrantOwners {
    /// Creates a table that owns no targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the owned targets, and returns replies to their holders.
    ///
    /// Holders that are not in `non_dead_instances` count as dead.
    #[must_use]
    pub fn set_targets(
        &self,
        now: Millis,
        settings: GrantSettings,
        owned: &[OwnedTarget],
        non_dead_instances: &BTreeSet<String>,
    ) -> Vec<OutgoingReply> {
        let mut table = self.lock();
        let current: BTreeSet<Target> = owned.iter().map(|owned| owned.target).collect();
        table.owned.retain(|target, _| current.contains(target));
        let mut replies = Vec::new();
        for OwnedTarget {
            target,
            entry,
            blocked,
        } in owned
        {
            let table = &mut *table;
            let owned = table.owned.entry(*target).or_insert_with(|| OwnedGrants {
                entry: entry.clone(),
                // `is_first` is false, because a previous owner may have granted slots of the
                // target even if it is new to this instance.
                owner: GrantOwner::new(now, settings, false),
            });
            owned.entry.clone_from(entry);
            owned.owner.set_slow_start(settings.slow_start);
            let mut outputs = owned.owner.handle(now, OwnerInput::Blocked(*blocked));
            for dead_holder in table
                .instances
                .names()
                .filter(|name| !non_dead_instances.contains(*name))
            {
                let Some(instance) = table.instances.get(dead_holder) else {
                    continue;
                };
                outputs.extend(owned.owner.handle(now, OwnerInput::HolderDead(instance)));
            }
            replies.extend(to_replies(&table.instances, &entry.name, outputs));
        }
        replies
    }

    /// Handles a request of the instance `holder` for slots of a target.
    #[must_use]
    pub fn handle_request(
        &self,
        now: Millis,
        target: Target,
        holder: &str,
        request: GrantRequest,
    ) -> Vec<OutgoingReply> {
        let mut table = self.lock();
        let holder = table.instances.intern(holder);
        table.handle(now, target, OwnerInput::Request { holder, request })
    }

    /// Handles a load report of a target.
    #[must_use]
    pub fn handle_report(
        &self,
        now: Millis,
        target: Target,
        report: &LoadReport,
    ) -> Vec<OutgoingReply> {
        let report = TargetReport {
            boot_id: report.boot_id,
            warm: report.warm,
            capacity: report.capacity,
            cold_capacity: report.cold_capacity,
            in_flight: report.in_flight,
            queued: report.queued,
            age_ms: report.age_ms,
        };
        self.lock().handle(now, target, OwnerInput::Report(report))
    }

    /// Advances the time, and returns replies that have become due.
    #[must_use]
    pub fn tick(&self, now: Millis) -> Vec<OutgoingReply> {
        let mut table = self.lock();
        let targets: Vec<Target> = table.owned.keys().copied().collect();
        let mut replies = Vec::new();
        for target in targets {
            replies.extend(table.handle(now, target, OwnerInput::Tick));
        }
        replies
    }

    /// Returns the owned targets and their addresses.
    #[must_use]
    pub fn target_addresses(&self) -> Vec<(Target, SocketAddr)> {
        let table = self.lock();
        table
            .owned
            .iter()
            .map(|(&target, owned)| (target, owned.entry.address))
            .collect()
    }

    /// Returns the number of slots that a target allows at present, or `None` if this instance does
    /// not own it.
    #[must_use]
    pub fn allowed_slots(&self, now: Millis, target: Target) -> Option<u32> {
        self.lock()
            .owned
            .get(&target)
            .map(|owned| owned.owner.allowed(now))
    }

    fn lock(&self) -> MutexGuard<'_, OwnerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OwnerTable {
    fn handle(&mut self, now: Millis, target: Target, input: OwnerInput) -> Vec<OutgoingReply> {
        let Some(owned) = self.owned.get_mut(&target) else {
            return Vec::new();
        };
        let outputs = owned.owner.handle(now, input);
        debug_assert!(owned.owner.verify().is_ok(), "{:?}", owned.owner.verify());
        to_replies(&self.instances, &owned.entry.name, outputs)
    }
}

fn to_replies(
    instances: &NameTable<Instance>,
    target: &str,
    outputs: Vec<OwnerOutput>,
) -> Vec<OutgoingReply> {
    let to_reply = |output: OwnerOutput| OutgoingReply {
        holder: instances.name(output.holder).to_owned(),
        target: target.to_owned(),
        reply: output.reply,
    };
    outputs.into_iter().map(to_reply).collect()
}
