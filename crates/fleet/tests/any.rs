//! Properties: any bytes decode without panic, what is encoded decodes to itself, the roll does not care for order.

use proptest::prelude::*;
use quaypath_fleet::config::FleetConfig;
use quaypath_fleet::membership::Roll;
use quaypath_fleet::message::{
    fleet_hash, DutyResult, MemberUpdate, Message, MessageKind, MAX_DATAGRAM_BYTES, MAX_DUTY_RESULTS,
    MAX_UPDATES,
};
use quaypath_fleet::subset::{all, spread, NodeHash, Way};
use quaypath_fleet::swim::SwimMember;
use quaypath_fleet::{DutyId, FleetCore, MemberId, Status};

fn status() -> impl Strategy<Value = Status> {
    prop_oneof![Just(Status::Alive), Just(Status::Suspect), Just(Status::Dead), Just(Status::Left)]
}

fn member_update() -> impl Strategy<Value = MemberUpdate> {
    (0u16..6, 0u64..4, 0u32..3, status(), 0u16..6).prop_map(
        |(member, incarnation, refutation, status, by)| MemberUpdate {
            member: MemberId(member),
            incarnation,
            refutation,
            status,
            by: MemberId(by),
        },
    )
}

fn duty_result() -> impl Strategy<Value = DutyResult> {
    (any::<u32>(), any::<u32>(), any::<u16>(), any::<u8>(), 0u16..0x7fff, any::<bool>()).prop_map(
        |(duty, round, by, weight, age, good)| DutyResult {
            duty: DutyId(duty),
            round,
            by: MemberId(by),
            weight,
            age,
            good,
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    let kind = prop_oneof![
        Just(MessageKind::Ping),
        Just(MessageKind::Ack),
        Just(MessageKind::PingRequest),
        Just(MessageKind::Nack),
        Just(MessageKind::StatePage)
    ];
    let lists = (
        prop::collection::vec(member_update(), 0..=MAX_UPDATES),
        prop::collection::vec(duty_result(), 0..=MAX_DUTY_RESULTS),
    );
    let own = (0u16..6, 0u64..4, 0u32..3, any::<u32>(), any::<u32>(), 0u16..6, any::<bool>());
    // A signal goes without news.
    let signal = prop::collection::vec(any::<u8>(), 0..=quaypath_fleet::signal::MAX_SIGNAL_BYTES);
    (kind, own, lists, signal).prop_map(|(kind, own, (updates, duty_results), signal)| {
        let signal = if updates.is_empty() { signal } else { Vec::new() };
        let (from, incarnation, refutation, number, check, member, flag) = own;
        let (from, member) = (MemberId(from), MemberId(member));
        Message {
            kind,
            from,
            incarnation,
            refutation,
            number,
            check,
            member,
            flag,
            updates,
            duty_results,
            signal,
        }
    })
}

proptest! {
    #[test]
    fn what_is_encoded_decodes_to_itself(message in message()) {
        let bytes = message.encode(fleet_hash("x"));
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(Message::decode(fleet_hash("x"), &bytes), Ok(message));
    }

    #[test]
    fn any_bytes_decode_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..1300)) {
        let _ = Message::decode(fleet_hash("x"), &bytes);
    }

    /// Whole by their check and wrong in any field: a member takes them without panic, and stays bounded.
    #[test]
    fn a_member_takes_any_messages(messages in prop::collection::vec(message(), 0..60)) {
        let mut core = SwimMember::start(0.0, 1e9, 3, FleetConfig::uniform("x", 0, 5));
        let (mut now, mut out) = (0.0, Vec::new());
        for message in messages {
            now += 0.1;
            core.datagram_received(now, &message.encode(fleet_hash("x")), &mut out);
            core.tick(now, &mut out);
            prop_assert!(core.live_members().len() <= 5 && core.live_members().contains(&MemberId(0)));
        }
    }

    #[test]
    fn the_roll_ends_alike_in_any_order(mut all in prop::collection::vec(member_update(), 0..20), seed in any::<u64>()) {
        let ends = |all: &[MemberUpdate]| {
            let mut roll = Roll::new((0..6).map(MemberId));
            for news in all {
                roll.take(0.0, news);
            }
            let known = roll.all().map(|(member, held)| {
                (member, held.map(|held| (held.incarnation, held.refutation, held.status)))
            });
            (known.collect::<Vec<_>>(), roll.live_count())
        };
        let first = ends(&all);
        let mut chance = nanorand::WyRand::new_seed(seed);
        nanorand::Rng::shuffle(&mut chance, &mut all);
        all.extend_from_within(..all.len() / 2);
        prop_assert_eq!(first, ends(&all));
    }

    /// Bounded subsets keep to their bound, and each member has what it should.
    #[test]
    fn bounded_subsets_keep_the_bound(members in 1u16..60, nodes in 1usize..40, count in 1usize..9) {
        let members: Vec<MemberId> = (0..members).map(MemberId).collect();
        let nodes: Vec<NodeHash> = (0..nodes).map(|nth| NodeHash::of(&nth.to_string())).collect();
        for way in [Way::Rendezvous, Way::Bounded, Way::Rounds] {
            let subsets = all(way, &members, &nodes, count);
            prop_assert!(subsets.values().all(|own| own.len() == count.min(nodes.len())));
            prop_assert!(spread(&subsets, &nodes) >= 0.99);
        }
    }
}
