//! The targets in the platform's list of instances and targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use arbutus_coord::entity::NameTable;
use arbutus_coord::entity::Target;
use arbutus_wire::platform::EntryKind;
use arbutus_wire::platform::EntryState;
use arbutus_wire::platform::InstanceList;

/// A target in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The name, unique among all targets.
    pub name: String,
    /// The service that the target belongs to.
    pub service: String,
    /// The failure domain that the target belongs to.
    pub failure_domain: String,
    /// The address of its HTTP interface.
    pub address: SocketAddr,
    /// Whether the platform has announced the removal of the target. If so, it is sent no new
    /// calls.
    pub leaving: bool,
}

/// The targets in one revision of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct TargetDirectory {
    revision: u64,
    names: NameTable<Target>,
    targets: BTreeMap<Target, TargetEntry>,
}

impl TargetDirectory {
    /// Returns the revision of the list, 0 before the first list.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the directory for a list, `None` if the list is not newer than this directory.
    ///
    /// The same name has the same [`Target`] in all revisions. Targets whose address cannot be
    /// parsed are left out.
    #[must_use]
    pub fn updated(&self, list: &InstanceList) -> Option<Self> {
        if list.revision <= self.revision {
            return None;
        }
        let mut names = self.names.clone();
        let targets = list
            .entries
            .iter()
            .filter(|entry| entry.kind == EntryKind::Target)
            .filter_map(|entry| {
                let address = entry.address.parse().ok()?;
                let target = TargetEntry {
                    name: entry.name.clone(),
                    service: entry.service.clone(),
                    failure_domain: entry.failure_domain.clone(),
                    address,
                    leaving: entry.state == EntryState::Leaving,
                };
                Some((names.intern(&entry.name), target))
            })
            .collect();
        Some(Self {
            revision: list.revision,
            names,
            targets,
        })
    }

    /// Returns the entry of a target, `None` if the list no longer contains it.
    #[must_use]
    pub fn entry(&self, target: Target) -> Option<&TargetEntry> {
        self.targets.get(&target)
    }

    /// Returns the target with a name, `None` if the list does not contain it.
    #[must_use]
    pub fn target_by_name(&self, name: &str) -> Option<Target> {
        self.names
            .get(name)
            .filter(|target| self.targets.contains_key(target))
    }

    /// Returns all targets and their entries.
    pub fn iter(&self) -> impl Iterator<Item = (Target, &TargetEntry)> {
        self.targets.iter().map(|(&target, entry)| (target, entry))
    }

    /// Returns the targets of a service in a failure domain and their entries.
    pub fn service_targets<'a>(
        &'a self,
        service: &'a str,
        failure_domain: &'a str,
    ) -> impl Iterator<Item = (Target, &'a TargetEntry)> {
        self.iter().filter(move |(_, entry)| {
            entry.service == service && entry.failure_domain == failure_domain
        })
    }
}
