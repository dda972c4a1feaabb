//! The bytes held for one buffer with what a server sends.

use bytes::{Bytes, BytesMut};

use super::Account;
use crate::{sync::lock, Category, Error, Result};

/// Bytes that are part of what a request holds anyway, so that small responses are passed on
/// while others take all that there is.
const FREE_BYTES: usize = 16 * 1024;

/// The bytes held for one buffer, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Account,
    held: usize,
}

impl Reservation {
    pub(super) fn new(account: Account) -> Self {
        Reservation { account, held: 0 }
    }

    /// Makes the reservation fit a buffer of `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Category::Overloaded`] when the buffer has grown and there is no memory for it; the
    /// verdict is "may have run".
    pub fn resize(&mut self, len: usize) -> Result<()> {
        let needed = len.saturating_sub(FREE_BYTES);
        if needed == self.held {
            return Ok(());
        }
        if !lock(&self.account.0.state).change_for_servers(self.held, needed) {
            let message = "the router has no memory left for more data";
            return Err(Error::may_have_run(Category::Overloaded, message));
        }
        let is_less = needed < self.held;
        self.held = needed;
        if is_less {
            self.account.0.released.notify_waiters();
        }
        Ok(())
    }

    /// Returns `bytes` together with their reservation, which is released with them.
    pub fn attach_to(self, bytes: BytesMut) -> Bytes {
        match self.held {
            0 => bytes.freeze(),
            _ => Bytes::from_owner(ReservedBytes {
                bytes,
                _reservation: self,
            }),
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Less always fits.
        drop(self.resize(0));
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
