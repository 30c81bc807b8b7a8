//! Load balancing: which upstream of a service gets a request.
//!
//! [`Fleet`] is one router's view of all upstreams: which are registered ([`Roster`]), their load
//! ([`Load`]), their health ([`Health`]) and how many retries this router may still send
//! ([`Budget`]). It reads no clock and holds no socket. See `docs/platform.md#placement`.

mod account;
mod bucket;
mod budget;
mod builds;
mod choice;
mod decline;
mod departure;
mod drain;
mod evacuation;
mod expected;
mod health;
mod load;
mod outage;
mod overdue;
mod pace;
mod rate;
mod regions;
mod residence;
mod retries;
mod roster;
mod spread;
mod upstream;
mod view;
mod warmup;
mod zone;

pub use self::account::Account;
pub use self::account::Accounts;
pub use self::account::Answer;
pub use self::account::Conclusion;
pub use self::account::Inquiry;
pub use self::account::Lost;
pub use self::account::Statement;
pub use self::account::conclude;
pub use self::budget::Budget;
pub use self::budget::Limits;
pub use self::budget::Span;
pub use self::budget::Spending;
pub use self::choice::Cause;
pub use self::choice::Decision;
pub use self::choice::Query;
pub use self::decline::DeclineLimit;
pub use self::departure::Leaving;
pub use self::drain::Drain;
pub use self::drain::Milestone;
pub use self::drain::Source;
pub use self::drain::Stage;
pub use self::evacuation::Evacuation;
pub use self::health::Health;
pub use self::health::Outcome;
pub use self::load::Load;
pub use self::load::Observation;
pub use self::load::Report;
pub use self::outage::Outage;
pub use self::overdue::Overdue;
pub use self::pace::Pace;
pub use self::rate::Rate;
pub use self::rate::RateLimit;
pub use self::regions::Regions;
pub use self::roster::Delta;
pub use self::roster::Entry;
pub use self::roster::List;
pub use self::roster::Removal;
pub use self::roster::Roster;
pub use self::roster::Update;
pub use self::upstream::Upstream;
pub use self::view::Fleet;
pub use self::view::Settings;
pub use self::warmup::Bound;
pub use self::warmup::Warmup;
pub use self::zone::Zone;
