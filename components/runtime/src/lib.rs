//! Executor threads, timer service, task helpers and the metrics recorder.
