//! Ports of the started processes, shared out between test programs that run at once.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{Mutex, PoisonError},
};

/// First port given out, below the range from which the system picks ports by itself.
const FIRST_PORT: u16 = 10_000;

/// Ports in one block.
const BLOCK_LEN: u16 = 100;

/// Number of blocks.
const BLOCKS: u16 = 200;

/// Ports that belong to this process while it listens on the first one.
struct Block {
    _guard: TcpListener,
    rest: std::ops::Range<u16>,
}

impl Block {
    /// Takes the first free block from number `start` on.
    fn take(start: u16) -> Self {
        let numbers = (0..BLOCKS).map(|number| (start + number) % BLOCKS);
        let mut blocks = numbers.filter_map(Block::try_take);
        blocks.next().expect("a free block of ports")
    }

    fn try_take(number: u16) -> Option<Self> {
        let first = FIRST_PORT + number * BLOCK_LEN;
        let guard = TcpListener::bind(local(first)).ok()?;
        Some(Block {
            _guard: guard,
            rest: first + 1..first + BLOCK_LEN,
        })
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns a free address on loopback that no other test gets.
pub fn free_address() -> SocketAddr {
    static BLOCKS_TAKEN: Mutex<Vec<Block>> = Mutex::new(Vec::new());
    let mut taken = BLOCKS_TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let ports = taken.last_mut().map(|block| &mut block.rest);
        let Some(port) = ports.and_then(Iterator::next) else {
            let start = std::process::id() % u32::from(BLOCKS);
            taken.push(Block::take(start as u16));
            continue;
        };
        let address = local(port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
