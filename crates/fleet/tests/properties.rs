//! Properties: decoding never panics, an encoded message decodes to itself, the order of updates does not change the
//! membership table, subsets of nodes have the right size.

use proptest::prelude::*;
use quaypath_fleet::config::FleetConfig;
use quaypath_fleet::membership::MembershipTable;
use quaypath_fleet::message::{
    fleet_hash, DutyResult, MemberUpdate, Message, MessageKind, MAX_DATAGRAM_BYTES, MAX_DUTY_RESULTS,
    MAX_UPDATES,
};
use quaypath_fleet::subset::{all_subsets, load_spread, NodeHash, SubsetMethod};
use quaypath_fleet::swim::SwimMember;
use quaypath_fleet::{DutyId, FleetCore, MemberId, Status};

fn status() -> impl Strategy<Value = Status> {
    prop_oneof![Just(Status::Alive), Just(Status::Suspect), Just(Status::Dead), Just(Status::Left)]
}

fn member_update() -> impl Strategy<Value = MemberUpdate> {
    (0u16..6, 0u64..4, 0u32..3, status(), 0u16..6).prop_map(
        |(member, incarnation, refutation, status, suspected_by)| MemberUpdate {
            member: MemberId(member),
            incarnation,
            refutation,
            status,
            suspected_by: MemberId(suspected_by),
        },
    )
}

fn duty_result() -> impl Strategy<Value = DutyResult> {
    (any::<u32>(), any::<u32>(), any::<u16>(), any::<u8>(), 0u16..0x7fff, any::<bool>()).prop_map(
        |(duty, round, done_by, weight, age, good)| DutyResult {
            duty: DutyId(duty),
            round,
            done_by: MemberId(done_by),
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
    let header = (0u16..6, 0u64..4, 0u32..3, any::<u32>(), any::<u32>(), 0u16..6, any::<bool>());
    // A message with a signal carries no updates.
    let signal = prop::collection::vec(any::<u8>(), 0..=quaypath_fleet::signal::MAX_SIGNAL_BYTES);
    (kind, header, lists, signal).prop_map(|(kind, header, (updates, duty_results), signal)| {
        let signal = if updates.is_empty() { signal } else { Vec::new() };
        let (sender, incarnation, refutation, sequence, check_id, member, wants_reply) = header;
        let (sender, member) = (MemberId(sender), MemberId(member));
        Message {
            kind,
            sender,
            incarnation,
            refutation,
            sequence,
            check_id,
            member,
            wants_reply,
            updates,
            duty_results,
            signal,
        }
    })
}

proptest! {
    #[test]
    fn encoded_message_decodes_to_itself(message in message()) {
        let bytes = message.encode(fleet_hash("x"));
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(Message::decode(fleet_hash("x"), &bytes), Ok(message));
    }

    #[test]
    fn any_bytes_decode_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..1300)) {
        let _ = Message::decode(fleet_hash("x"), &bytes);
    }

    /// A member handles messages with a correct checksum and arbitrary fields without panic, and keeps to its list.
    #[test]
    fn member_handles_any_messages(messages in prop::collection::vec(message(), 0..60)) {
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
    fn order_of_updates_does_not_change_the_table(mut updates in prop::collection::vec(member_update(), 0..20), seed in any::<u64>()) {
        let table_after = |updates: &[MemberUpdate]| {
            let mut table = MembershipTable::new((0..6).map(MemberId));
            for update in updates {
                table.apply(0.0, update);
            }
            let records = table.entries().map(|(member, record)| {
                (member, record.map(|record| (record.incarnation, record.refutation, record.status)))
            });
            (records.collect::<Vec<_>>(), table.live_count())
        };
        let expected = table_after(&updates);
        let mut rng = nanorand::WyRand::new_seed(seed);
        nanorand::Rng::shuffle(&mut rng, &mut updates);
        updates.extend_from_within(..updates.len() / 2);
        prop_assert_eq!(expected, table_after(&updates));
    }

    /// With every method, each member has the number of nodes that it should, and the load spread is computed.
    #[test]
    fn subsets_have_the_requested_size(members in 1u16..60, nodes in 1usize..40, count in 1usize..9) {
        let members: Vec<MemberId> = (0..members).map(MemberId).collect();
        let nodes: Vec<NodeHash> = (0..nodes).map(|nth| NodeHash::of(&nth.to_string())).collect();
        for method in [SubsetMethod::Rendezvous, SubsetMethod::Bounded, SubsetMethod::Rounds] {
            let subsets = all_subsets(method, &members, &nodes, count);
            prop_assert!(subsets.values().all(|subset| subset.len() == count.min(nodes.len())));
            prop_assert!(load_spread(&subsets, &nodes) >= 0.99);
        }
    }
}
