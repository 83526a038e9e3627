//! The macro that defines, documents and parses options.

/// Defines a settings struct whose fields are options.
///
/// An option `name: Type` must be given; `name: Type = "default"` has a default, written as JSON.
macro_rules! options {
    (
        $(#[doc = $struct_doc:literal])*
        pub struct $name:ident {
            $(
                $(#[doc = $doc:literal])*
                pub $field:ident : $ty:ty $(= $default:literal)?,
            )*
        }
    ) => {
        $(#[doc = $struct_doc])*
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub struct $name {
            $( $(#[doc = $doc])* pub $field: $ty, )*
        }

        impl $name {
            /// Returns the options in the order of their definition.
            pub fn options() -> Vec<$crate::OptionDoc> {
                vec![$($crate::OptionDoc {
                    name: stringify!($field),
                    text: concat!($($doc, "\n"),*),
                    default: options!(@default $($default)?),
                }),*]
            }

            /// Parses the settings from `text`, the content of the file `file`.
            pub fn parse(file: &str, text: &str) -> Result<$name, $crate::Findings> {
                let known = [$(stringify!($field)),*];
                let mut file = $crate::JsoncFile::parse(file, text)?;
                $( let $field: Option<$ty> = options!(@read file, $field $(, $default)?); )*
                let settings = (|| Some($name { $($field: $field?),* }))();
                file.finish(&known, settings)
            }
        }
    };
    (@default) => { None };
    (@default $default:literal) => { Some($default) };
    (@read $file:ident, $field:ident) => { $file.required(stringify!($field)) };
    (@read $file:ident, $field:ident, $default:literal) => {
        $file.optional(stringify!($field)).or_else(|| serde_json::from_str($default).ok())
    };
}

pub(crate) use options;
