//! Allocation of ports to the processes of tests, without conflicts between test programs.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// First port of the first block; all blocks are below the system's ephemeral ports.
const FIRST_PORT: u16 = 10_000;

/// Number of ports in a block.
const BLOCK_LEN: u16 = 100;

/// Number of blocks.
const BLOCK_COUNT: u16 = 200;

/// Ports of this process.
static RESERVED: Mutex<Vec<Block>> = Mutex::new(Vec::new());

/// A block of ports that this process owns while it listens on the first one.
struct Block {
    _guard: TcpListener,
    ports: std::ops::Range<u16>,
}

impl Block {
    /// Reserves the first free block, searching from number `start`.
    fn reserve(start: u16) -> Self {
        let numbers = (0..BLOCK_COUNT).map(|number| (start + number) % BLOCK_COUNT);
        let mut blocks = numbers.filter_map(Block::try_reserve);
        blocks.next().expect("a free block of ports")
    }

    fn try_reserve(number: u16) -> Option<Self> {
        let first = FIRST_PORT + number * BLOCK_LEN;
        let guard = TcpListener::bind(local(first)).ok()?;
        Some(Block {
            _guard: guard,
            ports: first + 1..first + BLOCK_LEN,
        })
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Keeps other threads from looking for free ports.
///
/// It is held while a process is started: the new process has all sockets until it runs its program,
/// and a port that was free would be in use.
pub fn lock_ports() -> impl Sized {
    reserved()
}

fn reserved() -> MutexGuard<'static, Vec<Block>> {
    RESERVED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a free address on loopback that is given to no other test.
pub fn free_address() -> SocketAddr {
    let mut reserved = reserved();
    loop {
        let ports = reserved.last_mut().map(|block| &mut block.ports);
        let Some(port) = ports.and_then(Iterator::next) else {
            let start = std::process::id() % u32::from(BLOCK_COUNT);
            reserved.push(Block::reserve(start as u16));
            continue;
        };
        let address = local(port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
