//! Enumerations with a text form.

/// Declares an enumeration whose variants parse from and print as one word
/// each, so that each word is written in one place only.
macro_rules! word_enum {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $rule:literal, $($(#[$vdoc:meta])* $var:ident = $word:literal),+) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $($(#[$vdoc])* $var,)+
        }

        impl std::str::FromStr for $name {
            type Err = $crate::domain::ParseError;

            fn from_str(s: &str) -> Result<Self, $crate::domain::ParseError> {
                match s {
                    $($word => Ok(Self::$var),)+
                    _ => Err($crate::domain::ParseError::new($kind, s, $rule)),
                }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(match self { $(Self::$var => $word,)+ })
            }
        }
    };
}

pub(crate) use word_enum;
