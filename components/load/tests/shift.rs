//! Goals of the experiment `shift`.

/// Guards against shares that move faster than the cap when entry VMs adopt reversed shifts late, and
/// against an experiment whose baseline keeps the cap as well.
#[test]
fn cap_holds_and_baseline_does_not() {
    for seed in [1, 2] {
        let report = load::shift::run(seed);
        println!("{report}");
        assert!(report.met());
        assert!(report.baseline_sum_moved_max > report.cap);
    }
}
