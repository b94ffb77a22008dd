//! Every wire form stands for the value that it was made from.

use proptest::prelude::*;

use crate::codec;
use crate::mirror::Mirror;
use crate::peer::PeerFrame;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_policy::control::ChangeBody;
use bergamotlane_policy::control::ConfigChange;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::ControlState;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_policy::plan::read_sheet;

fn state() -> ControlState {
    let sheet = include_bytes!("../../../examples/sheets/nilecraft.csv");
    let body = ChangeBody::ReplacePlan {
        sheet: read_sheet(sheet).unwrap(),
    };
    let change = ConfigChange {
        number: 1,
        digest: KeyHash::of(b"digest"),
        body,
    };
    let mut state = ControlState::default();
    state.apply(1, ControlCommand::MarkFormed {});
    state.apply(2, ControlCommand::Change { change });
    state
}

#[test]
fn a_state_survives_its_snapshot() {
    let state = state();
    assert_eq!(state.config.number, 1);
    let bytes = codec::encode(&state.to_wire());
    let read = ControlState::from_wire(codec::decode(&bytes).unwrap()).unwrap();
    assert_eq!(read, state);
}

#[test]
fn a_hash_of_another_length_is_refused() {
    let wire = serde_bytes::ByteBuf::from([1, 2, 3]);
    assert!(KeyHash::from_wire(wire).is_err());
    assert_eq!(NodeId::from_wire(7).unwrap(), NodeId(7));
}

proptest! {
    /// Bytes from anybody are read or refused, never more.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        codec::decode::<PeerFrame>(&bytes).ok();
    }

    /// A damaged snapshot is read or refused, never more.
    #[test]
    fn a_cut_snapshot_is_refused(share in 0.0_f64..0.999) {
        let bytes = codec::encode(&state().to_wire());
        let cut = (bytes.len() as f64 * share) as usize;
        let read = codec::decode::<<ControlState as Mirror>::Wire>(&bytes[..cut]);
        prop_assert!(read.is_err());
    }
}
