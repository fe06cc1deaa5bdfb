//! Load generator, named experiments and capacity measurements.

pub mod capacity;
pub mod shift;
