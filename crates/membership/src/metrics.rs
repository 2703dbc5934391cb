//! Counts since the start, by the names under which the program prints them.

macro_rules! metrics {
    ($($name:ident: $what:literal),* $(,)?) => {
        /// Counts since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Metrics {
            $(#[doc = $what] pub $name: u64,)*
        }

        impl Metrics {
            pub fn each(&self) -> [(&'static str, u64); [$($what),*].len()] {
                [$((stringify!($name), self.$name)),*]
            }
        }
    };
}

metrics! {
    sent: "datagrams given out",
    sent_bytes: "bytes of these",
    taken: "datagrams that counted",
    refused_size: "too long or too short",
    refused_version: "of another version",
    refused_key: "by a key not accepted",
    refused_code: "whose code does not hold",
    refused_form: "that cannot be read",
    refused_foreign: "of another fleet",
    refused_repeated: "that came before",
    refused_address: "from another address than they say",
    refused_unasked: "answers to nothing asked",
    refused_many: "questions beyond the pace at which they are answered",
    refused_own_name: "under this gateway's own name",
    beyond: "records beyond belief: incarnations at the end of their range or far ahead",
    unvouched: "records that too few say, and that were looked into",
    probes: "gateways probed",
    probes_failed: "without an answer, by others neither",
    suspected: "gateways suspected",
    died: "gateways taken for dead",
    revived: "of these, that came back without a restart: false deaths",
    refuted: "times this gateway said that it is there",
    stood_still: "times this loop was late by more than half an answer's time",
    standings: "changes of standing",
    confirmed: "failed probes that were repeated before anything was said, with bounds",
    verified_later: "updates from too few witnesses that were left to others to verify first, with bounds",
    verified_by_others: "of these, that enough witnesses settled meanwhile",
    bounded_probes: "direct probes put off, since a period had its number",
    bounded_gossip: "messages that carried less gossip than there was and fitted",
    bounded_exchange: "parts of tables not asked for or not given, for want of budget",
    compared: "comparisons of some buckets of the table with another's, with bounds",
    compared_for_others: "comparisons that others asked for",
    listed: "lists of some of the table sent to others, with bounds, where tables differ by much",
    listed_for_others: "lists of others that were answered",
    vouched_by_digest: "gateways that an equal bucket of another's table, or its mark in a list, vouched for",
}
