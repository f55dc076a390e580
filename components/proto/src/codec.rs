//! A tonic codec for serde types in MessagePack.
//!
//! Structs are written with their field names, so that a field added with a
//! default can be read by an older or newer process during an upgrade.

use std::marker::PhantomData;

use bytes::{Buf, BufMut};
use serde::{Serialize, de::DeserializeOwned};
use tonic::{
    Status,
    codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder},
};

/// Encodes `T` and decodes `U`.
#[derive(Debug)]
pub struct MsgPack<T, U>(PhantomData<fn() -> (T, U)>);

impl<T, U> Default for MsgPack<T, U> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<T, U> Codec for MsgPack<T, U>
where
    T: Serialize + Send + 'static,
    U: DeserializeOwned + Send + 'static,
{
    type Encode = T;
    type Decode = U;
    type Encoder = MsgPackEncoder<T>;
    type Decoder = MsgPackDecoder<U>;

    fn encoder(&mut self) -> Self::Encoder {
        MsgPackEncoder(PhantomData)
    }

    fn decoder(&mut self) -> Self::Decoder {
        MsgPackDecoder(PhantomData)
    }
}

/// The encoding half of [`MsgPack`].
#[derive(Debug)]
pub struct MsgPackEncoder<T>(PhantomData<fn() -> T>);

impl<T: Serialize> Encoder for MsgPackEncoder<T> {
    type Item = T;
    type Error = Status;

    fn encode(&mut self, item: T, buf: &mut EncodeBuf<'_>) -> Result<(), Status> {
        rmp_serde::encode::write_named(&mut buf.writer(), &item)
            .map_err(|error| Status::internal(format!("can't encode a message: {error}")))
    }
}

/// The decoding half of [`MsgPack`].
#[derive(Debug)]
pub struct MsgPackDecoder<U>(PhantomData<fn() -> U>);

impl<U: DeserializeOwned> Decoder for MsgPackDecoder<U> {
    type Item = U;
    type Error = Status;

    fn decode(&mut self, buf: &mut DecodeBuf<'_>) -> Result<Option<U>, Status> {
        rmp_serde::from_read(buf.reader())
            .map(Some)
            .map_err(|error| Status::invalid_argument(format!("can't decode a message: {error}")))
    }
}
