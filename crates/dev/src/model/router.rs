//! A router: its state machines, and what it sends when.
//!
//! The intervals and the order of the steps are those of the tasks in the edge crate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use snipeusher::archive;
use snipeusher::archive::Announcer;
use snipeusher::fleet::Account;
use snipeusher::fleet::Accounts;
use snipeusher::fleet::Answer;
use snipeusher::fleet::Conclusion;
use snipeusher::fleet::Delta;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Inquiry;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Lost;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Settings;
use snipeusher::fleet::Statement;
use snipeusher::fleet::conclude;
use snipeusher::hash;
use snipeusher::kv::Call;
use snipeusher::kv::Lease;
use snipeusher::kv::Reply as StoreReply;
use snipeusher::kv::Revision;
use snipeusher::kv::WatchReply;
use snipeusher::name;
use snipeusher::poison::Report;
use snipeusher::reader::Readers;
use snipeusher::route::Position;
use snipeusher::time::Time;
use snipeusher_edge::peer::Digest;
use snipeusher_edge::peer::Peers;
use snipeusher_edge::peer::interval;

use super::Omission;
use super::store::Change;
use super::store::Listing;

/// Interval between exchanges while a router lacks the configuration or the upstreams.
const EXCHANGE_INTERVAL_START: Duration = Duration::from_millis(50);
/// Peers to which a change is sent at once.
const FANOUT: usize = 3;
/// Least time between two checks of the readers of the own zone.
const READERS_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How often spending is stated and overdrafts are handed over.
const STATEMENT_INTERVAL: Duration = Duration::from_millis(250);
/// Peers that keep a statement, and that are queried for one.
const KEEPERS: usize = 4;
const QUERIED: usize = 6;
const KEEPERS_MAX: usize = 12;
/// Peers to which overdrafts are handed over, each time.
const TAKERS: usize = 2;
/// Time without a statement from which on a router may be lost.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time without a known seed before a router announces itself.
const ANNOUNCE_DELAY: Duration = Duration::from_secs(2);
/// Longest time that the store holds a watch call open.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(2);
/// The same of the first call of a watch.
const WATCH_WAIT_FIRST: Duration = Duration::from_millis(50);
/// Pause after a failed call of the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// What a router asks of a peer.
#[derive(Clone, Debug)]
pub(super) enum Request {
    Exchange(Box<Digest>),
    Configuration,
    Statement(Statement),
    Inquiry(Inquiry),
    /// For a router that seems to be lost.
    Probe(Inquiry),
    Overdraft(Account),
}

/// What a peer answers.
#[derive(Clone, Debug)]
pub(super) enum Reply {
    Exchange(Box<Digest>, Option<Delta>),
    Configuration(Option<Position>),
    Received,
    Spent(Box<Answer>),
    /// Whether the peer has a statement of the router.
    Probed(name::Host, bool),
    Taken(name::Service, u32),
}

/// What a router does next.
#[derive(Debug)]
pub(super) enum Action {
    Send(SocketAddr, Request),
    List,
    Watch(Duration),
    Announce,
}

/// What a router reads of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    Nothing,
    /// After a failed call, until a time.
    Paused(Time),
    /// A call is in progress.
    Waiting,
}

/// Where a router runs, and whom it knows at its start.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) host: name::Host,
    pub(super) zone: name::Zone,
    pub(super) address: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) limits: Limits,
}

/// A process of a router.
pub(super) struct Process {
    place: Place,
    omission: Option<Omission>,
    is_first_start: bool,
    peers: Peers,
    readers: Readers,
    pub(super) fleet: Fleet,
    accounts: Accounts,
    pub(super) configuration: Option<Position>,
    announcer: Announcer,
    reading: Reading,
    needs_list: bool,
    next_exchange: Time,
    next_statement: Time,
    readers_checked_at: Time,
    /// Peers with which an exchange is in progress.
    exchanging: BTreeSet<SocketAddr>,
    /// Answers to the last inquiry, and how many are missing.
    answers: Vec<Answer>,
    awaited: usize,
    keepers: BTreeSet<SocketAddr>,
    /// Routers that seem to be lost, and how many peers are to be asked whether they count for them.
    probes: BTreeMap<name::Host, usize>,
    /// Peers that are yet to be offered overdrafts, the next one last.
    takers: Vec<SocketAddr>,
    /// What peers were told of last.
    told: (Option<Position>, Revision, bool),
    /// What was stated last.
    stated: Vec<Account>,
}

impl Process {
    pub(super) fn start(place: Place, is_first_start: bool, omission: Option<Omission>) -> Self {
        let mut fleet = Fleet::new(Settings {
            zone: place.zone.clone(),
            regions: Regions::default(),
            retries: place.limits,
            drain: Duration::from_secs(2),
            pause_max: Duration::from_mins(1),
        });
        let others = place.seeds.iter().filter(|seed| **seed != place.address);
        let others = others.count();
        if others > 0 {
            fleet.set_routers(others + 1);
            if !is_first_start && omission != Some(Omission::PastRetries) {
                fleet.await_past_retries(Time::default());
            }
        }
        let (host, zone) = (place.host.clone(), place.zone.clone());
        Self {
            peers: Peers::new(host.clone(), zone.clone(), place.address, &place.seeds),
            readers: Readers::new(host.clone(), zone),
            fleet,
            accounts: Accounts::default(),
            configuration: None,
            announcer: Announcer::new(archive::Router {
                host,
                address: place.address,
            }),
            reading: Reading::Nothing,
            needs_list: true,
            next_exchange: Time::default(),
            next_statement: Time::default(),
            readers_checked_at: Time::default(),
            exchanging: BTreeSet::new(),
            answers: Vec::new(),
            awaited: 0,
            keepers: BTreeSet::new(),
            probes: BTreeMap::new(),
            takers: Vec::new(),
            told: (None, Revision::default(), false),
            stated: Vec::new(),
            place,
            omission,
            is_first_start,
        }
    }

    pub(super) const fn is_reading(&self) -> bool {
        self.readers.is_reading()
    }

    /// Number of routers that it takes for running, itself included.
    pub(super) fn known_routers(&self, now: Time) -> usize {
        self.peers.hosts(now).count() + 1
    }

    fn is_loaded(&self) -> bool {
        self.configuration.is_some() && !self.fleet.roster().is_unsynced()
    }

    /// What is due at a time.
    pub(super) fn tick(&mut self, now: Time, rng: &mut Pcg64Mcg) -> Vec<Action> {
        let mut actions = Vec::new();
        self.read(now, &mut actions);
        self.exchange_in_turn(now, rng, &mut actions);
        if self.next_statement <= now {
            self.next_statement = now + STATEMENT_INTERVAL;
            self.state(now, &mut actions);
            self.hand_over(now, rng, &mut actions);
            self.probe_lost(now, &mut actions);
            self.announce(now, &mut actions);
            self.learn(now, &mut actions);
        }
        actions
    }

    fn must_read(&mut self, now: Time) -> bool {
        let routers = self.fleet.routers();
        if self.fleet.roster().is_unsynced() {
            return self.readers.must_list(now, routers > 1);
        }
        self.readers.update_role(now, routers)
    }

    fn read(&mut self, now: Time, actions: &mut Vec<Action>) {
        let must_read = self.must_read(now);
        match self.reading {
            Reading::Waiting => return,
            Reading::Paused(until) if now < until => return,
            Reading::Paused(_) | Reading::Nothing => {}
        }
        self.reading = Reading::Nothing;
        if must_read {
            self.reading = Reading::Waiting;
            actions.push(if self.needs_list {
                Action::List
            } else {
                Action::Watch(WATCH_WAIT_FIRST)
            });
        }
    }

    /// Applies all that the store lists.
    pub(super) fn apply_listing(&mut self, now: Time, listing: Listing) -> Vec<Action> {
        self.readers.record_reply(now);
        self.fleet.replace(now, listing.upstreams);
        self.configure(listing.configuration);
        for (host, address) in listing.routers {
            self.peers.introduce(now, &host, address);
        }
        self.needs_list = false;
        vec![Action::Watch(WATCH_WAIT_FIRST)]
    }

    /// Applies changes of the store up to a revision.
    pub(super) fn apply_changes<'a>(
        &mut self,
        now: Time,
        changes: impl Iterator<Item = &'a Change>,
        revision: Revision,
    ) -> Vec<Action> {
        self.readers.record_reply(now);
        let mut reply = WatchReply::Nothing;
        for change in changes {
            reply = WatchReply::Changes;
            match change {
                Change::Upstream(update) => self.fleet.apply(now, [update.clone()]),
                Change::Configuration(position) => self.configure(*position),
                Change::Router(host, address) => {
                    self.peers.introduce(now, host, *address);
                }
            }
        }
        self.fleet.advance_to(revision);
        if !self.must_read(now) {
            self.reading = Reading::Nothing;
            return Vec::new();
        }
        vec![Action::Watch(
            self.readers.watch_hold(now, reply, WATCH_WAIT),
        )]
    }

    /// Records that the store did not answer a call.
    pub(super) fn lose_store(&mut self, now: Time) {
        self.readers.record_loss();
        self.needs_list = true;
        self.reading = Reading::Paused(now + STORE_RETRY_DELAY);
    }

    fn configure(&mut self, position: Position) {
        if position > Position::default() {
            self.configuration = self.configuration.max(Some(position));
        }
    }

    fn exchange_in_turn(&mut self, now: Time, rng: &mut Pcg64Mcg, actions: &mut Vec<Action>) {
        let has_reply = self.readers.has_reply();
        let current = (
            self.configuration,
            self.fleet.roster().revision(),
            has_reply,
        );
        let is_due = self.next_exchange <= now;
        let has_changed = self.told != current;
        if !is_due && !has_changed {
            return;
        }
        let mut addresses = BTreeSet::new();
        addresses.extend(self.peers.next(rng.random()));
        if !self.is_loaded() {
            addresses.extend(self.peers.unknown_seeds());
        }
        if has_changed {
            self.told = current;
            addresses.extend(self.peers.sample(FANOUT, rng.random()));
        }
        let pause = if self.is_loaded() {
            interval(self.peers.len(now))
        } else {
            EXCHANGE_INTERVAL_START
        };
        self.next_exchange = now + pause;
        for address in addresses {
            self.exchange(now, address, actions);
        }
    }

    fn exchange(&mut self, now: Time, address: SocketAddr, actions: &mut Vec<Action>) {
        if self.exchanging.insert(address) {
            let digest = Box::new(self.digest(now));
            actions.push(Action::Send(address, Request::Exchange(digest)));
        }
    }

    /// Exchanges with the readers of the own zone, since an exchange takes long or has failed.
    pub(super) fn check_readers(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if now.since(self.readers_checked_at) < READERS_CHECK_INTERVAL {
            return actions;
        }
        self.readers_checked_at = now;
        let readers = self.readers.local(now);
        let addresses: Vec<SocketAddr> = readers
            .filter_map(|host| self.peers.address(host))
            .collect();
        for address in addresses {
            self.exchange(now, address, &mut actions);
        }
        actions
    }

    /// Whether an exchange with a peer is in progress.
    pub(super) fn is_exchanging(&self, address: SocketAddr) -> bool {
        self.exchanging.contains(&address)
    }

    fn digest(&mut self, now: Time) -> Digest {
        Digest {
            host: self.place.host.clone(),
            zone: self.place.zone.clone(),
            address: self.place.address,
            configuration: self.configuration,
            upstreams: self.fleet.roster().revision(),
            loads: Vec::new(),
            readers: self.readers.list(now),
            members: self.peers.members(now),
            poison: Report::default(),
            rate_limits: Vec::new(),
            unreachable: Vec::new(),
            decline_limits: Vec::new(),
        }
    }

    /// Merges a digest. Returns the request for a configuration that it announces.
    fn merge(&mut self, now: Time, digest: &Digest) -> Vec<Action> {
        self.peers.record(now, digest);
        self.readers.merge(now, &digest.readers);
        let mut stated = digest.readers.iter();
        if !stated.any(|reader| reader.host == digest.host) {
            self.readers.record_unavailable(now, &digest.host);
        }
        self.fleet.set_routers(self.peers.len(now) + 1);
        if digest.configuration > self.configuration {
            return vec![Action::Send(digest.address, Request::Configuration)];
        }
        Vec::new()
    }

    /// Answers a peer.
    pub(super) fn answer(&mut self, now: Time, request: Request) -> (Reply, Vec<Action>) {
        match request {
            Request::Exchange(received) => {
                let digest = Box::new(self.digest(now));
                let is_behind = received.upstreams < digest.upstreams;
                let delta = is_behind.then(|| self.fleet.changes_since(now, received.upstreams));
                if received.upstreams > digest.upstreams {
                    self.peers.prefer(received.address);
                    self.next_exchange = now;
                }
                let actions = self.merge(now, &received);
                (Reply::Exchange(digest, delta), actions)
            }
            Request::Configuration => (Reply::Configuration(self.configuration), Vec::new()),
            Request::Statement(statement) => {
                let window = self.fleet.retry_window();
                self.accounts.record(now, window, statement);
                (Reply::Received, Vec::new())
            }
            Request::Inquiry(inquiry) => {
                let answer = self.answer_inquiry(now, &inquiry);
                (Reply::Spent(Box::new(answer)), Vec::new())
            }
            Request::Probe(inquiry) => {
                let has_statement = self.answer_inquiry(now, &inquiry).age_ms.is_some();
                (Reply::Probed(inquiry.host, has_statement), Vec::new())
            }
            Request::Overdraft(account) => {
                let taken = self.fleet.take_over_retries(now, &account);
                (Reply::Taken(account.service, taken), Vec::new())
            }
        }
    }

    fn answer_inquiry(&self, now: Time, inquiry: &Inquiry) -> Answer {
        let window = self.fleet.retry_window();
        let stated = self.accounts.get(now, window, &inquiry.host);
        let (age, accounts) = stated.unzip();
        let own = self.place.address;
        let ranked = self
            .peers
            .ranked_for(&inquiry.host, &inquiry.zone, own, KEEPERS);
        let has_run_long = now.since(Time::default()) >= window || self.is_first_start;
        Answer {
            accounts: accounts.unwrap_or_default(),
            age_ms: age.map(|age| age.as_millis() as u32),
            is_complete: has_run_long && ranked.contains(&own),
            keepers: ranked,
            routers: self.fleet.routers() as u32,
        }
    }

    /// Takes the reply of a peer.
    pub(super) fn take_reply(&mut self, now: Time, from: SocketAddr, reply: Reply) -> Vec<Action> {
        match reply {
            Reply::Exchange(digest, delta) => {
                self.exchanging.remove(&from);
                if let Some(delta) = delta {
                    self.fleet.merge(now, delta);
                }
                self.merge(now, &digest)
            }
            Reply::Configuration(position) => {
                self.configuration = self.configuration.max(position);
                Vec::new()
            }
            Reply::Received => Vec::new(),
            Reply::Spent(answer) => {
                self.answers.push(*answer);
                self.finish_inquiry(now);
                Vec::new()
            }
            Reply::Probed(host, has_statement) => {
                let is_running = self.peers.address(&host) == Some(from);
                if is_running || has_statement {
                    self.probes.remove(&host);
                } else {
                    self.finish_probe(now, &host);
                }
                Vec::new()
            }
            Reply::Taken(service, taken) => {
                self.fleet.release_retries(&service, taken);
                self.offer(now)
            }
        }
    }

    /// Records that a peer did not answer.
    pub(super) fn take_failure(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: &Request,
    ) -> Vec<Action> {
        match request {
            Request::Exchange(_) => {
                self.exchanging.remove(&from);
                let host = self.peers.host(from).cloned();
                if let Some(host) = host.filter(|_| self.omission != Some(Omission::LostReaders)) {
                    self.readers.record_unavailable(now, &host);
                }
                self.check_readers(now)
            }
            Request::Inquiry(_) => {
                self.finish_inquiry(now);
                Vec::new()
            }
            Request::Probe(inquiry) => {
                self.finish_probe(now, &inquiry.host);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn own_key(&self) -> u64 {
        hash::bytes(self.place.host.as_str().as_bytes())
    }

    fn state(&mut self, now: Time, actions: &mut Vec<Action>) {
        let accounts = self.fleet.accounts(now);
        if accounts.is_empty() || accounts == self.stated {
            return;
        }
        self.stated.clone_from(&accounts);
        let statement = Statement {
            host: self.place.host.clone(),
            accounts,
        };
        let keepers = self.peers.ranked(self.own_key(), KEEPERS).into_iter();
        let sends = keepers.map(|keeper| {
            let request = Request::Statement(statement.clone());
            Action::Send(keeper, request)
        });
        actions.extend(sends);
    }

    fn hand_over(&mut self, now: Time, rng: &mut Pcg64Mcg, actions: &mut Vec<Action>) {
        self.takers = self.peers.sample(TAKERS, rng.random());
        self.takers.reverse();
        actions.extend(self.offer(now));
    }

    /// Offers what this router has spent beyond its parts to the next taker. The one after it is
    /// offered what is left.
    fn offer(&mut self, now: Time) -> Vec<Action> {
        let Some(taker) = self.takers.pop() else {
            return Vec::new();
        };
        let offers = self.fleet.overdrafts(now).into_iter();
        let offers = offers.map(|account| Action::Send(taker, Request::Overdraft(account)));
        offers.collect()
    }

    fn lost(&self, now: Time) -> Vec<Lost> {
        self.fleet.lost_routers(now, &self.accounts, SILENT_AFTER)
    }

    /// Asks routers that seem to be lost, and the keepers of their statements that rank before this
    /// one.
    fn probe_lost(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.omission == Some(Omission::LostSpending) {
            return;
        }
        for Lost { host, .. } in self.lost(now) {
            let zone = self.peers.zone(&host).cloned();
            let (Some(zone), false) = (zone, self.probes.contains_key(&host)) else {
                continue;
            };
            let own = self.place.address;
            let keepers = self.peers.ranked_for(&host, &zone, own, KEEPERS);
            let Some(position) = keepers.iter().position(|keeper| *keeper == own) else {
                continue;
            };
            let asked = keepers.into_iter().take(position);
            let asked: Vec<SocketAddr> = asked.chain(self.peers.address(&host)).collect();
            self.probes.insert(host.clone(), asked.len());
            let inquiry = Inquiry { host, zone };
            let sends = asked.into_iter();
            actions.extend(
                sends.map(|address| Action::Send(address, Request::Probe(inquiry.clone()))),
            );
        }
    }

    /// Records that a peer does not count for a lost router. If none does, this one counts.
    fn finish_probe(&mut self, now: Time, host: &name::Host) {
        let Some(awaited) = self.probes.get_mut(host) else {
            return;
        };
        *awaited -= 1;
        if *awaited > 0 {
            return;
        }
        self.probes.remove(host);
        let lost = self.lost(now).into_iter().find(|lost| lost.host == *host);
        if let Some(lost) = lost {
            self.fleet.count_for_lost(now, &lost);
            let window = self.fleet.retry_window();
            self.accounts.release(now, window, &lost);
        }
    }

    fn learn(&mut self, now: Time, actions: &mut Vec<Action>) {
        let uptime = now.since(Time::default());
        if uptime >= self.fleet.retry_window() {
            self.fleet.set_routers_min(1);
        }
        if !self.fleet.are_past_retries_unknown(now) || self.awaited > 0 {
            return;
        }
        let mut addresses = self.keepers.clone();
        addresses.extend(self.peers.ranked(self.own_key(), QUERIED));
        self.awaited = addresses.len();
        self.answers.clear();
        let inquiry = Inquiry {
            host: self.place.host.clone(),
            zone: self.place.zone.clone(),
        };
        let sends = addresses.into_iter();
        actions
            .extend(sends.map(|address| Action::Send(address, Request::Inquiry(inquiry.clone()))));
    }

    fn finish_inquiry(&mut self, now: Time) {
        self.awaited = self.awaited.saturating_sub(1);
        if self.awaited > 0 {
            return;
        }
        let stated = self.answers.iter().flat_map(|answer| &answer.keepers);
        self.keepers = stated.copied().take(KEEPERS_MAX).collect();
        if !self.fleet.are_past_retries_unknown(now) {
            return;
        }
        if let Conclusion::Spent(accounts) = conclude(&self.answers) {
            self.fleet.learn_past_retries(now, &accounts);
            let routers = self.answers.iter().map(|answer| answer.routers).max();
            self.fleet.set_routers_min(routers.unwrap_or(1) as usize);
        }
    }

    fn announce(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_first = self.readers.first_of_zone(now) == Some(&self.place.host);
        let is_needed = is_first && self.peers.lacks_seeds(now);
        if self.omission == Some(Omission::Discovery) {
            return;
        }
        // The store answers at once; what a failed call leads to is not modelled.
        while let Some(call) = self.announcer.next(now, is_needed, ANNOUNCE_DELAY) {
            let reply = match call {
                Call::Grant { ttl_s } => StoreReply::Grant {
                    lease: Lease(1),
                    ttl_s,
                },
                _ => StoreReply::Txn {
                    revision: Revision::default(),
                    succeeded: true,
                    results: Vec::new(),
                },
            };
            if self.announcer.handle(now, &Ok(reply)) {
                actions.push(Action::Announce);
            }
        }
    }
}
