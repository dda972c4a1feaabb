//! The memory that all requests of a router may take for bytes that callers and servers send.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{Category, Error, Result};

/// Bytes that each buffer may hold without a reservation, so that small messages are served
/// while others take all that there is.
const FREE_BYTES: usize = 16 * 1024;

/// Bytes that are reserved at a time.
const UNIT_BYTES: usize = 1024;

/// Limit on the bytes that all buffers together hold.
#[derive(Debug, Clone)]
pub(super) struct Buffers(Arc<Semaphore>);

impl Buffers {
    /// Creates the limit of `bytes`, to which each buffer adds some kilobytes.
    pub(super) fn with_limit(bytes: usize) -> Self {
        Buffers(Arc::new(Semaphore::new(bytes / UNIT_BYTES)))
    }

    /// Starts the reservation of one buffer, which is empty.
    pub(super) fn reservation(&self) -> Reservation {
        Reservation {
            buffers: self.clone(),
            permit: None,
        }
    }
}

/// The part of the memory that is reserved for one buffer; it is released when dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    buffers: Buffers,
    permit: Option<OwnedSemaphorePermit>,
}

impl Reservation {
    /// Makes the reservation fit a buffer of `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when the buffer has grown and the other ones leave no memory
    /// for it; the verdict is "may have run".
    pub(super) fn resize(&mut self, len: usize) -> Result<()> {
        let needed = len.saturating_sub(FREE_BYTES).div_ceil(UNIT_BYTES);
        let held = self
            .permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        if needed < held {
            let surplus = self.permit.as_mut().and_then(|p| p.split(held - needed));
            drop(surplus);
        } else if needed > held {
            let semaphore = self.buffers.0.clone();
            let more = u32::try_from(needed - held).map_err(|_| no_memory_error())?;
            let more = semaphore
                .try_acquire_many_owned(more)
                .map_err(|_| no_memory_error())?;
            match &mut self.permit {
                Some(permit) => permit.merge(more),
                None => self.permit = Some(more),
            }
        }
        Ok(())
    }

    /// Returns `bytes` together with their reservation, which is released with them.
    pub(super) fn attach_to(self, bytes: BytesMut) -> Bytes {
        match self.permit {
            Some(_) => Bytes::from_owner(ReservedBytes {
                bytes,
                _reservation: self,
            }),
            None => bytes.freeze(),
        }
    }
}

struct ReservedBytes {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn no_memory_error() -> Error {
    let message = "the router has no memory left for more data";
    Error::may_have_run(Category::Overloaded, message)
}
