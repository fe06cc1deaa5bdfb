//! Experiment `shift`.

/// Guards against a shift past its cap when generations arrive late and are reversed on the way,
/// and against an experiment whose baseline would pass as well.
#[test]
fn cap_holds_and_baseline_does_not() {
    for seed in [1, 2] {
        let report = load::shift::run(seed);
        println!("{report}");
        assert!(report.met());
        assert!(report.baseline_sum_worst > report.cap);
    }
}
