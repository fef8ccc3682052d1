//! Callers' sockets with a small receive buffer and the segment size of an Ethernet, as on
//! a real network: segments of the loopback interface are 64 KB long.

use std::io;
use std::mem;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

#[repr(C)]
struct Address {
    family: u16,
    port: u16,
    host: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn bind(fd: i32, address: *const Address, length: u32) -> i32;
    fn connect(fd: i32, address: *const Address, length: u32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that this one has started.
pub fn signal(process: u32, number: i32) {
    unsafe { kill(process as i32, number) };
}

/// Connects from this loopback address with this receive buffer and segment size.
pub fn connect_narrow(
    from: Ipv4Addr,
    to: SocketAddr,
    receive: i32,
    segment: i32,
) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let length = mem::size_of::<i32>() as u32;
    let from = address(SocketAddrV4::new(from, 0));
    let to = address(to);
    let address_length = mem::size_of::<Address>() as u32;
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, length);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, length);
        if bind(fd, &from, address_length) != 0 || connect(fd, &to, address_length) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn address(of: SocketAddrV4) -> Address {
    Address {
        family: AF_INET as u16,
        port: of.port().to_be(),
        host: of.ip().octets(),
        zero: [0; 8],
    }
}
