//! Client of the platform: table service, object store, VM list and the configuration head.
