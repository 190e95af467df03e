//! Hosts that are cut off.

use crate::bed::{Bed, Told};
use lw_base::prelude::*;
use lw_stand::LinkState;

/// Guards against a cut-off host that serves for ever, or stops too early, and against others that suffer with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_is_cut_off_refuses_after_11_s_and_the_others_go_on() {
    let bed = Bed::with_hosts(&["a", "b", "c", "d"]).await;
    bed.publish_first().await;
    let serves = |bed: &Bed, name: &str| bed.host(name).node.may_serve(bed.clock.mono());
    assert_eq!(serves(&bed, "a"), Ok(()));
    let began = bed.clock.mono();
    bed.wires.set_cut("a", &["b", "c", "d"], true);
    bed.host("a").kv_link.set(LinkState::Down);
    bed.until("a host that refuses", |bed| {
        serves(bed, "a") == Err(ErrorKind::Isolated)
    })
    .await;
    let took_ms = bed.clock.mono().since_ms(began);
    println!("refuses after {took_ms} ms");
    // The last acknowledgement or answer may be some seconds old at the cut; a margin covers a busy machine.
    assert!((5_000..=16_000).contains(&took_ms), "took {took_ms} ms");
    for name in ["b", "c", "d"] {
        assert_eq!(serves(&bed, name), Ok(()), "{name}");
    }
    let id = bed.key();
    let told = bed.ask("a", id, true).await;
    assert!(
        matches!(told, Told::Refused(_, Outcome::NotRun)),
        "{told:?}"
    );
    bed.wires.set_cut("a", &["b", "c", "d"], false);
    bed.host("a").kv_link.set(LinkState::Up);
    bed.until("a host that serves again", |bed| serves(bed, "a") == Ok(()))
        .await;
    bed.settle().await;
    bed.run_keys("a", 20).await;
    bed.assert_no_key_ran_twice();
}

/// Guards against a host that hears the others, is not heard by them, and keeps running the keys of its shards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_nobody_hears_loses_its_shards() {
    let bed = Bed::with_hosts(&["a", "b", "c", "d"]).await;
    let keys = bed.run_keys("a", 40).await;
    for other in ["b", "c", "d"] {
        bed.wires.set_cut_one_way("a", other, true);
    }
    bed.until("no shard of a", |bed| {
        let owns = |host: &crate::bed::Host| host.status().owned_shards;
        owns(bed.host("a")) == 0 && bed.hosts.iter().map(owns).sum::<usize>() == 64
    })
    .await;
    bed.assert_replayed("b", &keys).await;
    bed.run_keys("c", 40).await;
    assert_eq!(
        bed.host("a").node.may_serve(bed.clock.mono()),
        Err(ErrorKind::NotReady)
    );
    bed.assert_no_key_ran_twice();
}

/// Guards against a host whose wall clock is off and that judges keys by it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_with_a_wrong_wall_clock_runs_no_keys() {
    let bed = Bed::with_hosts(&["a", "b", "c"]).await;
    let a = bed.host("a");
    assert!(a.node.clock_ok(bed.clock.mono()));
    let offset = &a.wall_offset_ms;
    offset.store(2_500, std::sync::atomic::Ordering::Relaxed);
    bed.until("a wrong clock that is noticed", |bed| {
        !bed.host("a").status().clock_ok
    })
    .await;
    bed.pass_ms(200).await;
    for _ in 0..20 {
        let told = bed.ask("a", bed.key(), true).await;
        let refused = Told::Refused(ErrorKind::ClaimRefused, Outcome::NotRun);
        assert_eq!(told, refused);
    }
    assert!(bed.runs.lock().is_empty());
}
