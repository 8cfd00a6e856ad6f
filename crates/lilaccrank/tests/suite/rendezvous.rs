//! Tests of rendezvous hashing against a full sort, and of its stability when a member leaves.

use indexmap::IndexSet;
use lilaccrank::rendezvous;
use quickcheck::quickcheck;

fn naive(key: &str, members: &IndexSet<String>) -> Vec<String> {
    let mut sorted: Vec<_> = members.iter().cloned().collect();
    sorted.sort_by_key(|vm| (rendezvous::weight(key, vm), vm.clone()));
    sorted.reverse();
    sorted
}

quickcheck! {
    fn top_is_the_head_of_a_full_sort(key: String, vms: Vec<String>, count: usize) -> bool {
        let members: IndexSet<_> = vms.into_iter().collect();
        let count = count % (members.len() + 2);
        let mut expected = naive(&key, &members);
        expected.truncate(count);
        let top = rendezvous::top(&key, &members, count);
        top.into_iter().eq(&expected)
    }

    fn owners_are_the_first_two(key: String, vms: Vec<String>) -> bool {
        let members: IndexSet<_> = vms.into_iter().collect();
        let sorted = naive(&key, &members);
        let owners = rendezvous::owners(&key, &members);
        owners.map(|o| o.primary) == sorted.first()
            && owners.and_then(|o| o.backup) == sorted.get(1)
            && rendezvous::owner(&key, &members) == sorted.first()
    }

    fn second_takes_over_when_the_first_leaves(key: String, vms: Vec<String>) -> bool {
        let mut members: IndexSet<_> = vms.into_iter().collect();
        let Some(owners) = rendezvous::owners(&key, &members) else {
            return members.is_empty();
        };
        let (first, second) = (owners.primary.clone(), owners.backup.cloned());
        members.swap_remove(&first);
        rendezvous::owner(&key, &members).cloned() == second
    }
}

#[test]
fn a_leaving_member_moves_only_its_own_keys() {
    let vms: Vec<_> = (0..100).map(|i| format!("vm-{i}")).collect();
    let mut moved = 0;
    for key in (0..10_000).map(|i| format!("duty-{i}")) {
        let before = rendezvous::owner(&key, &vms).expect("members");
        let after = rendezvous::owner(&key, &vms[1..]).expect("members");
        assert!(before == after || *before == vms[0]);
        moved += u32::from(before != after);
    }
    assert!(
        (60..140).contains(&moved),
        "{moved} of 10,000 keys moved, about 100 expected"
    );
}
