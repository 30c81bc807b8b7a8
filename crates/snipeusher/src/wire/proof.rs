//! Proof that a frame comes from a router of the fleet, for this receiver, now, and once.
//!
//! The HMAC covers the whole body, which names the sender, the receiver and the send time. See
//! `docs/design.md#messages`.

use std::collections::BTreeMap;
use std::fmt;

use hmac::Hmac;
use hmac::Mac as _;
use sha2::Digest as _;
use sha2::Sha256;

use super::FRAME_BYTES_MAX;
use super::Frame;
use crate::name;

/// Separates this use of the fleet key from any other.
const DOMAIN: &[u8] = b"snipeusher gossip 1\0";

/// How far the send time may lie from the receiver's clock, in milliseconds.
///
/// Clocks of hosts differ by far less, and a frame that waited longer says nothing of use.
pub const REPLAY_WINDOW_MS: u64 = 30_000;

/// Frames of one sender that may overtake each other before the older one is refused.
const REORDER_FRAMES: u64 = 64;

/// The key that all routers of a fleet share.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Takes a secret of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(DOMAIN);
        mac.update(body);
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(redacted)")
    }
}

/// Why a frame is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It is longer than [`FRAME_BYTES_MAX`].
    TooLarge,
    /// The proof is missing or wrong.
    Proof,
    /// The proof is right, but the bytes are not a frame of this version.
    Malformed,
    /// It is meant for another router.
    Receiver,
    /// It names this router as its sender.
    OwnName,
    /// Its send time is too far from this router's clock.
    Time,
    /// It arrived before, or so late that this cannot be told.
    Replay,
    /// The sender has been replaced by a later run.
    Incarnation,
}

/// Refused frames by reason.
pub type Refusals = BTreeMap<Refusal, u64>;

/// A frame ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Body of the request.
    pub body: Vec<u8>,
    /// Value of the header `X-Fleet-Proof`.
    pub proof: String,
}

#[derive(Debug)]
struct Seen {
    incarnation: name::Incarnation,
    highest: u64,
    /// Bit `n` stands for the frame `highest - n`.
    bitmap: u64,
    last_ms: u64,
}

/// Seals own frames and checks those of others.
#[derive(Debug)]
pub struct Authenticator {
    key: Key,
    own: name::Host,
    address: String,
    seen: BTreeMap<name::Host, Seen>,
    refusals: Refusals,
}

impl Authenticator {
    /// Starts with no frame seen. Frames for `own` or for `address` are accepted.
    pub const fn new(key: Key, own: name::Host, address: String) -> Self {
        Self {
            key,
            own,
            address,
            seen: BTreeMap::new(),
            refusals: BTreeMap::new(),
        }
    }

    /// Refused frames so far, by reason.
    pub const fn refusals(&self) -> &Refusals {
        &self.refusals
    }

    /// Encodes a frame with its proof.
    pub fn sign(&self, frame: &Frame) -> Envelope {
        let body = frame.encode();
        let proof = hex::encode(self.key.mac(&body).finalize().into_bytes());
        Envelope { body, proof }
    }

    /// Checks and decodes a frame that arrived at `wall_ms`. The proof is compared in constant
    /// time before anything is parsed.
    pub fn verify(&mut self, wall_ms: u64, body: &[u8], proof: &str) -> Result<Frame, Refusal> {
        let result = self.check(wall_ms, body, proof);
        if let Err(refusal) = result {
            self.count(refusal);
        }
        result
    }

    /// Counts a frame that was refused for a reason only the caller knows.
    pub fn count(&mut self, refusal: Refusal) {
        *self.refusals.entry(refusal).or_default() += 1;
    }

    fn check(&mut self, wall_ms: u64, body: &[u8], proof: &str) -> Result<Frame, Refusal> {
        if body.len() > FRAME_BYTES_MAX {
            return Err(Refusal::TooLarge);
        }
        let mut given = [0_u8; 32];
        hex::decode_to_slice(proof, &mut given).map_err(|_malformed| Refusal::Proof)?;
        // `verify_slice` compares in constant time.
        let mac = self.key.mac(body);
        mac.verify_slice(&given).map_err(|_wrong| Refusal::Proof)?;
        let frame = Frame::decode(body).map_err(|_malformed| Refusal::Malformed)?;
        if frame.to != self.own.as_str() && frame.to != self.address {
            return Err(Refusal::Receiver);
        }
        if frame.from.host == self.own {
            return Err(Refusal::OwnName);
        }
        if frame.sent_ms.abs_diff(wall_ms) > REPLAY_WINDOW_MS {
            return Err(Refusal::Time);
        }
        self.admit(wall_ms, &frame)?;
        Ok(frame)
    }

    fn admit(&mut self, wall_ms: u64, frame: &Frame) -> Result<(), Refusal> {
        // Older frames are refused for their send time, so their numbers need no memory.
        self.seen
            .retain(|_, seen| seen.last_ms.saturating_add(2 * REPLAY_WINDOW_MS) >= wall_ms);
        let fresh = Seen {
            incarnation: frame.from.incarnation,
            highest: frame.from.heartbeat,
            bitmap: 1,
            last_ms: wall_ms,
        };
        let Some(seen) = self.seen.get_mut(&frame.from.host) else {
            self.seen.insert(frame.from.host.clone(), fresh);
            return Ok(());
        };
        if frame.from.incarnation > seen.incarnation {
            *seen = fresh;
            return Ok(());
        }
        if frame.from.incarnation < seen.incarnation {
            // The caller may still tell the sender of the later run.
            return Ok(());
        }
        seen.last_ms = wall_ms;
        let number = frame.from.heartbeat;
        if number > seen.highest {
            let shift = u32::try_from(number - seen.highest).unwrap_or(u32::MAX);
            seen.bitmap = seen.bitmap.checked_shl(shift).unwrap_or(0) | 1;
            seen.highest = number;
            return Ok(());
        }
        let behind = seen.highest - number;
        if behind >= REORDER_FRAMES || seen.bitmap & (1 << behind) != 0 {
            return Err(Refusal::Replay);
        }
        seen.bitmap |= 1 << behind;
        Ok(())
    }
}
