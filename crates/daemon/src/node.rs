//! The state that the threads of an instance share.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use log::info;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::claims::Claims;
use crate::directory::TargetDirectory;
use crate::directory::TargetEntry;
use crate::events::NodeEvents;
use crate::gossip::GossipNode;
use crate::lifecycle::PhaseCell;
use crate::limits::InstanceLimits;
use crate::metrics::Metrics;
use crate::owner::Owners;
use crate::platform::Platform;
use crate::slots::Slots;
use crate::stage_times::StageTimes;
use crate::stop::Stop;
use crate::target_client::TargetClient;
use arbutus_config::Deployment;
use arbutus_config::Settings;
use arbutus_config::deployment::ServiceKind;
use arbutus_coord::Clock;
use arbutus_coord::Millis;
use arbutus_coord::drain::DrainSubject;
use arbutus_coord::membership::Member;
use arbutus_coord::membership::MemberState;
use arbutus_policy::quarantine::Quarantine;
use arbutus_policy::quarantine::QuarantineEntry;
use arbutus_policy::quarantine::QuarantineSettings;
use arbutus_wire::datagram::DatagramBody;
use arbutus_wire::platform::InstanceList;

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Active {
    /// The generation; 0 means that none has been learnt yet.
    pub generation: u64,
    /// The configuration for this instance's site.
    pub deployment: Deployment,
}

/// The state of an instance.
#[derive(Debug)]
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The source of time.
    pub clock: Clock,
    /// A value that changes each time the instance starts.
    pub boot_id: u64,
    /// The phase of the life cycle.
    pub phase: PhaseCell,
    /// The metrics.
    pub metrics: Metrics,
    /// The platform's client.
    pub platform: Platform,
    /// The targets' client.
    pub targets: TargetClient,
    /// The slots at targets.
    pub slots: Arc<Slots>,
    /// The targets whose slots this instance grants.
    pub owners: Owners,
    /// The limits on requests in progress.
    pub limits: InstanceLimits,
    /// The measured time of the stages of each pipeline.
    pub stage_times: StageTimes,
    /// The requests that made targets fail.
    pub quarantine: Mutex<Quarantine>,
    /// The claims of non-idempotent requests.
    pub claims: Claims,
    /// Raised when the instance has to shut down.
    pub terminate: Stop,
    gossip: OnceLock<Arc<GossipNode<NodeEvents>>>,
    active: RwLock<Arc<Active>>,
    directory: RwLock<Arc<TargetDirectory>>,
    in_flight: AtomicUsize,
    next_request: AtomicU64,
    random: Mutex<ChaCha8Rng>,
}

/// A request that counts as in progress until it is dropped.
#[derive(Debug)]
pub struct InFlight<'a> {
    node: &'a Node,
}

impl Node {
    /// Creates the state of an instance that has just started.
    #[must_use]
    pub fn new(settings: Settings, boot_id: u64) -> Self {
        let clock = Clock::new();
        let metrics = Metrics::new();
        let platform = Platform::new(settings.platform_address, &settings.failure_domain)
            .with_counter(metrics.platform_calls.clone());
        Self {
            clock,
            boot_id,
            phase: PhaseCell::default(),
            metrics,
            targets: TargetClient::new(),
            slots: Arc::new(Slots::new(clock, boot_id)),
            owners: Owners::new(),
            limits: InstanceLimits::new(),
            stage_times: StageTimes::new(),
            quarantine: Mutex::new(Quarantine::new(QuarantineSettings::default())),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(boot_id)),
            claims: Claims::new(),
            platform,
            terminate: Stop::new(),
            gossip: OnceLock::new(),
            active: RwLock::default(),
            directory: RwLock::default(),
            in_flight: AtomicUsize::new(0),
            next_request: AtomicU64::new(1),
            settings,
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns a uniformly distributed random number.
    #[must_use]
    pub fn random(&self) -> u64 {
        self.random
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .next_u64()
    }

    /// Connects the instance with the others.
    ///
    /// # Panics
    ///
    /// Panics when it is called twice.
    pub fn set_gossip(&self, gossip: Arc<GossipNode<NodeEvents>>) {
        assert!(self.gossip.set(gossip).is_ok(), "gossip is connected once");
    }

    /// Returns the connection with other instances.
    ///
    /// # Panics
    ///
    /// Panics before [`Node::set_gossip`].
    #[must_use]
    pub fn gossip(&self) -> &GossipNode<NodeEvents> {
        self.gossip
            .get()
            .expect("gossip is connected before requests are accepted")
    }

    /// Returns all members, this instance included.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.gossip()
            .read(|gossip| gossip.membership().members().cloned().collect())
    }

    /// Returns the names of the instances of this failure domain that can own targets.
    ///
    /// A suspect member owns nothing, so that ownership moves before the suspicion ends.
    #[must_use]
    pub fn live_instances(&self) -> BTreeSet<String> {
        self.domain_members(|member| member.state == MemberState::Alive)
    }

    /// Returns the names of the instances of this failure domain that may use slots.
    #[must_use]
    pub fn known_instances(&self) -> BTreeSet<String> {
        self.domain_members(|member| member.state != MemberState::Dead)
    }

    /// Returns the names of the live instances of all failure domains.
    #[must_use]
    pub fn live_everywhere(&self) -> BTreeSet<String> {
        self.gossip().read(|gossip| {
            let members = gossip.membership().members();
            members
                .filter(|member| member.state == MemberState::Alive)
                .map(|member| member.name.clone())
                .collect()
        })
    }

    /// Returns the number of live instances in all failure domains.
    #[must_use]
    pub fn count_live_instances(&self) -> usize {
        self.gossip().read(|gossip| {
            let members = gossip.membership().members();
            members
                .filter(|member| member.state == MemberState::Alive)
                .count()
        })
    }

    /// Returns whether this instance cannot know whether the others regard it as dead.
    #[must_use]
    pub fn is_self_suspect(&self) -> bool {
        self.gossip().is_self_suspect()
    }

    /// Returns whether a target takes no new calls: it leaves, or it or its domain is drained.
    #[must_use]
    pub fn is_closed(&self, entry: &TargetEntry) -> bool {
        entry.leaving
            || self.is_drained(&DrainSubject::FailureDomain(entry.failure_domain.clone()))
            || self.is_drained(&DrainSubject::Target(entry.name.clone()))
    }

    /// Returns whether an instance, or its failure domain, is drained.
    #[must_use]
    pub fn is_instance_drained(&self, member: &Member) -> bool {
        self.is_drained(&DrainSubject::FailureDomain(member.failure_domain.clone()))
            || self.is_drained(&DrainSubject::Instance(member.name.clone()))
    }

    /// Returns whether a subject is drained.
    #[must_use]
    pub fn is_drained(&self, subject: &DrainSubject) -> bool {
        self.gossip()
            .read(|gossip| gossip.drains().is_drained(subject))
    }

    /// Returns whether this instance, or its failure domain, is drained.
    #[must_use]
    pub fn is_self_drained(&self) -> bool {
        self.is_drained(&DrainSubject::FailureDomain(
            self.settings.failure_domain.clone(),
        )) || self.is_drained(&DrainSubject::Instance(self.settings.name.clone()))
    }

    /// Takes over counters that other parts keep into the metrics.
    pub fn update_gauges(&self) {
        let counters = self.gossip().counters();
        let datagrams = counters.datagrams_sent.load(Ordering::Relaxed);
        let bytes = i64::try_from(counters.bytes_sent()).unwrap_or(i64::MAX);
        self.metrics.peer_bytes_sent.set(bytes);
        let calls = counters.calls_sent.load(Ordering::Relaxed);
        self.metrics
            .peer_calls_sent
            .set(i64::try_from(calls).unwrap_or(i64::MAX));
        self.metrics
            .peer_datagrams_sent
            .set(i64::try_from(datagrams).unwrap_or(i64::MAX));
    }

    /// Sends a datagram to an instance; a lost one is the protocol's concern.
    pub fn send(&self, instance: &str, body: DatagramBody) {
        let gossip = self.gossip();
        let address = gossip.read(|gossip| {
            gossip
                .membership()
                .get(instance)
                .map(|member| member.peer_address)
        });
        let Some(address) = address else { return };
        if gossip.send(address, body).is_err() {
            self.metrics.count("datagram_too_large");
        }
    }

    /// Returns the share of an organisation relative to others.
    #[must_use]
    pub fn weight(&self, organisation: &str) -> u32 {
        let active = self.active();
        active
            .deployment
            .organisations
            .get(organisation)
            .map_or(1, |spec| spec.weight)
    }

    /// Returns whether the targets of a service stream tokens.
    #[must_use]
    pub fn streams(&self, service: &str) -> bool {
        let active = self.active();
        let spec = active.deployment.services.get(service);
        spec.is_some_and(|spec| spec.kind == ServiceKind::Engine)
    }

    /// Tells other instances about a request that made targets fail.
    pub fn share_quarantine(&self, entry: &QuarantineEntry) {
        self.metrics.count("target_failed_during_request");
        let body = DatagramBody::Quarantine(vec![entry.clone()]);
        for member in self.members() {
            if member.name != self.settings.name && member.state == MemberState::Alive {
                self.send(&member.name, body.clone());
            }
        }
    }

    fn domain_members(&self, accepts: impl Fn(&Member) -> bool) -> BTreeSet<String> {
        let domain = &self.settings.failure_domain;
        self.gossip().read(|gossip| {
            let members = gossip.membership().members();
            members
                .filter(|member| member.failure_domain == *domain && accepts(member))
                .map(|member| member.name.clone())
                .collect()
        })
    }

    /// Returns an identifier that no other request has, also after a restart.
    #[must_use]
    pub fn new_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.name, self.boot_id)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn active(&self) -> Arc<Active> {
        Arc::clone(&self.active.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration in force unless it is not newer than the present one.
    pub fn activate(&self, generation: u64, deployment: Deployment) -> bool {
        let mut active = self.active.write().unwrap_or_else(PoisonError::into_inner);
        if generation <= active.generation {
            return false;
        }
        // Under the lock, so that an older configuration cannot overwrite parts of a newer one.
        self.slots.set_policy(&deployment.policy);
        self.stage_times.set_pipelines(&deployment);
        self.limits.set_limits(&deployment.limits);
        *active = Arc::new(Active {
            generation,
            deployment,
        });
        drop(active);
        self.metrics
            .generation
            .set(i64::try_from(generation).unwrap_or(i64::MAX));
        info!(generation; "configuration is in force");
        true
    }

    /// Returns the targets of the platform's list.
    #[must_use]
    pub fn directory(&self) -> Arc<TargetDirectory> {
        Arc::clone(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Takes over a newer list of the platform.
    pub fn update_directory(&self, list: &InstanceList) {
        let mut directory = self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(updated) = directory.updated(list) {
            *directory = Arc::new(updated);
        }
    }

    /// Counts a request as in progress, unless there are too many.
    pub fn begin_request(&self) -> Option<InFlight<'_>> {
        let before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let entered = InFlight { node: self };
        self.metrics.in_flight.inc();
        (before < self.settings.max_requests).then_some(entered)
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.node.metrics.in_flight.dec();
    }
}
