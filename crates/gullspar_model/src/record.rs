//! The derive sets that nearly every type of the project uses.

/// Gives a plain data type the derives that the whole project expects of it.
///
/// One macro keeps the sets the same everywhere, so that any record can be compared in a test,
/// printed in a log and sent to another instance.
///
/// ```
/// gullspar_model::record! {
///     /// A point on a map.
///     pub struct Point { pub x: i32, pub y: i32 }
/// }
/// assert_eq!(Point { x: 1, y: 2 }, Point { x: 1, y: 2 });
/// ```
#[macro_export]
macro_rules! record {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])*
        $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])*
        $vis enum $($rest)*
    };
}

/// Like [`record!`], for small values that are copied, ordered and used as keys.
#[macro_export]
macro_rules! value {
    ($(#[$meta:meta])* $vis:vis $kind:ident $($rest:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        $(#[$meta])*
        $vis $kind $($rest)*
    };
}
