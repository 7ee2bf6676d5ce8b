//! The targets whose slots this instance grants.
//!
//! The owner of a target is computed by rendezvous hashing over the live instances of its failure
//! domain. Only the owner polls the target's load report.

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

/// An answer to a holder.
#[derive(Clone, Debug)]
pub struct OutgoingReply {
    /// The receiver.
    pub holder: String,
    /// The target's name.
    pub target: String,
    /// The answer.
    pub reply: GrantReply,
}

/// A target that this instance owns.
#[derive(Clone, Debug)]
pub struct OwnedTarget {
    /// The target.
    pub target: Target,
    /// What the platform's list says.
    pub entry: TargetEntry,
    /// Whether the target is leaving or drained.
    pub blocked: bool,
}

/// The targets whose slots this instance grants.
#[derive(Debug, Default)]
pub struct GrantOwners {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    instances: NameTable<Instance>,
    owned: BTreeMap<Target, Owned>,
}

#[derive(Debug)]
struct Owned {
    entry: TargetEntry,
    grants: GrantOwner,
}

impl GrantOwners {
    /// Creates a table without targets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the targets that this instance owns from now on.
    #[must_use]
    pub fn set_targets(
        &self,
        now: Millis,
        settings: GrantSettings,
        owned: &[OwnedTarget],
        known: &BTreeSet<String>,
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
            let owned = table.owned.entry(*target).or_insert_with(|| Owned {
                entry: entry.clone(),
                // Another instance may have granted slots before, whatever the list said.
                grants: GrantOwner::new(now, settings, false),
            });
            owned.entry.clone_from(entry);
            owned.grants.set_slow_start(settings.slow_start);
            let mut outputs = owned.grants.handle(now, OwnerInput::Blocked(*blocked));
            for gone in table
                .instances
                .names()
                .filter(|name| !known.contains(*name))
            {
                let Some(instance) = table.instances.get(gone) else {
                    continue;
                };
                outputs.extend(owned.grants.handle(now, OwnerInput::HolderDead(instance)));
            }
            replies.extend(addressed(&table.instances, &entry.name, outputs));
        }
        replies
    }

    /// Takes a holder's request.
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

    /// Takes a target's load report.
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

    /// Lets time pass.
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

    /// Returns the targets whose load this instance polls.
    #[must_use]
    pub fn target_addresses(&self) -> Vec<(Target, SocketAddr)> {
        let table = self.lock();
        table
            .owned
            .iter()
            .map(|(&target, owned)| (target, owned.entry.address))
            .collect()
    }

    /// Returns the slots that are allowed at a target, if this instance owns it.
    #[must_use]
    pub fn allowed_slots(&self, now: Millis, target: Target) -> Option<u32> {
        self.lock()
            .owned
            .get(&target)
            .map(|owned| owned.grants.allowed(now))
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn handle(&mut self, now: Millis, target: Target, input: OwnerInput) -> Vec<OutgoingReply> {
        let Some(owned) = self.owned.get_mut(&target) else {
            return Vec::new();
        };
        let outputs = owned.grants.handle(now, input);
        debug_assert!(owned.grants.verify().is_ok(), "{:?}", owned.grants.verify());
        addressed(&self.instances, &owned.entry.name, outputs)
    }
}

fn addressed(
    instances: &NameTable<Instance>,
    target: &str,
    outputs: Vec<OwnerOutput>,
) -> Vec<OutgoingReply> {
    let address = |output: OwnerOutput| OutgoingReply {
        holder: instances.name(output.holder).to_owned(),
        target: target.to_owned(),
        reply: output.reply,
    };
    outputs.into_iter().map(address).collect()
}
