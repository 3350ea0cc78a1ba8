//! Spread and moves of the three ways of subsetting, as a table: members, nodes, way, highest load over the mean, new
//! choices when one member goes and when one node goes, and the spread while half of the members hold a list that
//! lacks a tenth of them.

use quaypath_fleet::subset::{all, moves, spread, NodeHash, Way};
use quaypath_fleet::MemberId;

fn main() {
    println!("| members | nodes | each | way | spread | moves, a member less | moves, a node less | spread, lists differ |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (members, nodes, count) in
        [(4, 12, 4), (8, 8, 3), (40, 49, 8), (170, 49, 8), (350, 200, 12), (1024, 1000, 20), (1024, 49, 8)]
    {
        let listed: Vec<MemberId> = (0..members).map(MemberId).collect();
        let there: Vec<NodeHash> =
            (0..nodes).map(|nth| NodeHash::of(&format!("10.0.0.{nth}:4420"))).collect();
        for way in [Way::Rendezvous, Way::Bounded, Way::Rounds] {
            let before = all(way, &listed, &there, count);
            // Over some that go: one is an accident.
            let gone: Vec<usize> = (0..8).map(|nth| nth * (listed.len() / 8).max(1) % listed.len()).collect();
            let less = gone.iter().map(|at| {
                let mut fewer = listed.clone();
                fewer.remove(*at);
                moves(&before, &all(way, &fewer, &there, count))
            });
            let members_less = less.sum::<usize>() as f64 / gone.len() as f64;
            let gone: Vec<usize> = (0..8).map(|nth| nth * (there.len() / 8).max(1) % there.len()).collect();
            let less = gone.iter().map(|at| {
                let mut fewer = there.clone();
                fewer.remove(*at);
                moves(&before, &all(way, &listed, &fewer, count))
            });
            let nodes_less = less.sum::<usize>() as f64 / gone.len() as f64;
            let short: Vec<MemberId> = listed.iter().copied().filter(|member| member.0 % 10 != 3).collect();
            let shorter = all(way, &short, &there, count);
            let mixed = before.iter().map(|(member, nodes)| {
                let other = shorter.get(member).filter(|_| member.0 % 2 == 0);
                (*member, other.unwrap_or(nodes).clone())
            });
            println!(
                "| {members} | {nodes} | {count} | {way:?} | {:.2} | {members_less:.1} | {nodes_less:.1} | {:.2} |",
                spread(&before, &there),
                spread(&mixed.collect(), &there)
            );
        }
    }
}
