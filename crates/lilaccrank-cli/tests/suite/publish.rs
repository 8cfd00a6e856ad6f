//! Publishing through the daemons of a real cluster.

use std::time::{Duration, Instant};

use lilaccrank_lab::layout::Layout;
use serde_json::{Value, json};

use crate::cluster;
use crate::test::{Ran, Test};

/// The rule that refuses one customer, for another reason each time.
fn refusal(reason: &str) -> String {
    json!({"id": "refuse-hotel", "when": {"customer": ["hotel"]}, "then": {"refuse": reason}})
        .to_string()
}

#[test]
fn wait_ends_when_each_daemon_has_it_in_force() {
    cluster::with(cluster::one_data_centre(3, 1), async |cluster| {
        cluster::run(&cluster, "rules move jobs --before models --wait")
            .stdout("published generation 2")
            .run();
        assert_eq!(cluster::generations(&cluster).await, [2, 2, 2]);
        let asked = cluster::run(&cluster, "explain --customer hotel --path /jobs/1");
        asked
            .stdout("rule jobs sends it to pool services")
            .stdout("jobs: decides")
            .run();
    });
}

/// A daemon that takes connections but does not answer, as a frozen one, may go on by an old
/// configuration when it thaws. If `--wait` took its silence for consent, the operator would be
/// told that the change is in force everywhere. It is the only daemon of its data centre, so
/// that nobody there declares it dead.
#[test]
fn wait_names_a_frozen_daemon() {
    cluster::with(Layout::three_data_centres(1), async |cluster| {
        let admins: Vec<_> = cluster
            .daemons
            .iter()
            .map(|d| d.admin.to_string())
            .collect();
        let admins: Vec<_> = admins.iter().map(String::as_str).collect();
        let frozen = &cluster.daemons[2];
        frozen.process.freeze().unwrap();
        let args = "rules move jobs --before models --wait --wait-limit 1 --json";
        let error = cluster::run_at(&admins, args).exit(7).run().error();
        let lacking = &error["error"]["lacking"];
        assert_eq!(lacking.as_array().unwrap().len(), 1, "{lacking}");
        assert_eq!(lacking[0]["vm"], frozen.admin.to_string());
        frozen.process.thaw().unwrap();
        let wait = "rules move jobs --after models --wait";
        cluster::run_at(&admins, wait)
            .stdout("published generation 3")
            .run();
        assert_eq!(cluster::generations(&cluster).await, [3, 3, 3]);
    });
}

/// Two operators publish at the same moment through two daemons, each over generation 1. If the
/// base were not compared with what is in force at the moment of the write, the later of the
/// two would undo the other's change without a word.
#[test]
fn a_race_has_one_winner_and_one_conflict_that_shows_the_difference() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        let race = |at: usize, id: &str| {
            let mut document = cluster.document.clone();
            let mut rule = document.rules[1].clone();
            rule.id = id.to_owned();
            rule.when.path = Some(format!("/jobs/{id}"));
            document.rules.insert(0, rule);
            let text = serde_json::to_string(&document).unwrap();
            let admin = cluster.daemons[at].admin.to_string();
            let run = cluster::run_at(&[&admin], "rules publish d.json --base 1 --json");
            run.file("d.json", &text).start()
        };
        let runs = [("a", race(0, "a")), ("b", race(1, "b"))];
        let [(a, (a_code, a_ran)), (b, (b_code, b_ran))] = runs.map(|(id, run)| (id, run.end()));
        let (winner, loser) = match (a_code, b_code) {
            (0, 5) => (a, b_ran),
            (5, 0) => (b, a_ran),
            codes => panic!("{codes:?}\n{}\n{}", a_ran.stderr, b_ran.stderr),
        };
        let failure = &loser.error()["error"]["failure"];
        assert_eq!(failure["kind"], "conflict");
        assert_eq!(failure["in_force"]["generation"], 2);
        let changes = &failure["difference"]["rules"];
        assert_eq!(changes[0]["id"], winner);
        assert_eq!(changes[0]["kind"], "added");
        assert_eq!(changes.as_array().unwrap().len(), 1);
        let shown = cluster::run(&cluster, "rules show --json").run().json();
        assert_eq!(shown["document"]["rules"][0]["id"], winner);
    });
}

#[test]
fn edits_and_rollback_are_new_generations() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        let run = |args: &str| cluster::run(&cluster, args);
        let set = run("rules edit --set - --before models --wait").stdin(&refusal("unpaid"));
        set.stdout("published generation 2").run();
        let asked = run("explain --customer hotel --model lab");
        asked
            .stdout("refused by rule refuse-hotel (refused_by_rule): unpaid")
            .run();
        run("rules rollback 1 --wait")
            .stdout("published generation 3")
            .run();
        run("rules diff 1 in-force").stdout("no difference").run();
        run("rules diff 1 2")
            .stdout("rule refuse-hotel added (position 0)")
            .run();
        run("explain --customer hotel --model lab")
            .stdout("rule models sends it")
            .run();
        let history = run("rules history --json").run().json();
        let entries = history["entries"].as_array().unwrap().clone();
        let generation = |entry: &Value| entry["identity"]["generation"].as_u64();
        assert_eq!(
            entries.iter().filter_map(generation).collect::<Vec<_>>(),
            [3, 2, 1]
        );
        assert_eq!(entries[0]["author"], "operator");
        assert_eq!(entries[2]["author"], "lab");
        run("rules rollback 9")
            .exit(4)
            .stderr("generation 9 is not kept")
            .run();
        run("rules edit --remove nothing")
            .exit(4)
            .stderr("no rule `nothing`")
            .run();
        assert_eq!(cluster::generations(&cluster).await, [3, 3]);
    });
}

#[test]
fn an_editor_that_spoils_the_document_publishes_nothing() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        let edit = |editor: &str| cluster::run(&cluster, "rules edit").env("VISUAL", editor);
        edit("true").stderr("nothing was changed").run();
        edit("false")
            .exit(8)
            .stderr("the editor `false` failed")
            .run();
        let spoilt = edit("sed -i s/bulk/urgent/")
            .exit(1)
            .stderr("your draft is in")
            .run();
        std::fs::remove_file(draft(&spoilt)).unwrap();
        edit("sed -i s/10000/9000/")
            .stdout("published generation 2")
            .run();
    });
}

/// Another operator publishes while the first one's editor is open. The second publication is
/// refused, and an hour's edits would be gone if the draft went with it.
#[test]
fn a_conflict_keeps_the_draft() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        let editor = "lilaccrank rules move jobs --before models --wait\nsed -i s/10000/9000/ $1";
        let editor = editor.replace("lilaccrank", env!("CARGO_BIN_EXE_lilaccrank"));
        let edit = cluster::run(&cluster, "rules edit").env("VISUAL", "sh editor.sh");
        let edit = edit.file("editor.sh", &editor).exit(5);
        let ran = edit
            .stderr("rule jobs moved")
            .stderr("your draft is in")
            .run();
        let draft = draft(&ran);
        let diff = cluster::run(&cluster, "rules diff 1").arg(&draft);
        diff.stdout("pool engines changed").run();
        std::fs::remove_file(draft).unwrap();
    });
}

/// Where an edit says that it has left the draft.
fn draft(ran: &Ran) -> String {
    let draft = ran.stderr.split("your draft is in ").nth(1).unwrap();
    draft.split(':').next().unwrap().to_owned()
}

/// The same attempt is sent again, as after a lost answer. Without the id, the second one would
/// be published anew, over what others published in between.
#[test]
fn the_same_attempt_publishes_once() {
    cluster::with(cluster::one_data_centre(2, 1), async |cluster| {
        let attempt = || -> Test {
            let run = cluster::run(&cluster, "rules publish d.json --base 1 --id mine");
            let mut document = cluster.document.clone();
            document.rules.swap(0, 1);
            run.file("d.json", &serde_json::to_string(&document).unwrap())
        };
        attempt().stdout("published generation 2 (mine)").run();
        cluster::run(&cluster, "rules rollback 1")
            .stdout("published generation 3")
            .run();
        attempt().stdout("published generation 2 (mine)").run();
        cluster::run(&cluster, "rules diff 1 in-force")
            .stdout("no difference")
            .run();
    });
}

/// The first daemon of the command line is frozen: it takes the connection and says nothing.
/// The next one is asked, and what goes through it is in force on all that live. The frozen one
/// thaws with the old configuration and has to catch up within the promised four seconds.
#[test]
fn a_frozen_daemon_is_passed_over() {
    cluster::with(cluster::one_data_centre(3, 1), async |cluster| {
        let admins = [0, 1].map(|at| cluster.daemons[at].admin.to_string());
        cluster.daemons[0].process.freeze().unwrap();
        let publish = "rules move jobs --before models --wait";
        let run = cluster::run_at(&[&admins[0], &admins[1]], publish);
        run.stdout("published generation 2").run();
        cluster.daemons[0].process.thaw().unwrap();
        let until = Instant::now() + Duration::from_secs(4);
        while cluster::generations(&cluster).await != [2, 2, 2] {
            assert!(Instant::now() < until);
        }
    });
}
