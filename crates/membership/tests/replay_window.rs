//! Detection of message counters that were received before.

use membership::replay_window::ReplayWindow;

#[test]
fn each_counter_is_accepted_once_within_the_window() {
    let mut window = ReplayWindow::default();
    for (counter, is_new) in [
        (1, true),
        (1, false),
        (5, true),
        (3, true),
        (3, false),
        (4, true),
        (200, true),
        (100, true),
        (71, false),
        (5, false),
        (200, false),
    ] {
        assert_eq!(window.accept(counter), is_new, "counter {counter}");
    }
}
