//! Names given by operators. They are shared immutable strings, so a clone only increments a
//! reference count.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// Names a client account.
    AccountName
);
name!(
    /// Names a gateway process; it stays the same over restarts.
    GatewayName
);
name!(
    /// Names an upstream instance, as given by the cloud API.
    InstanceName
);
name!(
    /// Names a model that engines load.
    ModelName
);
name!(
    /// The version of the software that an upstream runs, as the platform lists it.
    SoftwareVersion
);
name!(
    /// Names a region, which holds availability zones.
    RegionName
);
name!(
    /// Names a service: a group of engines or of plain servers.
    ServiceName
);
name!(
    /// Names a tier, such as paying or free.
    TierName
);
name!(
    /// Names an availability zone.
    ZoneName
);
