//! Serde functions for 64-bit integers, which the JSON mapping writes as strings and omits if they are zero.

use std::{fmt, marker::PhantomData, str::FromStr};

use serde::{
    Deserializer, Serializer,
    de::{Error, Visitor},
};

pub fn serialize<T: fmt::Display, S: Serializer>(
    value: &T,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

pub fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr + TryFrom<i64> + TryFrom<u64>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_any(Int64(PhantomData))
}

struct Int64<T>(PhantomData<T>);

impl<T: FromStr + TryFrom<i64> + TryFrom<u64>> Visitor<'_> for Int64<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a 64-bit integer, as a string or a number")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        text.parse()
            .map_err(|_| E::invalid_value(serde::de::Unexpected::Str(text), &self))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<T, E> {
        T::try_from(number)
            .map_err(|_| E::invalid_value(serde::de::Unexpected::Unsigned(number), &self))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<T, E> {
        T::try_from(number)
            .map_err(|_| E::invalid_value(serde::de::Unexpected::Signed(number), &self))
    }
}
