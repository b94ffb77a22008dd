//! Conversions between domain types and their wire types.
//!
//! `mirror_struct!` and `mirror_enum!` define a wire type with the same fields or variants as a
//! domain type. Their names are the names in the encoding, so a field or variant can't be renamed
//! without changing messages and stored data.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_bytes::ByteBuf;

use crate::codec::WireError;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::plan::KeyHash;

/// A domain type with a serialisable wire type.
pub trait Mirror: Sized {
    /// Serialisable type that represents values of the domain type.
    type Wire: Debug + Clone + Serialize + DeserializeOwned;

    /// Converts the value to its wire type.
    fn to_wire(&self) -> Self::Wire;

    /// Converts a wire value to the domain type.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::BadValue`] if the domain type doesn't allow the value.
    fn from_wire(wire: Self::Wire) -> Result<Self, WireError>;
}

/// Implements [`Mirror`] for types that are serialised directly.
macro_rules! mirror_as_is {
    ($($type:ty),*) => {$(
        impl Mirror for $type {
            type Wire = Self;

            fn to_wire(&self) -> Self {
                self.clone()
            }

            fn from_wire(wire: Self) -> Result<Self, WireError> {
                Ok(wire)
            }
        }
    )*};
}

mirror_as_is!(bool, u16, u32, u64, String);

impl Mirror for NodeId {
    type Wire = u64;

    fn to_wire(&self) -> u64 {
        self.0
    }

    fn from_wire(wire: u64) -> Result<Self, WireError> {
        Ok(Self(wire))
    }
}

impl Mirror for RunId {
    type Wire = u64;

    fn to_wire(&self) -> u64 {
        self.0
    }

    fn from_wire(wire: u64) -> Result<Self, WireError> {
        Ok(Self(wire))
    }
}

impl Mirror for KeyHash {
    type Wire = ByteBuf;

    fn to_wire(&self) -> ByteBuf {
        ByteBuf::from(self.0)
    }

    fn from_wire(wire: ByteBuf) -> Result<Self, WireError> {
        let bytes = wire.into_vec().try_into();
        bytes.map(Self).map_err(|_| WireError::BadValue("key hash"))
    }
}

impl Mirror for Bytes {
    type Wire = ByteBuf;

    fn to_wire(&self) -> ByteBuf {
        ByteBuf::from(self.as_ref())
    }

    fn from_wire(wire: ByteBuf) -> Result<Self, WireError> {
        Ok(Self::from(wire.into_vec()))
    }
}

impl<T: Mirror> Mirror for Option<T> {
    type Wire = Option<T::Wire>;

    fn to_wire(&self) -> Self::Wire {
        self.as_ref().map(T::to_wire)
    }

    fn from_wire(wire: Self::Wire) -> Result<Self, WireError> {
        wire.map(T::from_wire).transpose()
    }
}

impl<T: Mirror> Mirror for Vec<T> {
    type Wire = Vec<T::Wire>;

    fn to_wire(&self) -> Self::Wire {
        self.iter().map(T::to_wire).collect()
    }

    fn from_wire(wire: Self::Wire) -> Result<Self, WireError> {
        wire.into_iter().map(T::from_wire).collect()
    }
}

impl<T: Mirror + Ord> Mirror for BTreeSet<T> {
    type Wire = Vec<T::Wire>;

    fn to_wire(&self) -> Self::Wire {
        self.iter().map(T::to_wire).collect()
    }

    fn from_wire(wire: Self::Wire) -> Result<Self, WireError> {
        wire.into_iter().map(T::from_wire).collect()
    }
}

impl<K: Mirror + Ord, V: Mirror> Mirror for BTreeMap<K, V> {
    type Wire = Vec<(K::Wire, V::Wire)>;

    fn to_wire(&self) -> Self::Wire {
        self.iter()
            .map(|(key, value)| (key.to_wire(), value.to_wire()))
            .collect()
    }

    fn from_wire(wire: Self::Wire) -> Result<Self, WireError> {
        wire.into_iter()
            .map(|(key, value)| Ok((K::from_wire(key)?, V::from_wire(value)?)))
            .collect()
    }
}

/// Defines the wire type of a domain struct, with the same field names, and its conversions.
macro_rules! mirror_struct {
    ($(#[$doc:meta])* $wire:ident for $domain:ty {
        $($(#[$attribute:meta])* $field:ident: $type:ty),* $(,)?
    }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
        #[allow(missing_docs)]
        pub struct $wire {
            $($(#[$attribute])* pub $field: <$type as $crate::mirror::Mirror>::Wire,)*
        }

        impl $crate::mirror::Mirror for $domain {
            type Wire = $wire;

            fn to_wire(&self) -> $wire {
                $wire { $($field: $crate::mirror::Mirror::to_wire(&self.$field),)* }
            }

            fn from_wire(wire: $wire) -> Result<Self, $crate::codec::WireError> {
                Ok(Self { $($field: $crate::mirror::Mirror::from_wire(wire.$field)?,)* })
            }
        }

        $crate::mirror::mirror_conversions!($wire, $domain);
    };
}

/// Defines the wire type of a domain enum, with the same variant and field names, and its
/// conversions.
///
/// Variants are serialised in kebab case. A variant without fields is written as `Name {}`.
macro_rules! mirror_enum {
    ($(#[$doc:meta])* $wire:ident for $domain:ty {
        $($variant:ident { $($field:ident: $type:ty),* $(,)? }),* $(,)?
    }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        #[allow(missing_docs)]
        pub enum $wire {
            $($variant { $($field: <$type as $crate::mirror::Mirror>::Wire,)* },)*
        }

        impl $crate::mirror::Mirror for $domain {
            type Wire = $wire;

            fn to_wire(&self) -> $wire {
                match self {
                    $(Self::$variant { $($field,)* } => $wire::$variant {
                        $($field: $crate::mirror::Mirror::to_wire($field),)*
                    },)*
                }
            }

            fn from_wire(wire: $wire) -> Result<Self, $crate::codec::WireError> {
                Ok(match wire {
                    $($wire::$variant { $($field,)* } => Self::$variant {
                        $($field: $crate::mirror::Mirror::from_wire($field)?,)*
                    },)*
                })
            }
        }

        $crate::mirror::mirror_conversions!($wire, $domain);
    };
}

/// Implements `From` and `TryFrom` between a domain type and its wire type.
macro_rules! mirror_conversions {
    ($wire:ident, $domain:ty) => {
        impl From<&$domain> for $wire {
            fn from(value: &$domain) -> Self {
                $crate::mirror::Mirror::to_wire(value)
            }
        }

        impl TryFrom<$wire> for $domain {
            type Error = $crate::codec::WireError;

            fn try_from(wire: $wire) -> Result<Self, Self::Error> {
                $crate::mirror::Mirror::from_wire(wire)
            }
        }
    };
}

pub(crate) use mirror_conversions;
pub(crate) use mirror_enum;
pub(crate) use mirror_struct;
