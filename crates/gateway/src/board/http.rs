//! The discovery service's answers, as HTTP/1.1 brings them.

use bytes::BytesMut;

use super::list::Events;

/// Network fact: the largest answer that a list of engines has reason to fill.
pub const LARGEST: usize = 1 << 20;

#[derive(Debug, PartialEq)]
pub enum Answered {
    NotYet,
    /// With it, whether the connection carries another question.
    Events(Events, bool),
    Nonsense(String),
}

/// Takes a whole answer off the inbox. `ended`: nothing more comes.
pub fn take(inbox: &mut BytesMut, ended: bool) -> Answered {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(inbox) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if inbox.len() >= LARGEST => {
            return Answered::Nonsense("a head without an end".into());
        }
        Ok(httparse::Status::Partial) => return Answered::NotYet,
        Err(error) => return Answered::Nonsense(error.to_string()),
    };
    if response.code != Some(200) {
        return Answered::Nonsense(format!("status {:?}", response.code));
    }
    let header = |name: &str| {
        let mut of = response
            .headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(name));
        of.next()
            .and_then(|header| std::str::from_utf8(header.value).ok())
            .map(str::trim)
    };
    let keep = !header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let chunked =
        header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let length = header("content-length").map(str::parse::<usize>);
    let (body, end) = match length {
        _ if chunked => match unchunk(&inbox[head..]) {
            Ok(Some((body, end))) => (body, head + end),
            Ok(None) if inbox.len() < LARGEST && !ended => return Answered::NotYet,
            _ => return Answered::Nonsense("a chunk that is none".into()),
        },
        Some(Ok(length)) if length <= LARGEST => {
            let Some(body) = inbox.get(head..head + length) else {
                return Answered::NotYet;
            };
            (body.to_vec(), head + length)
        }
        None if ended => (inbox[head..].to_vec(), inbox.len()),
        None if inbox.len() < LARGEST => return Answered::NotYet,
        _ => return Answered::Nonsense("a length that is none, or too large".into()),
    };
    let _ = inbox.split_to(end);
    let json: Result<serde_json::Value, _> = serde_json::from_slice(&body);
    match json
        .map_err(|e| e.to_string())
        .and_then(|j| Events::from_json(&j).map_err(|e| e.to_string()))
    {
        Ok(events) => Answered::Events(events, keep),
        Err(why) => Answered::Nonsense(why),
    }
}

/// The joined chunks and where they end, once all are there.
fn unchunk(from: &[u8]) -> Result<Option<(Vec<u8>, usize)>, httparse::InvalidChunkSize> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let httparse::Status::Complete((head, size)) = httparse::parse_chunk_size(&from[at..])?
        else {
            return Ok(None);
        };
        let size = usize::try_from(size).map_err(|_| httparse::InvalidChunkSize)?;
        let start = at + head;
        let end = start.checked_add(size).and_then(|end| end.checked_add(2));
        let Some(chunk) = end.and_then(|end| from.get(start..end)) else {
            return if size > LARGEST {
                Err(httparse::InvalidChunkSize)
            } else {
                Ok(None)
            };
        };
        at = start + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
