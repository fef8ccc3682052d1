//! A request's head: its syntax by `httparse`, and what it says of its body.
//!
//! Invariant: a head whose body could be given two lengths is a fault.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Uri, Version};

use crate::fault::Fault;

/// Most fields of a head; the callers' own have fewer than ten.
const HEADER_FIELDS_MAX: usize = 100;

/// How the body behind a head is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes; none if there is no body.
    Length(u64),
    /// In chunks that say their sizes.
    Chunked,
}

/// A head, read.
#[derive(Debug)]
pub struct Head {
    /// Method, target, version and fields.
    pub request: Request<()>,
    /// What follows.
    pub framing: Framing,
    /// Whether the caller wants the connection closed behind the answer.
    pub is_closing: bool,
    /// Whether the caller sends its body only once it is told to go on.
    pub expects_continue: bool,
}

/// Reads a head at the start of `bytes`, of which `head_max` may belong to it.
/// Gives it with its length, or nothing while it isn't whole.
///
/// # Errors
/// If it isn't a head, is too long, or leaves its body's length in doubt.
pub fn parse(bytes: &[u8], head_max: usize) -> Result<Option<(Head, usize)>, Fault> {
    let window = &bytes[..bytes.len().min(head_max)];
    let mut fields = [httparse::EMPTY_HEADER; HEADER_FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(window) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if window.len() < head_max => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Fault::LongHead);
        }
        Err(_) => return Err(Fault::Head),
    };
    // One copy for all values, which share it.
    let text = Bytes::copy_from_slice(&window[..length]);
    let request = request(&parsed, window, &text)?;
    let framing = framing(&request)?;
    let is_closing = is_closing(&request);
    let expects_continue = is_listed(request.headers(), &header::EXPECT, "100-continue");
    let head = Head {
        request,
        framing,
        is_closing,
        expects_continue,
    };
    Ok(Some((head, length)))
}

fn request(
    parsed: &httparse::Request<'_, '_>,
    whole: &[u8],
    text: &Bytes,
) -> Result<Request<()>, Fault> {
    let method = parsed.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| Fault::Head)?;
    // What follows it would be a tunnel's bytes, not requests.
    if method == Method::CONNECT {
        return Err(Fault::Head);
    }
    let mut request = Request::new(());
    *request.method_mut() = method;
    let path = parsed.path.unwrap_or_default();
    *request.uri_mut() = path.parse::<Uri>().map_err(|_| Fault::Head)?;
    *request.version_mut() = match parsed.version {
        Some(0) => Version::HTTP_10,
        _ => Version::HTTP_11,
    };
    let fields = request.headers_mut();
    fields.reserve(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| Fault::Head)?;
        let value = HeaderValue::from_maybe_shared(shared(text, whole, field.value));
        fields.append(name, value.map_err(|_| Fault::Head)?);
    }
    // Two hosts may select two routes.
    if fields.get_all(header::HOST).iter().count() > 1 {
        return Err(Fault::Head);
    }
    Ok(request)
}

/// `part` of `whole`, out of the bytes that `text` copied from it.
fn shared(text: &Bytes, whole: &[u8], part: &[u8]) -> Bytes {
    // The parser gives an empty value a place of its own.
    if part.is_empty() {
        return Bytes::new();
    }
    let from = part.as_ptr().addr() - whole.as_ptr().addr();
    text.slice(from..from + part.len())
}

fn framing(request: &Request<()>) -> Result<Framing, Fault> {
    let fields = request.headers();
    let mut lengths = fields.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(Fault::Length);
    }
    let mut codings = fields.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return length.map_or(Ok(Framing::Length(0)), content_length);
    };
    let is_only = length.is_none() && codings.next().is_none();
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if is_only && is_chunked && request.version() == Version::HTTP_11 {
        return Ok(Framing::Chunked);
    }
    Err(Fault::Length)
}

/// A length is digits only: a sign or a list would be read by some as another.
fn content_length(value: &HeaderValue) -> Result<Framing, Fault> {
    let text = value.to_str().map_err(|_| Fault::Length)?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Fault::Length);
    }
    text.parse().map(Framing::Length).map_err(|_| Fault::Length)
}

fn is_closing(request: &Request<()>) -> bool {
    let fields = request.headers();
    if is_listed(fields, &header::CONNECTION, "close") {
        return true;
    }
    let is_kept = is_listed(fields, &header::CONNECTION, "keep-alive");
    request.version() == Version::HTTP_10 && !is_kept
}

/// Whether a list in a field has `token`.
fn is_listed(fields: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = fields.get_all(name).iter().filter_map(|v| v.to_str().ok());
    let mut tokens = values.flat_map(|v| v.split(','));
    tokens.any(|w| w.trim().eq_ignore_ascii_case(token))
}
