//! Compares the three methods of subsetting, as a table: members, nodes, nodes of each member, method, highest load
//! over the mean, new choices after one member left and after one node left, and the load spread while half of the
//! members have a list that lacks a tenth of the members.

use quaypath_fleet::subset::{all_subsets, load_spread, new_choices, NodeHash, SubsetMethod};
use quaypath_fleet::MemberId;

fn main() {
    println!("| members | nodes | each | method | spread | new choices, one member less | new choices, one node less | spread, lists differ |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (members, nodes, count) in
        [(4, 12, 4), (8, 8, 3), (40, 49, 8), (170, 49, 8), (350, 200, 12), (1024, 1000, 20), (1024, 49, 8)]
    {
        let listed: Vec<MemberId> = (0..members).map(MemberId).collect();
        let all_nodes: Vec<NodeHash> =
            (0..nodes).map(|nth| NodeHash::of(&format!("10.0.0.{nth}:4420"))).collect();
        for method in [SubsetMethod::Rendezvous, SubsetMethod::Bounded, SubsetMethod::Rounds] {
            let before = all_subsets(method, &listed, &all_nodes, count);
            // The mean over several members and nodes that leave; a single one would be a random result.
            let removed: Vec<usize> =
                (0..8).map(|nth| nth * (listed.len() / 8).max(1) % listed.len()).collect();
            let choices = removed.iter().map(|index| {
                let mut fewer = listed.clone();
                fewer.remove(*index);
                new_choices(&before, &all_subsets(method, &fewer, &all_nodes, count))
            });
            let one_member_less = choices.sum::<usize>() as f64 / removed.len() as f64;
            let removed: Vec<usize> =
                (0..8).map(|nth| nth * (all_nodes.len() / 8).max(1) % all_nodes.len()).collect();
            let choices = removed.iter().map(|index| {
                let mut fewer = all_nodes.clone();
                fewer.remove(*index);
                new_choices(&before, &all_subsets(method, &listed, &fewer, count))
            });
            let one_node_less = choices.sum::<usize>() as f64 / removed.len() as f64;
            let short_list: Vec<MemberId> =
                listed.iter().copied().filter(|member| member.0 % 10 != 3).collect();
            let short_subsets = all_subsets(method, &short_list, &all_nodes, count);
            let mixed = before.iter().map(|(member, nodes)| {
                let subset = short_subsets.get(member).filter(|_| member.0 % 2 == 0);
                (*member, subset.unwrap_or(nodes).clone())
            });
            println!(
                "| {members} | {nodes} | {count} | {method:?} | {:.2} | {one_member_less:.1} | {one_node_less:.1} | {:.2} |",
                load_spread(&before, &all_nodes),
                load_spread(&mixed.collect(), &all_nodes)
            );
        }
    }
}
