//! Small stand-ins for the platform and the backend servers, with switchable faults.
