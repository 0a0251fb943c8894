//! The assignment of jobs to nodes.
//!
//! The tests guard against nodes that disagree about the owner of a job, and against the loss of one node that moves
//! the jobs of others.

use eel_ledger::owner_of;
use eel_types::Name;
use quickcheck::QuickCheck;

#[test]
fn order_does_not_matter() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(job: String, nodes: Vec<String>) -> bool {
        let mut nodes: Vec<Name> = nodes.into_iter().map(Name::from).collect();
        let first = owner_of(&job, nodes.iter()).cloned();
        nodes.reverse();
        first == owner_of(&job, nodes.iter()).cloned()
    }
    QuickCheck::new().quickcheck(holds as fn(String, Vec<String>) -> bool);
}

#[test]
fn jobs_of_a_lost_node_move() {
    let nodes = ["a", "b", "c"].map(Name::from);
    let mut counts = [0; 3];
    for number in 0..3_000 {
        let job = format!("job-{number}");
        let owner = owner_of(&job, nodes.iter()).expect("an owner");
        let without: Vec<&Name> = nodes.iter().filter(|node| node.as_str() != "c").collect();
        let next = owner_of(&job, without.into_iter()).expect("an owner");
        assert!(
            owner.as_str() == "c" || owner == next,
            "{job} moved from {owner} to {next}"
        );
        counts[usize::from(owner.as_bytes()[0] - b'a')] += 1;
    }
    assert!(
        counts.iter().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}
