//! Tests that the hosts at which a request may run count over retries and resumptions.

use pool::RunLimit;
use world::Name;

#[test]
fn hosts_count_once_and_until_they_have_ended() {
    let mut limit = RunLimit::new(2);
    let [a, b, c] = ["a", "b", "c"].map(Name::from);
    assert!(limit.allows_another());
    limit.record_send(&a);
    limit.record_send(&a);
    assert!(limit.allows_another());
    limit.record_send(&b);
    assert!(!limit.allows_another());
    limit.record_unrun("a");
    assert!(limit.allows_another());
    limit.record_send(&c);
    assert!(!limit.allows_another());
    assert_eq!(limit.hosts(), [b, c]);
}

#[test]
fn refused_send_does_not_count() {
    let mut limit = RunLimit::new(1);
    limit.record_send(&Name::from("a"));
    limit.record_unrun("a");
    limit.record_unrun("b");
    assert!(limit.allows_another());
}
