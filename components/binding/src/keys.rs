//! Message authentication codes (keyed blake3 hashes) for tickets and peer messages.

use std::fmt;

use config::KeySettings;
use error_stack::Report;
use smallvec::SmallVec;

/// Key id sent with each MAC.
pub type KeyId = u32;
/// Message authentication code: keyed blake3 hash.
pub type Mac = [u8; blake3::OUT_LEN];
pub type Result<T, E = Report<KeyError>> = std::result::Result<T, E>;

const MIN_SECRET_CHARS: usize = 16;
const TICKET_CONTEXT: &str = "rosemaryglade 2026-12 ticket";
const PEER_CONTEXT: &str = "rosemaryglade 2026-12 peer message";

/// Reason why the keys of the settings file are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    NoKeys,
    /// The secret of this key has fewer than 16 characters.
    ShortSecret(KeyId),
    /// Two keys have this id.
    DuplicateId(KeyId),
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyError::NoKeys => f.write_str("settings `keys` is empty; add at least one key"),
            KeyError::ShortSecret(id) => write!(
                f,
                "secret of key {id} has fewer than {MIN_SECRET_CHARS} characters; use a longer one"
            ),
            KeyError::DuplicateId(id) => {
                write!(f, "key id {id} is used twice; give each key its own id")
            }
        }
    }
}

impl std::error::Error for KeyError {}

/// Purpose of a MAC. A MAC made in one context never verifies in the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyContext {
    Ticket,
    /// Messages between entry VMs.
    PeerMessage,
}

/// Keys of one process: the first key signs, all keys verify.
#[derive(Clone)]
pub struct KeyRing {
    /// Derived keys in the order of the settings file, never empty.
    keys: SmallVec<[Key; 2]>,
}

#[derive(Clone)]
struct Key {
    id: KeyId,
    ticket: [u8; blake3::KEY_LEN],
    peer: [u8; blake3::KEY_LEN],
}

impl Key {
    fn derive(settings: &KeySettings) -> Key {
        let secret = settings.secret.as_bytes();
        Key {
            id: settings.id,
            ticket: blake3::derive_key(TICKET_CONTEXT, secret),
            peer: blake3::derive_key(PEER_CONTEXT, secret),
        }
    }

    fn hash(&self, context: KeyContext, bytes: &[u8]) -> blake3::Hash {
        let key = match context {
            KeyContext::Ticket => &self.ticket,
            KeyContext::PeerMessage => &self.peer,
        };
        blake3::keyed_hash(key, bytes)
    }
}

impl KeyRing {
    /// Derives the keys of all contexts from the settings.
    pub fn new(settings: &[KeySettings]) -> Result<KeyRing> {
        if settings.is_empty() {
            return Err(Report::new(KeyError::NoKeys));
        }
        for (i, key) in settings.iter().enumerate() {
            if key.secret.chars().count() < MIN_SECRET_CHARS {
                return Err(Report::new(KeyError::ShortSecret(key.id)));
            }
            if settings[..i].iter().any(|k| k.id == key.id) {
                return Err(Report::new(KeyError::DuplicateId(key.id)));
            }
        }
        Ok(KeyRing {
            keys: settings.iter().map(Key::derive).collect(),
        })
    }

    pub fn signing_key_id(&self) -> KeyId {
        self.keys[0].id
    }

    /// Computes the MAC of `bytes` with the signing key.
    pub fn sign(&self, context: KeyContext, bytes: &[u8]) -> (KeyId, Mac) {
        let key = &self.keys[0];
        (key.id, *key.hash(context, bytes).as_bytes())
    }

    /// Returns whether `mac` is the MAC of `bytes` under key `id`. The comparison runs in constant
    /// time.
    pub fn verify(&self, context: KeyContext, id: KeyId, bytes: &[u8], mac: &Mac) -> bool {
        let Some(key) = self.keys.iter().find(|key| key.id == id) else {
            return false;
        };
        // `blake3::Hash` compares in constant time; arrays do not.
        key.hash(context, bytes) == blake3::Hash::from_bytes(*mac)
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids: SmallVec<[KeyId; 2]> = self.keys.iter().map(|key| key.id).collect();
        f.debug_struct("KeyRing")
            .field("ids", &ids)
            .finish_non_exhaustive()
    }
}
