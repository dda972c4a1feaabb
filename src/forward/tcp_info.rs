//! State of a TCP connection in the kernel.

use std::{
    io,
    mem::{size_of, MaybeUninit},
    os::fd::{AsFd, AsRawFd},
    time::Duration,
};

/// State of a connection that does not exist any more, `TCP_CLOSE` of the kernel.
const CLOSED: u8 = 7;

/// What the kernel tells about the data that was sent on a connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct TcpInfo {
    /// Whether the peer has reset the connection.
    pub(super) is_reset: bool,
    /// Number of times in a row that the oldest unacknowledged data was sent again.
    pub(super) retransmits: u8,
    /// Number of unanswered probes of a closed receive window, or of an idle peer.
    pub(super) probes: u8,
    /// Time since the last acknowledgement.
    pub(super) since_last_ack: Duration,
    /// Number of bytes that the peer has acknowledged since the connection was opened.
    pub(super) acknowledged_bytes: u64,
    /// Number of bytes that were not sent yet, for example as the peer has no room for them.
    pub(super) unsent_bytes: u32,
    unacknowledged_segments: u32,
}

impl TcpInfo {
    /// Reads the state of a connection.
    ///
    /// # Errors
    ///
    /// Fails when the operating system does not tell the state of the socket.
    pub(super) fn of(socket: &impl AsFd) -> io::Result<Self> {
        let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
        let mut len = size_of::<libc::tcp_info>() as libc::socklen_t;
        // SAFETY: the pointers are valid for writes of `len` bytes and of `len` itself, and the
        // descriptor is open for the duration of the call.
        let status = unsafe {
            libc::getsockopt(
                socket.as_fd().as_raw_fd(),
                libc::IPPROTO_TCP,
                libc::TCP_INFO,
                info.as_mut_ptr().cast(),
                &mut len,
            )
        };
        if status != 0 {
            return Err(io::Error::last_os_error());
        }
        // SAFETY: all fields are integers, for which zeroes are valid where the kernel wrote none.
        let info = unsafe { info.assume_init() };
        Ok(TcpInfo {
            is_reset: info.tcpi_state == CLOSED,
            retransmits: info.tcpi_retransmits,
            probes: info.tcpi_probes,
            since_last_ack: Duration::from_millis(info.tcpi_last_ack_recv.into()),
            acknowledged_bytes: info.tcpi_bytes_acked,
            unacknowledged_segments: info.tcpi_unacked,
            unsent_bytes: info.tcpi_notsent_bytes,
        })
    }

    /// Returns whether the peer has acknowledged all data.
    pub(super) fn is_all_acknowledged(&self) -> bool {
        self.unacknowledged_segments == 0 && self.unsent_bytes == 0
    }
}
