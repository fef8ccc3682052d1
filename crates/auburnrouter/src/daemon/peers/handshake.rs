//! Mutual authentication of the two ends of a peer connection.
//!
//! Each end sends a 16-byte nonce and receives its HMAC under the shared secret. The
//! connecting end's proof and the listener's cover different labels, so that a proof
//! can't be reflected. Proofs are compared in constant time.
//!
//! Invariant: the secret itself is never sent.

use std::io;
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hmac::{Hmac, Mac};
use settings::secret::Secret;
use sha2::Sha256;
use smol::net;

use super::ConnectionKind;

const NONCE_LEN: usize = 16;
const PROOF_LEN: usize = 32;
const CALLER_LABEL: &[u8] = b"auburnrouter peer caller 1";
const LISTENER_LABEL: &[u8] = b"auburnrouter peer listener 1";

/// Timeout of the handshake, after which the connection is closed.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the handshake on the connecting end.
///
/// # Errors
/// If the connection breaks, the handshake times out, or the other end doesn't know
/// the secret.
pub async fn connect(
    stream: &mut net::TcpStream,
    secret: &Secret,
    kind: ConnectionKind,
) -> io::Result<()> {
    with_timeout(async {
        let theirs = read::<NONCE_LEN>(stream).await?;
        let ours = nonce();
        let mut message = [0; NONCE_LEN + PROOF_LEN + 1];
        message[..NONCE_LEN].copy_from_slice(&ours);
        message[NONCE_LEN..NONCE_LEN + PROOF_LEN].copy_from_slice(&prove(
            secret,
            CALLER_LABEL,
            &theirs,
        ));
        message[NONCE_LEN + PROOF_LEN] = kind as u8;
        stream.write_all(&message).await?;
        let proof = read::<PROOF_LEN>(stream).await?;
        verify(secret, LISTENER_LABEL, &ours, &proof)
    })
    .await
}

/// Runs the handshake on the listening end; returns the purpose of the connection.
///
/// # Errors
/// As for [`connect`], or if the purpose is not a valid one.
pub async fn accept(stream: &mut net::TcpStream, secret: &Secret) -> io::Result<ConnectionKind> {
    with_timeout(async {
        let ours = nonce();
        stream.write_all(&ours).await?;
        let theirs = read::<NONCE_LEN>(stream).await?;
        let proof = read::<PROOF_LEN>(stream).await?;
        let [kind] = read::<1>(stream).await?;
        verify(secret, CALLER_LABEL, &ours, &proof)?;
        stream
            .write_all(&prove(secret, LISTENER_LABEL, &theirs))
            .await?;
        match kind {
            0 => Ok(ConnectionKind::Traffic),
            1 => Ok(ConnectionKind::Control),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    })
    .await
}

async fn with_timeout<T>(work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timeout = async {
        smol::Timer::after(EXCHANGE_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, timeout).await
}

async fn read<const N: usize>(stream: &mut net::TcpStream) -> io::Result<[u8; N]> {
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

fn nonce() -> [u8; NONCE_LEN] {
    fastrand::u128(..).to_le_bytes()
}

fn keyed(secret: &Secret, label: &[u8], nonce: &[u8; NONCE_LEN]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.bytes()).expect("any length is a key");
    mac.update(label);
    mac.update(nonce);
    mac
}

fn prove(secret: &Secret, label: &[u8], nonce: &[u8; NONCE_LEN]) -> [u8; PROOF_LEN] {
    keyed(secret, label, nonce).finalize().into_bytes().into()
}

fn verify(secret: &Secret, label: &[u8], nonce: &[u8; NONCE_LEN], proof: &[u8]) -> io::Result<()> {
    let checked = keyed(secret, label, nonce).verify_slice(proof);
    checked.map_err(|_| io::ErrorKind::PermissionDenied.into())
}
