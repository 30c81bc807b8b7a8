//! Memory that the bodies of requests and responses may take together.
//!
//! Each body has a limit of its own, but many of them at once would exceed the memory of the host:
//! an upstream that sends bytes without end to a hundred callers, callers that read slowly. What a
//! body holds beyond a small allowance is therefore reserved first. Whoever cannot reserve more
//! passes on what has arrived, or refuses. No upstream gets more than a part, so that a faulty one
//! leaves room for the others. See `docs/platform.md#memory`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes that each body may hold without a reservation. Most requests and events are smaller.
const ALLOWANCE: usize = 16 << 10;
/// Divisor of the process's memory for all reservations. The rest is for the process itself, for
/// buffers of connections, and for what the allocator keeps.
const BODIES_DIVISOR: usize = 4;

/// On whose account bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// Requests of all callers.
    Callers,
    /// Requests of all peers, which have to arrive whatever callers send.
    Peers,
    /// Responses of an upstream or peer, by a hash of its name.
    Sender(u64),
}

impl Owner {
    /// Share of the memory for bodies that it may take.
    const fn divisor(self) -> usize {
        match self {
            Self::Callers => 2,
            Self::Peers | Self::Sender(_) => 4,
        }
    }
}

/// What is reserved by all bodies of the process.
#[derive(Debug)]
pub struct Memory {
    /// Bytes for all bodies together.
    limit: usize,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    reserved: usize,
    owners: BTreeMap<Owner, usize>,
}

impl Memory {
    /// Starts without reservations in a process that may take some bytes.
    pub fn new(process_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: process_bytes / BODIES_DIVISOR,
            state: RefCell::default(),
        })
    }

    /// Bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.state.borrow().reserved
    }

    /// Starts a reservation without bytes.
    pub fn open(self: &Rc<Self>, owner: Owner) -> Reservation {
        Reservation {
            memory: Rc::clone(self),
            owner,
            bytes: 0,
        }
    }

    fn try_add(&self, owner: Owner, bytes: usize) -> bool {
        let mut state = self.state.borrow_mut();
        let of_owner = state.owners.get(&owner).copied().unwrap_or_default();
        let owner_limit = self.limit / owner.divisor();
        let fits = state.reserved + bytes <= self.limit && of_owner + bytes <= owner_limit;
        if fits {
            state.reserved += bytes;
            state.owners.insert(owner, of_owner + bytes);
        }
        fits
    }

    fn remove(&self, owner: Owner, bytes: usize) {
        let mut state = self.state.borrow_mut();
        state.reserved -= bytes;
        let of_owner = state.owners.remove(&owner).unwrap_or_default() - bytes;
        if of_owner > 0 {
            state.owners.insert(owner, of_owner);
        }
    }
}

/// Bytes that one body holds, reserved until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Rc<Memory>,
    owner: Owner,
    bytes: usize,
}

impl Reservation {
    /// Reserves as much as a body of some bytes needs, if it is not reserved yet. Returns false if
    /// there is no room; then the reservation stays as it was.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let needed = if bytes <= ALLOWANCE { 0 } else { bytes };
        let missing = needed.saturating_sub(self.bytes);
        if missing > 0 {
            if !self.memory.try_add(self.owner, missing) {
                return false;
            }
            self.bytes += missing;
        }
        true
    }

    /// Gives all bytes back.
    pub(crate) fn clear(&mut self) {
        if self.bytes > 0 {
            self.memory.remove(self.owner, self.bytes);
            self.bytes = 0;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}
