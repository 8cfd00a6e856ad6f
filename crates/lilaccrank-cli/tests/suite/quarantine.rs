//! Quarantines of a real cluster.

use crate::cluster;

/// Guards against a lift that names no quarantine and looks as if it had worked.
#[test]
fn an_unknown_quarantine_is_not_lifted() {
    cluster::with(cluster::one_data_centre(2, 2), async |cluster| {
        cluster::run(&cluster, "quarantine list").run();
        cluster::run(&cluster, "quarantine lift 6ec3ddb86410d4f6")
            .exit(4)
            .stderr("no quarantine `6ec3ddb86410d4f6`")
            .run();
    });
}
