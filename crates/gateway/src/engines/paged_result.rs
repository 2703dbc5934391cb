//! Assembly of a result from the pages that an engine sends.

use admission::interface::{AttemptEvent, TimeDelta, Timestamp};
use bytes::Bytes;
use thiserror::Error;

use super::protocol::Response;

/// The maximum number of pages of a result. Valid results hold at most 48,000 bytes. A response
/// beyond this limit or [`MAX_RESULT_BYTES`] is invalid and must not fill the memory of the
/// gateway.
const MAX_PAGES: usize = 64;

/// The maximum size of a result in bytes, including the separators between its values.
const MAX_RESULT_BYTES: usize = 64 << 10;

/// The number of tabs in a row, which has three columns separated by tabs.
const TABS_PER_ROW: usize = 2;

/// Why an engine's result is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum ResultError {
    #[error("the number of pages is missing or not a number from 1 to {MAX_PAGES}")]
    InvalidPageCount,
    #[error("the index of a page is missing, not a number or beyond the last page")]
    InvalidPageIndex,
    #[error("the result is larger than {MAX_RESULT_BYTES} bytes")]
    TooLarge,
    #[error("the result does not consist of rows of text")]
    NotRows,
}

/// Whether a page was added to the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageReceipt {
    /// The page was missing and has been added.
    Accepted,
    /// The page has arrived before, or there is no result that it could belong to.
    Unexpected,
}

/// A result of which at least the first page has arrived.
pub(super) struct PagedResult {
    /// The time from sending the attempt to the arrival of the first page.
    pub latency: TimeDelta,
    /// The CPU time of the statement; `None` if the engine does not report it.
    cpu: Option<TimeDelta>,
    /// The memory of the statement in MB; `None` if the engine does not report it.
    memory_mb: Option<f64>,
    /// The pages by index; `None` for a page that has not arrived yet.
    pages: Vec<Option<Bytes>>,
    size_bytes: usize,
    last_page_received: Timestamp,
}

impl PagedResult {
    /// Creates a result from the response that announces it and carries its first page.
    ///
    /// # Errors
    ///
    /// The response does not say how many pages there are, or announces more than [`MAX_PAGES`].
    /// The first page alone may be a part of the result.
    pub(super) fn new(
        now: Timestamp,
        latency: TimeDelta,
        first: Response,
    ) -> Result<PagedResult, ResultError> {
        let page_count = first
            .number::<usize>("total")
            .filter(|count| (1..=MAX_PAGES).contains(count))
            .ok_or(ResultError::InvalidPageCount)?;
        let cpu_ms = first.quantity("elapsed");
        let memory_mb = first.quantity("rss");
        let size_bytes = first.body.len();
        // A page that waits for others does not keep the read buffer that it arrived in.
        let first_page = if page_count > 1 {
            Bytes::copy_from_slice(&first.body)
        } else {
            first.body
        };
        let mut result = PagedResult {
            latency,
            cpu: cpu_ms.map(|ms| TimeDelta::from_secs(ms / 1e3)),
            memory_mb,
            pages: vec![None; page_count],
            size_bytes,
            last_page_received: now,
        };
        result.pages[0] = Some(first_page);
        Ok(result)
    }

    /// Returns the number of pages of the result, including those that have not arrived.
    pub(super) fn page_count(&self) -> usize {
        self.pages.len()
    }

    /// Returns the size of the pages that have arrived.
    pub(super) fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Lets the time for the next page begin at `now`, because the connection was not read before.
    pub(super) fn restart_page_timeout(&mut self, now: Timestamp) {
        self.last_page_received = now;
    }

    /// Returns when the latest page arrived.
    pub(super) fn last_page_received(&self) -> Timestamp {
        self.last_page_received
    }

    /// Adds a page other than the first.
    ///
    /// # Errors
    ///
    /// The response does not say which page it carries, or the result has no such page.
    pub(super) fn add_page(
        &mut self,
        now: Timestamp,
        page: Response,
    ) -> Result<PageReceipt, ResultError> {
        let slot = page
            .number::<usize>("index")
            .and_then(|index| self.pages.get_mut(index))
            .ok_or(ResultError::InvalidPageIndex)?;
        if slot.is_some() {
            return Ok(PageReceipt::Unexpected);
        }
        self.size_bytes += page.body.len();
        self.last_page_received = now;
        *slot = Some(Bytes::copy_from_slice(&page.body));
        Ok(PageReceipt::Accepted)
    }

    /// Returns the pages in order; `None` if one is missing.
    ///
    /// # Errors
    ///
    /// The pages that have arrived exceed [`MAX_RESULT_BYTES`], or the result is complete but not
    /// text in whole rows.
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

    /// Returns the event that reports the attempt as completed.
    pub(super) fn completion_event(&self) -> AttemptEvent {
        AttemptEvent::Completed {
            cpu: self.cpu,
            memory_mb: self.memory_mb,
        }
    }
}

/// Whether a page is UTF-8 text that consists of whole rows. An empty page is valid and has no
/// rows.
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
