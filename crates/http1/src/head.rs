//! Parser for request heads, based on `httparse`, and the framing of their bodies.
//!
//! Invariant: a head that leaves the length of the body ambiguous is a fault.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Uri, Version};

use crate::fault::Fault;

/// Upper bound on the number of fields in a head; callers send fewer than ten.
const HEADER_FIELDS_MAX: usize = 100;

/// Framing of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Length in bytes; 0 if there is no body.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
}

/// Parsed request head.
#[derive(Debug)]
pub struct Head {
    /// Method, URI, version and header fields.
    pub request: Request<()>,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection is to be closed after the response.
    pub is_closing: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Parses a head of at most `head_max` bytes at the start of `bytes`. Returns it with
/// its length in bytes, or `None` while it is incomplete.
///
/// # Errors
/// If the head is malformed or too long, or leaves the body's length ambiguous.
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
    // All values share one copy of the head.
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
    head: &[u8],
    text: &Bytes,
) -> Result<Request<()>, Fault> {
    let method = parsed.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| Fault::Head)?;
    // Bytes after CONNECT would belong to a tunnel, not to requests.
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
        let value = HeaderValue::from_maybe_shared(shared_slice(text, head, field.value));
        fields.append(name, value.map_err(|_| Fault::Head)?);
    }
    // Two hosts could select two different routes.
    if fields.get_all(header::HOST).iter().count() > 1 {
        return Err(Fault::Head);
    }
    Ok(request)
}

/// Returns the slice of `text`, a copy of `head`, that corresponds to `part` of `head`.
fn shared_slice(text: &Bytes, head: &[u8], part: &[u8]) -> Bytes {
    // An empty value from the parser need not point into the head.
    if part.is_empty() {
        return Bytes::new();
    }
    let start = part.as_ptr().addr() - head.as_ptr().addr();
    text.slice(start..start + part.len())
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

/// Parses a content length, which must consist of digits only: parsers disagree on
/// signs and lists.
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

/// Returns whether a field with a comma-separated list contains `token`.
fn is_listed(fields: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = fields.get_all(name).iter().filter_map(|v| v.to_str().ok());
    let mut tokens = values.flat_map(|v| v.split(','));
    tokens.any(|w| w.trim().eq_ignore_ascii_case(token))
}
