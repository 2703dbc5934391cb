//! Counts since the start. The names under which the program prints them are older than the terms of this package; operators
//! and their tools go by them.

use crate::message::RejectReason;

macro_rules! metrics {
    ($($name:ident, $printed:literal: $doc:literal),* $(,)?) => {
        /// Counts since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Metrics {
            $(#[doc = $doc] pub $name: u64,)*
        }

        impl Metrics {
            /// Each counter's name and value, in the order in which they are printed.
            #[must_use]
            pub fn named_counts(&self) -> [(&'static str, u64); [$($doc),*].len()] {
                [$(($printed, self.$name)),*]
            }
        }
    };
}

metrics! {
    sent, "sent": "Datagrams sent.",
    sent_bytes, "sent_bytes": "Bytes of datagrams sent.",
    accepted, "taken": "Datagrams accepted.",
    rejected_length, "refused_size": "Datagrams rejected: too long or too short.",
    rejected_version, "refused_version": "Datagrams rejected: of another version.",
    rejected_unknown_key, "refused_key": "Datagrams rejected: signed by a key that is not accepted.",
    rejected_authentication_tag, "refused_code": "Datagrams rejected: the authentication tag does not match.",
    rejected_malformed, "refused_form": "Datagrams rejected: without a valid message.",
    rejected_other_fleet, "refused_foreign": "Datagrams rejected: of another fleet.",
    rejected_replayed, "refused_repeated": "Datagrams rejected: they came before.",
    rejected_source_address, "refused_address": "Datagrams rejected: from another address than they advertise.",
    rejected_unsolicited, "refused_unasked": "Datagrams rejected: answers to no request.",
    rejected_rate_limited, "refused_many": "Datagrams rejected: requests beyond the rate at which they are answered.",
    rejected_own_name, "refused_own_name": "Datagrams rejected: under this node's own name.",
    implausible_incarnations, "beyond": "Records ignored: incarnations at the end of their range or far ahead.",
    unvouched, "unvouched": "Records that too few witnesses vouch for, which are verified by a probe.",
    probes, "probes": "Probes of members.",
    probes_failed, "probes_failed": "Of these, without an answer, directly or by a relay.",
    suspected, "suspected": "Members suspected.",
    declared_dead, "died": "Members declared dead.",
    false_deaths, "revived": "Of these, those that came back without a restart.",
    refutations, "refuted": "Refutations by this node.",
    loop_stalls, "stood_still": "Times this node's loop was late by more than half a probe's time-out.",
    view_state_changes, "standings": "Changes of the view state.",
    probes_repeated, "confirmed": "Failed probes repeated before suspicion, with traffic limits.",
    verifications_deferred, "verified_later": "Updates from too few witnesses that others verify first, with traffic limits.",
    verifications_unneeded, "verified_by_others": "Of these, those that enough witnesses settled meanwhile.",
    limited_probes, "bounded_probes": "Direct probes put off, since a period had its number, with traffic limits.",
    limited_gossip, "bounded_gossip": "Messages that carried less gossip than there was and fitted, with traffic limits.",
    limited_exchange, "bounded_exchange": "Exchanges not begun or not answered for want of budget, with traffic limits.",
    digest_requests_sent, "compared": "Comparisons of table digests begun, with traffic limits.",
    digest_requests_answered, "compared_for_others": "Comparisons of table digests that others began.",
    fingerprint_requests_sent, "listed": "Lists of fingerprints sent, with traffic limits, where tables differ by much.",
    fingerprint_requests_answered, "listed_for_others": "Lists of fingerprints of others that were answered.",
    vouched_by_digest, "vouched_by_digest": "Members that an equal digest, or a fingerprint held elsewhere, vouched for.",
}

impl Metrics {
    /// Counts what became of a received datagram.
    pub(crate) fn count_received(&mut self, result: Result<(), RejectReason>) {
        let counter = match result {
            Ok(()) => &mut self.accepted,
            Err(RejectReason::Length) => &mut self.rejected_length,
            Err(RejectReason::Version) => &mut self.rejected_version,
            Err(RejectReason::UnknownKey) => &mut self.rejected_unknown_key,
            Err(RejectReason::AuthenticationTag) => &mut self.rejected_authentication_tag,
            Err(RejectReason::Malformed) => &mut self.rejected_malformed,
            Err(RejectReason::OtherFleet) => &mut self.rejected_other_fleet,
            Err(RejectReason::Replayed) => &mut self.rejected_replayed,
            Err(RejectReason::SourceAddress) => &mut self.rejected_source_address,
            Err(RejectReason::Unsolicited) => &mut self.rejected_unsolicited,
            Err(RejectReason::RateLimited) => &mut self.rejected_rate_limited,
            Err(RejectReason::OwnName) => &mut self.rejected_own_name,
        };
        *counter += 1;
    }
}
