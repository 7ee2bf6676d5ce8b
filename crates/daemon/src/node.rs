//! State that the threads of an instance share.

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
use crate::gossip::GossipNode;
use crate::gossip_handler::NodeGossipHandler;
use crate::grant_owners::GrantOwners;
use crate::lifecycle::PhaseCell;
use crate::limits::InstanceLimits;
use crate::metrics::Metrics;
use crate::platform_client::PlatformClient;
use crate::slots::SlotPool;
use crate::stage_times::StageTimes;
use crate::stop_signal::StopSignal;
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

/// The configuration in effect.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    /// Generation of the configuration; 0 before the first one is known.
    pub generation: u64,
    /// The configuration with the overlay of this instance's site.
    pub deployment: Deployment,
}

/// State that the threads of an instance share.
#[derive(Debug)]
pub struct Node {
    /// Settings that the instance was started with.
    pub settings: Settings,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Identifier of this process; a newer process of the same instance has a higher one.
    pub boot_id: u64,
    /// Current phase of the life cycle.
    pub phase: PhaseCell,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Client of the platform's object API.
    pub platform: PlatformClient,
    /// Client for calls to targets.
    pub targets: TargetClient,
    /// Slots that this instance holds at targets.
    pub slots: Arc<SlotPool>,
    /// State machines that grant the slots of the targets that this instance owns.
    pub grant_owners: GrantOwners,
    /// Limits on requests in progress at this instance.
    pub limits: InstanceLimits,
    /// Measured durations of the stages of each pipeline.
    pub stage_times: StageTimes,
    /// Fingerprints of requests during which targets failed. Requests that have failed too many
    /// targets are not sent to further ones.
    pub quarantine: Mutex<Quarantine>,
    /// Claims of non-idempotent requests.
    pub claims: Claims,
    /// Raised when the instance has to shut down: on a signal, or when a newer process exists.
    pub terminate: StopSignal,
    /// Raised after the grace period of a shutdown: requests that are counted later are refused.
    pub intake_end: StopSignal,
    gossip: OnceLock<Arc<GossipNode<NodeGossipHandler>>>,
    active: RwLock<Arc<ActiveConfiguration>>,
    directory: RwLock<Arc<TargetDirectory>>,
    in_flight: AtomicUsize,
    next_request: AtomicU64,
    random: Mutex<ChaCha8Rng>,
}

/// Counts a request as in progress until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
    node: &'a Node,
}

impl Node {
    /// Creates the state of an instance that has just started.
    #[must_use]
    pub fn new(settings: Settings, boot_id: u64) -> Self {
        let clock = Clock::new();
        let metrics = Metrics::new();
        let platform = PlatformClient::new(settings.platform_address, &settings.failure_domain)
            .with_call_counter(metrics.platform_calls.clone());
        Self {
            clock,
            boot_id,
            phase: PhaseCell::default(),
            metrics,
            targets: TargetClient::new(),
            slots: Arc::new(SlotPool::new(clock, boot_id)),
            grant_owners: GrantOwners::new(),
            limits: InstanceLimits::new(),
            stage_times: StageTimes::new(),
            quarantine: Mutex::new(Quarantine::new(QuarantineSettings::default())),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(boot_id)),
            claims: Claims::new(),
            platform,
            terminate: StopSignal::new(),
            intake_end: StopSignal::new(),
            gossip: OnceLock::new(),
            active: RwLock::default(),
            directory: RwLock::default(),
            in_flight: AtomicUsize::new(0),
            next_request: AtomicU64::new(1),
            settings,
        }
    }

    /// Returns the current time of [`Node::clock`].
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

    /// Sets the gossip node, once at startup.
    ///
    /// # Panics
    ///
    /// Panics if it is called twice.
    pub fn set_gossip(&self, gossip: Arc<GossipNode<NodeGossipHandler>>) {
        assert!(
            self.gossip.set(gossip).is_ok(),
            "the gossip node is set only once"
        );
    }

    /// Returns the gossip node.
    ///
    /// # Panics
    ///
    /// Panics if [`Node::set_gossip`] has not been called.
    #[must_use]
    pub fn gossip(&self) -> &GossipNode<NodeGossipHandler> {
        self.gossip
            .get()
            .expect("the gossip node is set before the threads start")
    }

    /// Returns all known members, including this instance.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.gossip()
            .read(|gossip| gossip.membership().members().cloned().collect())
    }

    /// Returns the names of the live instances of this failure domain, which can own targets.
    ///
    /// Suspect members are left out, so that their targets get a new owner as soon as the suspicion
    /// begins.
    #[must_use]
    pub fn live_domain_instances(&self) -> BTreeSet<String> {
        self.domain_member_names(|member| member.state == MemberState::Alive)
    }

    /// Returns the names of the live and suspect instances of this failure domain, which may still
    /// use slots.
    #[must_use]
    pub fn non_dead_domain_instances(&self) -> BTreeSet<String> {
        self.domain_member_names(|member| member.state != MemberState::Dead)
    }

    /// Returns the names of the live instances of all failure domains.
    #[must_use]
    pub fn all_live_instances(&self) -> BTreeSet<String> {
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
    pub fn live_instance_count(&self) -> usize {
        self.gossip().read(|gossip| {
            let members = gossip.membership().members();
            members
                .filter(|member| member.state == MemberState::Alive)
                .count()
        })
    }

    /// Returns whether this instance was paused and no peer has acknowledged it since, so that
    /// other instances may regard it as dead.
    #[must_use]
    pub fn is_self_suspect(&self) -> bool {
        self.gossip().is_self_suspect()
    }

    /// Returns whether a target takes no new calls, because it is leaving or drained, or its
    /// failure domain is drained.
    #[must_use]
    pub fn is_target_blocked(&self, entry: &TargetEntry) -> bool {
        entry.leaving
            || self.is_drained(&DrainSubject::FailureDomain(entry.failure_domain.clone()))
            || self.is_drained(&DrainSubject::Target(entry.name.clone()))
    }

    /// Returns whether an instance or its failure domain is drained.
    #[must_use]
    pub fn is_instance_drained(&self, member: &Member) -> bool {
        self.is_drained(&DrainSubject::FailureDomain(member.failure_domain.clone()))
            || self.is_drained(&DrainSubject::Instance(member.name.clone()))
    }

    /// Returns whether a failure domain, instance or target is itself drained. The failure domain
    /// of an instance or target is not considered.
    #[must_use]
    pub fn is_drained(&self, subject: &DrainSubject) -> bool {
        self.gossip()
            .read(|gossip| gossip.drains().is_drained(subject))
    }

    /// Returns whether this instance or its failure domain is drained.
    #[must_use]
    pub fn is_self_drained(&self) -> bool {
        self.is_drained(&DrainSubject::FailureDomain(
            self.settings.failure_domain.clone(),
        )) || self.is_drained(&DrainSubject::Instance(self.settings.name.clone()))
    }

    /// Copies the counters of traffic between instances to the metrics.
    pub fn update_peer_traffic_metrics(&self) {
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

    /// Sends a datagram to an instance. Delivery is not guaranteed: a datagram to an unknown
    /// instance is dropped, and one that exceeds the size limit is counted.
    pub fn send_datagram(&self, instance: &str, body: DatagramBody) {
        let gossip = self.gossip();
        let address = gossip.read(|gossip| {
            gossip
                .membership()
                .get(instance)
                .map(|member| member.peer_address)
        });
        let Some(address) = address else { return };
        if gossip.send_datagram(address, body).is_err() {
            self.metrics.count("datagram_too_large");
        }
    }

    /// Returns the weight of an organisation in fair queueing; 1 if it is not configured.
    #[must_use]
    pub fn organisation_weight(&self, organisation: &str) -> u32 {
        let active = self.active_configuration();
        active
            .deployment
            .organisations
            .get(organisation)
            .map_or(1, |spec| spec.weight)
    }

    /// Returns whether a service streams tokens, that is, whether its targets are engines.
    #[must_use]
    pub fn is_streaming(&self, service: &str) -> bool {
        let active = self.active_configuration();
        let spec = active.deployment.services.get(service);
        spec.is_some_and(|spec| spec.kind == ServiceKind::Engine)
    }

    /// Counts a target that failed during a request, and sends the quarantine entry of the request
    /// to all other live instances.
    pub fn broadcast_quarantine(&self, entry: &QuarantineEntry) {
        self.metrics.count("target_failed_during_request");
        let body = DatagramBody::Quarantine(vec![entry.clone()]);
        for member in self.members() {
            if member.name != self.settings.name && member.state == MemberState::Alive {
                self.send_datagram(&member.name, body.clone());
            }
        }
    }

    fn domain_member_names(&self, predicate: impl Fn(&Member) -> bool) -> BTreeSet<String> {
        let domain = &self.settings.failure_domain;
        self.gossip().read(|gossip| {
            let members = gossip.membership().members();
            members
                .filter(|member| member.failure_domain == *domain && predicate(member))
                .map(|member| member.name.clone())
                .collect()
        })
    }

    /// Returns a request identifier that is unique across instances and restarts.
    #[must_use]
    pub fn new_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.name, self.boot_id)
    }

    /// Returns the configuration in effect.
    #[must_use]
    pub fn active_configuration(&self) -> Arc<ActiveConfiguration> {
        Arc::clone(&self.active.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration into effect if it is newer than the current one, and returns whether it
    /// was.
    pub fn activate_configuration(&self, generation: u64, deployment: Deployment) -> bool {
        let mut active = self.active.write().unwrap_or_else(PoisonError::into_inner);
        if generation <= active.generation {
            return false;
        }
        // The parts are updated under the lock, so that an older configuration cannot overwrite
        // parts of a newer one.
        self.slots.set_policy(&deployment.policy);
        self.stage_times.set_pipelines(&deployment);
        self.limits.set_limits(&deployment.limits);
        *active = Arc::new(ActiveConfiguration {
            generation,
            deployment,
        });
        drop(active);
        self.metrics
            .generation
            .set(i64::try_from(generation).unwrap_or(i64::MAX));
        info!(generation; "configuration is in effect");
        true
    }

    /// Returns the directory of the targets in the platform's list.
    #[must_use]
    pub fn directory(&self) -> Arc<TargetDirectory> {
        Arc::clone(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Updates the directory from a list of the platform, unless the list is not newer.
    pub fn update_directory(&self, list: &InstanceList) {
        let mut directory = self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(updated) = directory.updated(list) {
            *directory = Arc::new(updated);
        }
    }

    /// Counts a request as in progress, or returns `None` if the maximum number is reached.
    pub fn begin_request(&self) -> Option<InFlightGuard<'_>> {
        let before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = InFlightGuard { node: self };
        self.metrics.in_flight.inc();
        (before < self.settings.max_requests).then_some(guard)
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.node.metrics.in_flight.dec();
    }
}
