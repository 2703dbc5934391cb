//! Counters since the start of the process. Some are printed under names that differ from the terms
//! used in this crate, because operators and their tools depend on the printed names.

use crate::message::RejectReason;

macro_rules! metrics {
    ($($name:ident, $printed:literal: $doc:literal),* $(,)?) => {
        /// Counters since the start of the process.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Metrics {
            $(#[doc = $doc] pub $name: u64,)*
        }

        impl Metrics {
            /// Returns the printed name and the value of each counter, in the order in which they
            /// are printed.
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
    rejected_length, "refused_size": "Datagrams rejected because of their length.",
    rejected_version, "refused_version":
        "Datagrams rejected because they use another version of the layout.",
    rejected_unknown_key, "refused_key":
        "Datagrams rejected because they are signed with a key that is not accepted.",
    rejected_authentication_tag, "refused_code":
        "Datagrams rejected because the authentication tag does not match.",
    rejected_malformed, "refused_form":
        "Datagrams rejected because they do not contain a valid message.",
    rejected_other_fleet, "refused_foreign":
        "Datagrams rejected because they come from another fleet.",
    rejected_replayed, "refused_repeated": "Datagrams rejected as replays.",
    rejected_source_address, "refused_address":
        "Datagrams rejected because the sender advertises another address.",
    rejected_unsolicited, "refused_unasked": "Datagrams rejected because they answer no request.",
    rejected_rate_limited, "refused_many":
        "Datagrams rejected because requests exceed the rate limit.",
    rejected_own_name, "refused_own_name":
        "Datagrams rejected because another process sent them under this node's name.",
    implausible_incarnations, "beyond":
        "Records ignored because their incarnation is out of range or too far ahead.",
    unvouched, "unvouched":
        "Records with too few witnesses, which this node verifies with a probe.",
    probes, "probes": "Probes of members started.",
    probes_failed, "probes_failed":
        "Probes of members that got no answer, neither directly nor through a relay.",
    suspected, "suspected": "Suspicions raised.",
    declared_dead, "died": "Members declared dead.",
    false_deaths, "revived": "Members declared dead that came back without a restart.",
    refutations, "refuted": "Refutations by this node.",
    loop_stalls, "stood_still":
        "Times this node's event loop was late by more than half a probe time-out.",
    view_state_changes, "standings": "Changes of the view state.",
    probes_repeated, "confirmed":
        "Failed probes repeated before the member is suspected, with traffic limits.",
    verifications_deferred, "verified_later":
        "Verifications deferred so that other nodes can verify first, with traffic limits.",
    verifications_unneeded, "verified_by_others":
        "Verifications that became unnecessary before their probe was sent, with traffic limits.",
    limited_probes, "bounded_probes":
        "Direct probes postponed because the period reached its limit, with traffic limits.",
    limited_gossip, "bounded_gossip":
        "Messages whose gossip was cut short by the byte budget, with traffic limits.",
    limited_exchange, "bounded_exchange":
        "Table exchanges not begun or not answered because the byte budget was exhausted.",
    digest_requests_sent, "compared": "Digest requests sent, with traffic limits.",
    digest_requests_answered, "compared_for_others": "Digest requests of other nodes answered.",
    fingerprint_requests_sent, "listed": "Fingerprint requests sent, with traffic limits.",
    fingerprint_requests_answered, "listed_for_others":
        "Fingerprint requests of other nodes answered.",
    vouched_by_digest, "vouched_by_digest":
        "Records that a peer vouched for by an equal digest or fingerprint.",
}

impl Metrics {
    /// Counts a received datagram as accepted or under the reason why it was rejected.
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
