//! Assembly of a result from the pages that its engine sends.

use admission::interface::{AttemptEvent, TimeDelta, Timestamp};
use bytes::Bytes;
use thiserror::Error;

use super::protocol::Response;

/// The most pages of a result. Results hold 48,000 bytes at most; whatever is beyond the two bounds here is none, and
/// must not fill this process's memory.
const MAX_PAGES: usize = 64;

/// The most bytes of a result, with what stands between its values.
const MAX_RESULT_BYTES: usize = 64 << 10;

/// A row has three columns, with a tab between each two.
const TABS_PER_ROW: usize = 2;

/// Why an engine's result cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum ResultError {
    #[error("a result of over {MAX_PAGES} pages")]
    TooManyPages,
    #[error("a result of over {MAX_RESULT_BYTES} bytes")]
    TooLarge,
    #[error("a result that is no rows of text")]
    NotRows,
}

/// Whether a further page belonged to the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageReceipt {
    /// It was missing, and is there now.
    Accepted,
    /// There is no such page, or it is there already.
    Unexpected,
}

/// A result of which the first page has come.
pub(super) struct PagedResult {
    /// From sending the attempt until its first page.
    pub latency: TimeDelta,
    /// The CPU that the statement took, where its engine tells it.
    cpu: Option<TimeDelta>,
    /// The memory that the statement took, in MB, where its engine tells it.
    memory_mb: Option<f64>,
    /// None where a page has not come yet.
    pages: Vec<Option<Bytes>>,
    size_bytes: usize,
    last_page_received: Timestamp,
}

impl PagedResult {
    /// A result by the response that tells of it and carries its first page.
    pub(super) fn new(
        now: Timestamp,
        latency: TimeDelta,
        first: Response,
    ) -> Result<PagedResult, ResultError> {
        let page_count = first.number::<usize>("total").unwrap_or(1).max(1);
        if page_count > MAX_PAGES {
            return Err(ResultError::TooManyPages);
        }
        let cpu_ms = first.quantity("elapsed");
        let mut result = PagedResult {
            latency,
            cpu: cpu_ms.map(|ms| TimeDelta::from_secs(ms / 1e3)),
            memory_mb: first.quantity("rss"),
            pages: vec![None; page_count],
            size_bytes: first.body.len(),
            last_page_received: now,
        };
        result.pages[0] = Some(first.body);
        Ok(result)
    }

    /// Pages of the result, those among them that have not come.
    pub(super) fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// When its latest page came.
    pub(super) fn last_page_received(&self) -> Timestamp {
        self.last_page_received
    }

    /// Takes a further page.
    pub(super) fn add_page(&mut self, now: Timestamp, page: Response) -> PageReceipt {
        let index = page.number::<usize>("index").unwrap_or(0);
        let Some(slot @ None) = self.pages.get_mut(index) else {
            return PageReceipt::Unexpected;
        };
        self.size_bytes += page.body.len();
        self.last_page_received = now;
        *slot = Some(page.body);
        PageReceipt::Accepted
    }

    /// The pages in their order; none where one is missing.
    ///
    /// # Errors
    ///
    /// What has come is too large, or the result is complete and is not text in whole rows.
    pub(super) fn complete_pages(&self) -> Result<Option<Vec<Bytes>>, ResultError> {
        if self.size_bytes > MAX_RESULT_BYTES {
            return Err(ResultError::TooLarge);
        }
        let pages: Option<Vec<Bytes>> = self.pages.iter().cloned().collect();
        let Some(pages) = pages else {
            return Ok(None);
        };
        if !pages.iter().all(|page| is_rows(page)) {
            return Err(ResultError::NotRows);
        }
        Ok(Some(pages))
    }

    /// The event that ends the attempt.
    pub(super) fn completed(&self) -> AttemptEvent {
        AttemptEvent::Completed {
            cpu: self.cpu,
            memory_mb: self.memory_mb,
        }
    }
}

/// Whether a page is UTF-8 text of whole rows; an empty one has none.
fn is_rows(page: &[u8]) -> bool {
    if std::str::from_utf8(page).is_err() {
        return false;
    }
    if page.is_empty() {
        return true;
    }
    let Some(rows) = page.strip_suffix(b"\n") else {
        return false;
    };
    rows.split(|byte| *byte == b'\n')
        .all(|row| row.iter().filter(|byte| **byte == b'\t').count() == TABS_PER_ROW)
}
