//! Names as shared immutable strings, one type for each kind of name.

macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(arcstr::ArcStr);

        impl $name {
            /// Creates a name from `text`.
            pub fn new(text: impl AsRef<str>) -> $name {
                $name(arcstr::ArcStr::from(text.as_ref()))
            }

            /// Returns the name as written in settings and on the platform.
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
    /// A data centre, within which instances and targets reach each other with low latency.
    DataCentre
);
name!(
    /// A service; callers give its name as their database when they connect.
    ServiceName
);
name!(
    /// A database group: one primary and its replicas.
    GroupName
);
name!(
    /// A member of a group, unique within it: a target on which callers' statements run.
    MemberName
);
name!(
    /// One running process of `gullspar`; a restart under the same name is a new incarnation.
    InstanceId
);
name!(
    /// The id of one statement, chosen by the caller or, for its own statements, by gullspar.
    RequestId
);
name!(
    /// A customer, who pays for its callers' operations and against whose limits they count.
    CustomerName
);
name!(
    /// The account under which a caller connects.
    CallerName
);
