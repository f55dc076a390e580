//! A tonic codec for serde types in MessagePack.
//!
//! Structs are encoded with their field names, so that processes of two versions can
//! exchange messages during an upgrade if each added field has a default.

use std::marker::PhantomData;

use bytes::{Buf, BufMut};
use serde::{Serialize, de::DeserializeOwned};
use tonic::{
    Status,
    codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder},
};

/// The codec that encodes `T` and decodes `U`.
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

/// The encoder of [`MsgPack`].
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

/// The decoder of [`MsgPack`].
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
