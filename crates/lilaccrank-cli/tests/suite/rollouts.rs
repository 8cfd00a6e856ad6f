//! Roll-outs of a real cluster.

use crate::cluster;

/// Guards against a view that needs a roll-out to be under way.
#[test]
fn without_an_order_none_is_shown() {
    cluster::with(cluster::one_data_centre(2, 2), async |cluster| {
        cluster::run(&cluster, "rollouts").stdout("").run();
        cluster::run(&cluster, "rollouts --json")
            .stdout(r#""rollouts": []"#)
            .run();
    });
}
