//! Both ends of a connection show that they know the shared secret.
//!
//! Each end sends 16 random bytes and gets back their HMAC under the secret.
//! The caller's proof and the listener's cover different labels, so that one
//! can't be reflected as the other. Proofs are compared in constant time.
//!
//! Invariant: the secret itself never crosses the wire.

use std::io;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hmac::{Hmac, Mac};
use settings::secret::Secret;
use sha2::Sha256;
use smol::net;

use super::Lane;

const NONCE: usize = 16;
const PROOF: usize = 32;
const CALLER: &[u8] = b"auburnrouter peer caller 1";
const LISTENER: &[u8] = b"auburnrouter peer listener 1";

/// Time for the whole handshake; a connection that stays silent is closed.
const TIME: Duration = Duration::from_secs(2);

/// The calling end.
///
/// # Errors
/// If the connection breaks, is too slow, or the other end doesn't know the
/// secret.
pub async fn offer(stream: &mut net::TcpStream, secret: &Secret, lane: Lane) -> io::Result<()> {
    in_time(async {
        let theirs = read::<NONCE>(stream).await?;
        let ours = nonce();
        let mut message = [0; NONCE + PROOF + 1];
        message[..NONCE].copy_from_slice(&ours);
        message[NONCE..NONCE + PROOF].copy_from_slice(&prove(secret, CALLER, &theirs));
        message[NONCE + PROOF] = lane as u8;
        stream.write_all(&message).await?;
        let proof = read::<PROOF>(stream).await?;
        verify(secret, LISTENER, &ours, &proof)
    })
    .await
}

/// The listening end; gives what the connection is for.
///
/// # Errors
/// As for [`offer`].
pub async fn demand(stream: &mut net::TcpStream, secret: &Secret) -> io::Result<Lane> {
    in_time(async {
        let ours = nonce();
        stream.write_all(&ours).await?;
        let theirs = read::<NONCE>(stream).await?;
        let proof = read::<PROOF>(stream).await?;
        let [lane] = read::<1>(stream).await?;
        verify(secret, CALLER, &ours, &proof)?;
        stream.write_all(&prove(secret, LISTENER, &theirs)).await?;
        match lane {
            0 => Ok(Lane::Traffic),
            1 => Ok(Lane::Control),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    })
    .await
}

async fn in_time<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let late = async {
        smol::Timer::after(TIME).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, late).await
}

async fn read<const N: usize>(stream: &mut net::TcpStream) -> io::Result<[u8; N]> {
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

fn nonce() -> [u8; NONCE] {
    fastrand::u128(..).to_le_bytes()
}

fn keyed(secret: &Secret, label: &[u8], nonce: &[u8; NONCE]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.bytes()).expect("any length is a key");
    mac.update(label);
    mac.update(nonce);
    mac
}

fn prove(secret: &Secret, label: &[u8], nonce: &[u8; NONCE]) -> [u8; PROOF] {
    keyed(secret, label, nonce).finalize().into_bytes().into()
}

fn verify(secret: &Secret, label: &[u8], nonce: &[u8; NONCE], proof: &[u8]) -> io::Result<()> {
    let known = keyed(secret, label, nonce).verify_slice(proof);
    known.map_err(|_| io::ErrorKind::PermissionDenied.into())
}
