//! Macros that add the derives used by most types of the project.

/// Declares a plain data type with the project's common derives, so that it can be compared in tests, printed in
/// logs and sent to other instances.
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

/// Like [`record!`], for small types that are also copied, ordered and used as keys.
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
