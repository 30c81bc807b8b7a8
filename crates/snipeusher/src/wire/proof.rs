//! Authentication of frames: sender in the fleet, intended receiver, send time and replay.
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

/// Prefix of the signed bytes, which separates this use of the fleet key from others.
const SIGNING_DOMAIN: &[u8] = b"snipeusher gossip 1\0";

/// Largest difference between the send time and the receiver's clock, in milliseconds.
///
/// Clocks of hosts differ by far less, and a frame that was delayed for longer is outdated.
pub const REPLAY_WINDOW_MS: u64 = 30_000;

/// A frame that arrives after this many later frames of the same sender is refused.
const REORDER_FRAMES: u64 = 64;

/// Secret key shared by all routers of a fleet.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from a secret of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(SIGNING_DOMAIN);
        mac.update(body);
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(redacted)")
    }
}

/// Reason for refusing a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The frame is longer than [`FRAME_BYTES_MAX`].
    TooLarge,
    /// The proof is missing or wrong.
    Proof,
    /// The proof is right, but the bytes are not a frame of this version.
    Malformed,
    /// The frame is addressed to another router.
    Receiver,
    /// The frame names this router as its sender.
    OwnName,
    /// The send time differs too much from this router's clock.
    Time,
    /// The frame was received before, or it is so old that this can no longer be determined.
    Replay,
    /// A later incarnation of the sender is known.
    Incarnation,
}

/// Number of refused frames by reason.
pub type Refusals = BTreeMap<Refusal, u64>;

/// An encoded frame with its proof.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Request body.
    pub body: Vec<u8>,
    /// Value of the header `X-Fleet-Proof`.
    pub proof: String,
}

/// Replay window of one sender.
#[derive(Debug)]
struct Window {
    incarnation: name::Incarnation,
    highest: u64,
    /// Bit `n` is set if frame `highest - n` was received.
    bitmap: u64,
    last_ms: u64,
}

/// Signs own frames and verifies received ones.
#[derive(Debug)]
pub struct Authenticator {
    key: Key,
    host: name::Host,
    address: String,
    windows: BTreeMap<name::Host, Window>,
    refusals: Refusals,
}

impl Authenticator {
    /// Creates an authenticator that accepts frames addressed to `host` or to `address`.
    pub const fn new(key: Key, host: name::Host, address: String) -> Self {
        Self {
            key,
            host,
            address,
            windows: BTreeMap::new(),
            refusals: BTreeMap::new(),
        }
    }

    /// Number of refused frames by reason.
    pub const fn refusals(&self) -> &Refusals {
        &self.refusals
    }

    /// Encodes and signs a frame.
    pub fn sign(&self, frame: &Frame) -> Envelope {
        let body = frame.encode();
        let proof = hex::encode(self.key.mac(&body).finalize().into_bytes());
        Envelope { body, proof }
    }

    /// Verifies and decodes a frame received at `wall_ms`. The proof is compared in constant time
    /// before the body is parsed.
    pub fn verify(&mut self, wall_ms: u64, body: &[u8], proof: &str) -> Result<Frame, Refusal> {
        let result = self.check(wall_ms, body, proof);
        if let Err(refusal) = result {
            self.count(refusal);
        }
        result
    }

    /// Counts a frame as refused; callers use it for their own checks.
    pub fn count(&mut self, refusal: Refusal) {
        *self.refusals.entry(refusal).or_default() += 1;
    }

    fn check(&mut self, wall_ms: u64, body: &[u8], proof: &str) -> Result<Frame, Refusal> {
        if body.len() > FRAME_BYTES_MAX {
            return Err(Refusal::TooLarge);
        }
        let mut received = [0_u8; 32];
        hex::decode_to_slice(proof, &mut received).map_err(|_malformed| Refusal::Proof)?;
        // `verify_slice` compares in constant time.
        let mac = self.key.mac(body);
        mac.verify_slice(&received)
            .map_err(|_wrong| Refusal::Proof)?;
        let frame = Frame::decode(body).map_err(|_malformed| Refusal::Malformed)?;
        if frame.to != self.host.as_str() && frame.to != self.address {
            return Err(Refusal::Receiver);
        }
        if frame.from.host == self.host {
            return Err(Refusal::OwnName);
        }
        if frame.sent_ms.abs_diff(wall_ms) > REPLAY_WINDOW_MS {
            return Err(Refusal::Time);
        }
        self.check_replay(wall_ms, &frame)?;
        Ok(frame)
    }

    fn check_replay(&mut self, wall_ms: u64, frame: &Frame) -> Result<(), Refusal> {
        // Older frames are refused for their send time, so their sequence numbers are not kept.
        self.windows
            .retain(|_, window| window.last_ms.saturating_add(2 * REPLAY_WINDOW_MS) >= wall_ms);
        let new_window = Window {
            incarnation: frame.from.incarnation,
            highest: frame.from.heartbeat,
            bitmap: 1,
            last_ms: wall_ms,
        };
        let Some(window) = self.windows.get_mut(&frame.from.host) else {
            self.windows.insert(frame.from.host.clone(), new_window);
            return Ok(());
        };
        if frame.from.incarnation > window.incarnation {
            *window = new_window;
            return Ok(());
        }
        if frame.from.incarnation < window.incarnation {
            // The caller refuses the frame and may notify the sender of the later incarnation.
            return Ok(());
        }
        window.last_ms = wall_ms;
        let number = frame.from.heartbeat;
        if number > window.highest {
            let shift = u32::try_from(number - window.highest).unwrap_or(u32::MAX);
            window.bitmap = window.bitmap.checked_shl(shift).unwrap_or(0) | 1;
            window.highest = number;
            return Ok(());
        }
        let age = window.highest - number;
        if age >= REORDER_FRAMES || window.bitmap & (1 << age) != 0 {
            return Err(Refusal::Replay);
        }
        window.bitmap |= 1 << age;
        Ok(())
    }
}
