//! Fields of the three files: names, kinds and whether they may be left out.

/// Kind of a value.
#[derive(Clone, Copy)]
pub(crate) enum Kind {
    /// A text.
    Text,
    /// A text that no message may repeat.
    Secret,
    /// A socket address, `IP:PORT`.
    Address,
    /// A finite number.
    Number,
    /// A whole number from 0 to the given limit.
    Whole(u64),
    /// One of the given texts.
    Choice(&'static [&'static str]),
    /// An object with fixed fields.
    Object(&'static [Field]),
    /// A list.
    List(&'static Kind),
    /// An object that maps names to values.
    Map(&'static Kind),
}

/// A field of an object.
#[derive(Clone, Copy)]
pub(crate) struct Field {
    /// Name.
    pub name: &'static str,
    /// Kind of its value.
    pub kind: Kind,
    /// False if it has a default.
    pub required: bool,
}

const fn required(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: true,
    }
}

const fn optional(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: false,
    }
}

const U32: Kind = Kind::Whole(u32::MAX as u64);
const U64: Kind = Kind::Whole(u64::MAX);
const NAMES: Kind = Kind::List(&Kind::Text);

/// The inventory file.
pub(crate) const INVENTORY: &[Field] = &[
    optional("regions", Kind::List(&Kind::Object(REGION))),
    optional("domains", Kind::List(&Kind::Object(DOMAIN))),
    optional("entry_vms", Kind::List(&Kind::Object(ENTRY_VM))),
    optional("services", Kind::List(&Kind::Object(SERVICE))),
    optional("servers", Kind::List(&Kind::Object(SERVER))),
    optional("links", Kind::List(&Kind::Object(LINK))),
    optional("client_blocks", Kind::List(&Kind::Object(CLIENT_BLOCK))),
];

const REGION: &[Field] = &[
    required("id", Kind::Text),
    optional("domain_delay_ms", Kind::Number),
];

const DOMAIN: &[Field] = &[required("id", Kind::Text), required("region", Kind::Text)];

const ENTRY_VM: &[Field] = &[
    required("id", Kind::Text),
    required("domain", Kind::Text),
    required("caller_address", Kind::Address),
    required("peer_address", Kind::Address),
    required("operator_address", Kind::Address),
];

const SERVICE: &[Field] = &[
    required("id", Kind::Text),
    required(
        "class",
        Kind::Choice(&["binding", "idempotent", "deferrable"]),
    ),
];

const SERVER: &[Field] = &[
    required("id", Kind::Text),
    required("service", Kind::Text),
    required("domain", Kind::Text),
    required("address", Kind::Address),
    required("slots", U32),
    required("connections", U32),
];

const LINK: &[Field] = &[
    required("from", Kind::Text),
    required("to", Kind::Text),
    required("bytes_per_second", U64),
    optional("delay_ms", Kind::Number),
];

const CLIENT_BLOCK: &[Field] = &[
    required("prefix", Kind::Text),
    required("domain", Kind::Text),
];

/// The rules file.
pub(crate) const RULES: &[Field] = &[
    optional("shift_cap_per_minute", Kind::Number),
    optional("failover_cap_per_minute", Kind::Number),
    optional("retry_budget", Kind::Number),
    optional("default_deadline_ms", U64),
    optional("ticket_lifetime_ms", U64),
    optional("look_up_lifetime_ms", U64),
    optional("deferrable_slot_share", Kind::Number),
    optional("drains", Kind::Object(DRAINS)),
    optional("shifts", Kind::Map(&Kind::Object(SHIFT))),
];

const DRAINS: &[Field] = &[
    optional("servers", NAMES),
    optional("entry_vms", NAMES),
    optional("domains", NAMES),
    optional("regions", NAMES),
];

const SHIFT: &[Field] = &[
    required("from", Kind::Map(&Kind::Number)),
    required("to", Kind::Map(&Kind::Number)),
    required("start_ms", U64),
    required("reason", Kind::Choice(&["planned", "failover"])),
];

/// The settings file of an entry VM process.
pub(crate) const SETTINGS: &[Field] = &[
    required("id", Kind::Text),
    required("domain", Kind::Text),
    required("caller_address", Kind::Address),
    required("peer_address", Kind::Address),
    required("operator_address", Kind::Address),
    optional("platform", Kind::List(&Kind::Address)),
    optional("seeds", Kind::List(&Kind::Address)),
    required("keys", Kind::List(&Kind::Object(KEY))),
    optional("threads", U32),
    optional("max_request_body", U64),
    optional("max_response_body", U64),
];

const KEY: &[Field] = &[required("id", U32), required("secret", Kind::Secret)];
