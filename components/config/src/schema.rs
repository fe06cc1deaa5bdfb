//! Schemas of the inventory, rules and settings files: field names, value types and whether a field
//! is required.

/// Type of a value.
#[derive(Clone, Copy)]
pub(crate) enum ValueType {
    String,
    /// A string that must not appear in any message.
    Secret,
    /// A socket address, `IP:PORT`.
    SocketAddress,
    /// A finite number.
    Number,
    /// An integer from 0 to the given maximum.
    Integer(u64),
    /// One of the given strings.
    Enum(&'static [&'static str]),
    /// An object with a fixed set of fields.
    Object(&'static [Field]),
    Array(&'static ValueType),
    /// An object that maps arbitrary names to values of one type.
    Map(&'static ValueType),
}

#[derive(Clone, Copy)]
pub(crate) struct Field {
    pub name: &'static str,
    pub value_type: ValueType,
    /// False if the field has a default.
    pub required: bool,
}

const fn required(name: &'static str, value_type: ValueType) -> Field {
    Field {
        name,
        value_type,
        required: true,
    }
}

const fn optional(name: &'static str, value_type: ValueType) -> Field {
    Field {
        name,
        value_type,
        required: false,
    }
}

const U32: ValueType = ValueType::Integer(u32::MAX as u64);
const U64: ValueType = ValueType::Integer(u64::MAX);
const NAMES: ValueType = ValueType::Array(&ValueType::String);

/// Fields of the inventory file.
pub(crate) const INVENTORY: &[Field] = &[
    optional("regions", ValueType::Array(&ValueType::Object(REGION))),
    optional("domains", ValueType::Array(&ValueType::Object(DOMAIN))),
    optional("entry_vms", ValueType::Array(&ValueType::Object(ENTRY_VM))),
    optional("services", ValueType::Array(&ValueType::Object(SERVICE))),
    optional("servers", ValueType::Array(&ValueType::Object(SERVER))),
    optional("links", ValueType::Array(&ValueType::Object(LINK))),
    optional(
        "client_blocks",
        ValueType::Array(&ValueType::Object(CLIENT_BLOCK)),
    ),
];

const REGION: &[Field] = &[
    required("id", ValueType::String),
    optional("domain_delay_ms", ValueType::Number),
];

const DOMAIN: &[Field] = &[
    required("id", ValueType::String),
    required("region", ValueType::String),
];

const ENTRY_VM: &[Field] = &[
    required("id", ValueType::String),
    required("domain", ValueType::String),
    required("caller_address", ValueType::SocketAddress),
    required("peer_address", ValueType::SocketAddress),
    required("operator_address", ValueType::SocketAddress),
];

const SERVICE: &[Field] = &[
    required("id", ValueType::String),
    required(
        "class",
        ValueType::Enum(&["binding", "idempotent", "deferrable"]),
    ),
];

const SERVER: &[Field] = &[
    required("id", ValueType::String),
    required("service", ValueType::String),
    required("domain", ValueType::String),
    required("address", ValueType::SocketAddress),
    required("slots", U32),
    required("connections", U32),
];

const LINK: &[Field] = &[
    required("from", ValueType::String),
    required("to", ValueType::String),
    required("bytes_per_second", U64),
    optional("delay_ms", ValueType::Number),
];

const CLIENT_BLOCK: &[Field] = &[
    required("prefix", ValueType::String),
    required("domain", ValueType::String),
];

/// Fields of the rules file.
pub(crate) const RULES: &[Field] = &[
    optional("shift_cap_per_minute", ValueType::Number),
    optional("failover_cap_per_minute", ValueType::Number),
    optional("retry_budget", ValueType::Number),
    optional("default_deadline_ms", U64),
    optional("ticket_lifetime_ms", U64),
    optional("look_up_lifetime_ms", U64),
    optional("deferrable_slot_share", ValueType::Number),
    optional("drains", ValueType::Object(DRAINS)),
    optional("shifts", ValueType::Map(&ValueType::Object(SHIFT))),
];

const DRAINS: &[Field] = &[
    optional("servers", NAMES),
    optional("entry_vms", NAMES),
    optional("domains", NAMES),
    optional("regions", NAMES),
];

const SHIFT: &[Field] = &[
    required("from", ValueType::Map(&ValueType::Number)),
    required("to", ValueType::Map(&ValueType::Number)),
    required("start_ms", U64),
    required("reason", ValueType::Enum(&["planned", "failover"])),
];

/// Fields of the settings file of an entry VM process.
pub(crate) const SETTINGS: &[Field] = &[
    required("id", ValueType::String),
    required("domain", ValueType::String),
    required("caller_address", ValueType::SocketAddress),
    required("peer_address", ValueType::SocketAddress),
    required("operator_address", ValueType::SocketAddress),
    optional("platform", ValueType::Array(&ValueType::SocketAddress)),
    optional("seeds", ValueType::Array(&ValueType::SocketAddress)),
    required("keys", ValueType::Array(&ValueType::Object(KEY))),
    optional("threads", U32),
    optional("max_request_body", U64),
    optional("max_response_body", U64),
];

const KEY: &[Field] = &[required("id", U32), required("secret", ValueType::Secret)];
