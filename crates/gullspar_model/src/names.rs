//! Names as shared immutable strings, one type for each kind of thing named.

macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(arcstr::ArcStr);

        impl $name {
            /// Shares `text` as a name of this kind.
            pub fn new(text: impl AsRef<str>) -> $name {
                $name(arcstr::ArcStr::from(text.as_ref()))
            }

            /// The name as written in settings and on the platform.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name::new(text)
            }
        }
    };
}

name!(
    /// A data centre: the unit within which instances and targets reach each other cheaply.
    DataCentre
);
name!(
    /// A service: what callers name as their database when they connect.
    ServiceName
);
name!(
    /// A database group: one primary and its replicas.
    GroupName
);
name!(
    /// A member of a group, unique within it; the target that callers' statements run on.
    MemberName
);
name!(
    /// One running process of `gullspar`; a restart under the same name is a new incarnation.
    InstanceId
);
name!(
    /// What a caller, or gullspar itself, calls one statement by.
    RequestId
);
name!(
    /// A customer: who pays for a caller's operations, and whose limits they count against.
    CustomerName
);
name!(
    /// The account under which a caller connects.
    CallerName
);
