//! Load generator, named experiments and capacity measurements.
