//! The retry budget of a fleet whose routers are restarted: what earlier processes spent counts.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use snipeusher::fleet::Account;
use snipeusher::fleet::Accounts;
use snipeusher::fleet::Answer;
use snipeusher::fleet::Conclusion;
use snipeusher::fleet::Fleet;
use snipeusher::fleet::Limits;
use snipeusher::fleet::Regions;
use snipeusher::fleet::Settings;
use snipeusher::fleet::Span;
use snipeusher::fleet::Spending;
use snipeusher::fleet::Statement;
use snipeusher::fleet::conclude;
use snipeusher::name;
use snipeusher::time::Time;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const STEP_MS: u64 = 50;
/// How often a router states its spending.
const STATEMENT_MS: u64 = 250;
/// Peers that keep it.
const COPIES: usize = 4;
/// Time that a process takes to start.
const START_MS: u64 = 550;
/// Length of a run, and when upstreams begin to fail.
const RUN_MS: u64 = 40_000;
const FAILING_MS: u64 = 12_000;
/// When callers move to other routers, in the runs in which they do.
const MOVE_MS: u64 = 14_000;
/// Requests of the callers of one router in each step.
const REQUESTS: u32 = 2;
/// Routers that a router knows at its start, and each quarter of a second more.
const MEMBERS: u64 = 8;

fn service() -> name::Service {
    name::Service::from("letters")
}

struct Router {
    fleet: Fleet,
    accounts: Accounts,
    /// When its process started, before the run at first.
    started_at: u64,
}

/// When routers are restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plan {
    None,
    /// Some of every hundred, so many at a time with a pause of 1.3 s.
    Rolling(usize, usize),
    /// Some of every hundred at once.
    Herd(usize),
    /// None, but the callers of some of every hundred routers move to the others.
    Move(usize),
}

struct Simulation {
    routers: Vec<Router>,
    slack: f64,
    /// Requests and retries in each step.
    steps: Vec<(u32, u32)>,
}

impl Simulation {
    fn new(count: usize, slack: f64) -> Self {
        let routers = (0..count).map(|_| Router {
            fleet: fleet(count, slack),
            accounts: Accounts::default(),
            started_at: 0,
        });
        Self {
            routers: routers.collect(),
            slack,
            steps: Vec::new(),
        }
    }

    fn run(&mut self, plan: Plan) {
        let count = self.routers.len();
        let restarts = restarts(plan, count);
        for now in (0..RUN_MS).step_by(STEP_MS as usize) {
            for (_, index) in restarts.iter().filter(|(at, _)| *at == now) {
                self.restart(now, *index);
            }
            if now % STATEMENT_MS == 0 {
                for index in 0..count {
                    self.state(now, index);
                    self.hand_over(now, index);
                }
            }
            let mut step = (0, 0);
            for index in 0..count {
                self.learn(now, index);
                let requests = self.requests(now, index, plan);
                self.serve(now, index, requests, &mut step);
            }
            self.steps.push(step);
        }
    }

    fn restart(&mut self, now: u64, index: usize) {
        let mut fleet = fleet(4.min(self.routers.len()), self.slack);
        fleet.await_past_retries(Time::default());
        self.routers[index] = Router {
            fleet,
            accounts: Accounts::default(),
            started_at: now + START_MS,
        };
    }

    fn is_up(&self, now: u64, index: usize) -> bool {
        self.routers[index].started_at <= now
    }

    /// Time since a router's process has started, which is all that it can measure.
    fn local(&self, now: u64, index: usize) -> Time {
        // Processes of the beginning have run for long.
        let started_at = self.routers[index].started_at;
        let before = if started_at == 0 { 60_000 } else { 0 };
        Time::from_millis(before + now - started_at)
    }

    fn state(&mut self, now: u64, index: usize) {
        if !self.is_up(now, index) {
            return;
        }
        let local = self.local(now, index);
        let accounts = self.routers[index].fleet.accounts(local);
        if accounts.is_empty() {
            return;
        }
        let statement = Statement {
            host: host(index),
            accounts,
        };
        for peer in self.ranked(index, COPIES) {
            if self.is_up(now, peer) {
                let local = self.local(now, peer);
                let known = &mut self.routers[peer].accounts;
                known.record(local, WINDOW, statement.clone());
            }
        }
    }

    /// Hands what a router has spent beyond its part to two others, which change each time.
    fn hand_over(&mut self, now: u64, index: usize) {
        let count = self.routers.len();
        let turn = (now / STATEMENT_MS) as usize;
        for offset in [turn, turn + 1] {
            let peer = (index + 1 + offset % (count - 1)) % count;
            if !self.is_up(now, index) || !self.is_up(now, peer) {
                continue;
            }
            let (local, of_peer) = (self.local(now, index), self.local(now, peer));
            for account in self.routers[index].fleet.overdrafts(local) {
                let taken = self.routers[peer]
                    .fleet
                    .take_over_retries(of_peer, &account);
                let fleet = &mut self.routers[index].fleet;
                fleet.release_retries(&account.service, taken);
            }
        }
    }

    fn learn(&mut self, now: u64, index: usize) {
        if !self.is_up(now, index) {
            return;
        }
        let local = self.local(now, index);
        let count = self.routers.len();
        let known = MEMBERS * (1 + local.0 / 250_000);
        let router = &mut self.routers[index];
        router.fleet.set_routers(count.min(known as usize));
        if !router.fleet.are_past_retries_unknown(local) {
            return;
        }
        let peers = self.ranked(index, COPIES).into_iter();
        let peers: Vec<usize> = peers.filter(|peer| self.is_up(now, *peer)).collect();
        let answers: Vec<Answer> = peers
            .into_iter()
            .map(|peer| self.answer(now, peer, index))
            .collect();
        // Others, which this router may know first, would not know of a statement.
        let others: Vec<Answer> = answers.iter().cloned().map(as_of_no_keeper).collect();
        assert_eq!(conclude(&others), Conclusion::Unknown);
        if let Conclusion::Spent(accounts) = conclude(&answers) {
            let fleet = &mut self.routers[index].fleet;
            fleet.learn_past_retries(local, &accounts);
            let routers = answers.iter().map(|answer| answer.routers).max();
            fleet.set_routers_min(routers.unwrap_or(1) as usize);
        }
    }

    fn answer(&self, now: u64, peer: usize, index: usize) -> Answer {
        let local = self.local(now, peer);
        let router = &self.routers[peer];
        let stated = router.accounts.get(local, WINDOW, &host(index));
        let (age, accounts) = stated.unzip();
        Answer {
            accounts: accounts.unwrap_or_default(),
            age_ms: age.map(|age| age.as_millis() as u32),
            is_complete: local.since(Time::default()) >= WINDOW,
            keepers: Vec::new(),
            routers: router.fleet.routers() as u32,
        }
    }

    /// Requests to a router in a step. Callers that leave some routers are spread over the others.
    fn requests(&self, now: u64, index: usize, plan: Plan) -> u32 {
        let Plan::Move(percent) = plan else {
            return REQUESTS;
        };
        let count = self.routers.len();
        let left = (count * percent).div_ceil(100);
        match index.checked_sub(left) {
            _ if now < MOVE_MS => REQUESTS,
            None => 0,
            Some(place) => {
                let moved = REQUESTS as usize * left;
                let share = moved / (count - left);
                let extra = usize::from(place < moved % (count - left));
                REQUESTS + (share + extra) as u32
            }
        }
    }

    /// Serves requests, the first half of which fails once upstreams do.
    fn serve(&mut self, now: u64, index: usize, requests: u32, step: &mut (u32, u32)) {
        // Callers of a router that is down reach the others; here their requests just count.
        step.0 += requests;
        if !self.is_up(now, index) {
            return;
        }
        let local = self.local(now, index);
        let fleet = &mut self.routers[index].fleet;
        for number in 0..requests {
            let is_failing = now >= FAILING_MS && number < requests.div_ceil(2);
            fleet.record_request(local, &service());
            if is_failing && fleet.try_retry(local, &service()) {
                step.1 += 1;
            }
        }
    }

    fn ranked(&self, index: usize, count: usize) -> Vec<usize> {
        let others = 1..self.routers.len();
        let ranked = others.map(|offset| (index + offset * 7) % self.routers.len());
        let ranked: BTreeSet<usize> = ranked.filter(|peer| *peer != index).take(count).collect();
        ranked.into_iter().collect()
    }

    fn assert_within_budget(&self) {
        let (retries, allowed) = self.worst_window();
        assert!(
            f64::from(retries) <= allowed,
            "{retries} retries, {allowed:.0} allowed"
        );
    }

    /// Retries of the window with the most beyond what is allowed, and how many these are.
    fn worst_window(&self) -> (u32, f64) {
        let length = (WINDOW.as_millis() as u64 / STEP_MS) as usize;
        let windows = self.steps.windows(length).map(|steps| {
            let requests: u32 = steps.iter().map(|(requests, _)| requests).sum();
            let retries: u32 = steps.iter().map(|(_, retries)| retries).sum();
            (retries, RATIO * f64::from(requests) + self.slack)
        });
        let beyond = |(retries, allowed): &(u32, f64)| f64::from(*retries) - allowed;
        let worst = windows.max_by(|left, right| beyond(left).total_cmp(&beyond(right)));
        worst.expect("the run is longer than a window")
    }

    fn retries(&self) -> u32 {
        self.steps.iter().map(|(_, retries)| retries).sum()
    }
}

/// The answer of a peer that does not keep the statements.
fn as_of_no_keeper(answer: Answer) -> Answer {
    Answer {
        accounts: Vec::new(),
        age_ms: None,
        is_complete: false,
        ..answer
    }
}

fn host(index: usize) -> name::Host {
    name::Host::from(format!("host-{index}"))
}

fn fleet(routers: usize, slack: f64) -> Fleet {
    let mut fleet = Fleet::new(Settings {
        zone: name::Zone::from("here"),
        regions: Regions::default(),
        retries: Limits {
            ratio: RATIO,
            slack,
            window: WINDOW,
        },
        drain: Duration::from_secs(2),
        pause_max: Duration::from_mins(1),
    });
    fleet.set_routers(routers);
    fleet
}

/// The restarts of a plan, which begin while the budget is being spent.
fn restarts(plan: Plan, count: usize) -> Vec<(u64, usize)> {
    let begin = FAILING_MS + 3_000;
    match plan {
        Plan::None | Plan::Move(_) => Vec::new(),
        Plan::Rolling(percent, at_a_time) => (0..(count * percent).div_ceil(100))
            .map(|index| (begin + 1_300 * (index / at_a_time) as u64, index))
            .collect(),
        Plan::Herd(percent) => (0..(count * percent).div_ceil(100))
            .map(|index| (begin, index))
            .collect(),
    }
}

/// Guards against routers that spend the fleet's retry budget again after each restart, and against
/// a budget that restarts make unusable.
#[rstest]
fn restarts_do_not_renew_the_retry_budget(
    #[values((6, 52.0), (7, 54.0), (70, 180.0))] (count, slack): (usize, f64),
    #[values(
        Plan::None,
        Plan::Rolling(45, 1),
        Plan::Rolling(100, 4),
        Plan::Herd(55),
        Plan::Herd(100)
    )]
    plan: Plan,
) {
    let mut simulation = Simulation::new(count, slack);
    simulation.run(plan);
    simulation.assert_within_budget();
    let mut undisturbed = Simulation::new(count, slack);
    undisturbed.run(Plan::None);
    // All routers at once know nothing of what they spent, and wait for a window.
    if plan != Plan::Herd(100) {
        let (sent, usual) = (simulation.retries(), undisturbed.retries());
        assert!(10 * sent >= 8 * usual, "{sent} retries instead of {usual}");
    }
}

/// Guards against load that counts twice in the retry budget, since it moved from routers that had
/// spent their part to others; and against a budget that this makes unusable.
#[rstest]
fn load_that_moves_keeps_the_retry_budget(
    #[values((6, 52.0), (7, 54.0), (70, 180.0))] (count, slack): (usize, f64),
    #[values(15, 30, 45, 60)] percent: usize,
) {
    let mut simulation = Simulation::new(count, slack);
    simulation.run(Plan::Move(percent));
    simulation.assert_within_budget();
    let mut undisturbed = Simulation::new(count, slack);
    undisturbed.run(Plan::None);
    let (sent, usual) = (simulation.retries(), undisturbed.retries());
    assert!(10 * sent >= 9 * usual, "{sent} retries instead of {usual}");
}

fn account(retries: u32, age_ms: u32) -> Account {
    Account {
        service: service(),
        spans: vec![Span {
            age_ms,
            spending: Spending {
                requests: 10,
                retries,
            },
        }],
    }
}

fn answer(stated: Option<(u32, u32)>, is_complete: bool) -> Answer {
    Answer {
        accounts: stated
            .map(|(retries, age_ms)| account(retries, age_ms))
            .into_iter()
            .collect(),
        age_ms: stated.map(|(_, age_ms)| age_ms),
        is_complete,
        keepers: Vec::new(),
        routers: 7,
    }
}

/// Guards against a conclusion from an old statement, or from the silence of peers that have just
/// started themselves.
#[rstest]
fn the_latest_statement_counts() {
    let old = answer(Some((3, 4_000)), true);
    let new = answer(Some((9, 200)), false);
    let Conclusion::Spent(accounts) = conclude(&[old, answer(None, true), new]) else {
        panic!("a peer has a statement");
    };
    assert_eq!(accounts, [account(9, 200)]);
    assert_eq!(conclude(&[answer(None, false)]), Conclusion::Unknown);
    assert_eq!(conclude(&[]), Conclusion::Unknown);
    let nothing = Conclusion::Spent(Vec::new());
    assert_eq!(
        conclude(&[answer(None, false), answer(None, true)]),
        nothing
    );
}

/// Guards against a router that never retries again since nobody answers it.
#[rstest]
fn unknown_spending_expires_with_the_window() {
    let mut fleet = fleet(1, 50.0);
    fleet.await_past_retries(Time::default());
    assert!(!fleet.try_retry(Time::from_millis(9_900), &service()));
    assert!(fleet.try_retry(Time::from_millis(10_000), &service()));
}

/// Guards against earlier spending that counts for longer than the window, also if it is older than
/// the process that learns of it.
#[rstest]
fn earlier_spending_leaves_the_window() {
    let mut fleet = fleet(1, 50.0);
    fleet.await_past_retries(Time::default());
    fleet.learn_past_retries(Time::from_millis(100), &[account(44, 8_000)]);
    assert!(!fleet.try_retry(Time::from_millis(200), &service()));
    assert!(fleet.try_retry(Time::from_millis(3_000), &service()));
}

/// Guards against a peer whose numbers are out of range and that has this router retry more, or never
/// again.
#[rstest]
#[case(account(u32::MAX, 0))]
#[case(account(u32::MAX, u32::MAX))]
#[case(Account { service: service(), spans: Vec::new() })]
fn retries_of_others_are_counted_within_the_credit(#[case] stated: Account) {
    let mut fleet = fleet(6, 52.0);
    let taken = fleet.take_over_retries(Time::from_millis(1_000), &stated);
    assert!(taken <= 9, "{taken} are beyond 1.25 times its part");
    let mut sent = 0;
    while fleet.try_retry(Time::from_millis(1_000), &service()) {
        sent += 1;
    }
    assert!(sent <= 7, "{sent} are beyond its part");
    assert!(fleet.try_retry(Time::from_millis(12_000), &service()));
}
