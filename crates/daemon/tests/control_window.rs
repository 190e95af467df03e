//! Usage of control work over a sliding window.

use lw_base::MonoMs;
use lw_daemon::{ControlSample, ControlWindow};

fn sample(second: u64, bytes: u64, busy_us: u64) -> ControlSample {
    ControlSample {
        at: MonoMs(second * 1_000),
        bytes,
        busy_us,
        resident_bytes: Some(1_000 + second),
    }
}

/// Guards against averaging since the start, which hides an increase, and against a rate from a single sample.
#[test]
fn rates_cover_the_last_minute() {
    let mut window = ControlWindow::default();
    let measured = |window: &ControlWindow| window.metrics().map(|metric| metric.measured);
    assert_eq!(measured(&window), [None, None, None]);
    window.push(sample(0, 500, 0));
    assert_eq!(measured(&window), [None, None, Some(1_000.0)]);
    for second in 1..=100 {
        window.push(sample(second, 500 + second * 100, second * 2_000));
    }
    assert_eq!(measured(&window), [Some(100.0), Some(0.002), Some(1_100.0)]);
    for second in 101..=160 {
        let since = second - 100;
        window.push(sample(
            second,
            10_500 + since * 13_000,
            200_000 + since * 20_000,
        ));
    }
    assert_eq!(
        measured(&window),
        [Some(13_000.0), Some(0.02), Some(1_160.0)]
    );
}
