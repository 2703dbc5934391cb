//! `laurelhitch token`: issues, shows, verifies and revokes tokens.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use admission::interface::Timestamp;
use clap::{Args, Subcommand};
use identity::token::{self, Claims};
use identity::{
    Authentication, Grant, RevocationList, TableGroupRange, TokenVerifier, VerifierConfig,
};
use ipnet::IpNet;

use super::{CommandResult, key_id, unix_now_s, update_index};
use crate::command::output::print_line;
use crate::keyfiles::{self, KeyFileError};

/// The number of random bytes in a token id.
const TOKEN_ID_BYTES: usize = 8;

#[derive(Debug, Subcommand)]
pub enum Token {
    /// Signs a token and prints it.
    Issue(Issue),
    /// Prints the claims of a token without verifying it.
    Show { token: String },
    /// Checks whether a gateway with this folder would accept a token now, and exits with 1 if not.
    Verify { folder: PathBuf, token: String },
    /// Revokes one token by its id, or all tokens of a caller.
    Revoke {
        folder: PathBuf,
        /// The id of the token to revoke.
        #[arg(long, required_unless_present = "caller")]
        token: Option<String>,
        /// The caller whose tokens are revoked.
        #[arg(long)]
        caller: Option<String>,
    },
}

#[derive(Args, Debug)]
pub struct Issue {
    folder: PathBuf,
    /// The id of the key that signs the token.
    key: String,
    /// The caller that the token identifies.
    #[arg(long)]
    caller: String,
    /// The member whose statements the caller may send.
    #[arg(long = "member", value_name = "MEMBER")]
    tenant: String,
    /// A desk that the token is limited to; may be repeated. All desks without it.
    #[arg(long = "desk", value_name = "DESK")]
    sub_queues: Vec<String>,
    /// A query class that the token is limited to; may be repeated. All classes without it.
    #[arg(long = "product", value_name = "PRODUCT")]
    classes: Vec<String>,
    /// Table groups that the token is limited to, as `3-5` or `7`; may be repeated. All without it.
    #[arg(long = "groups", value_name = "GROUPS", value_parser = table_group_range)]
    table_groups: Vec<TableGroupRange>,
    /// A network that the token may be used from; may be repeated. All networks without it.
    #[arg(long = "network", value_name = "NETWORK")]
    networks: Vec<IpNet>,
    /// The maximum number of statements that may be open at a time.
    #[arg(long = "most-open", value_name = "MOST_OPEN")]
    max_open_statements: Option<u32>,
    /// How many minutes the token is valid.
    #[arg(long, default_value_t = 60.0)]
    minutes: f64,
}

/// Parses a range of table groups such as `3-5`, or a single one such as `7`.
fn table_group_range(text: &str) -> Result<TableGroupRange, String> {
    let (from, to) = text.split_once('-').unwrap_or((text, text));
    let number = |text: &str| text.parse::<u32>().map_err(|e| e.to_string());
    Ok(TableGroupRange {
        first: number(from)?,
        last: number(to)?,
    })
}

/// Runs a `laurelhitch token` command.
///
/// # Errors
/// Fails if the folder or the token is invalid or not accessible, or if the token to verify is not
/// accepted.
pub fn token(command: Token) -> CommandResult {
    match command {
        Token::Issue(issue) => issue_token(issue),
        Token::Show { token } => show(&token),
        Token::Verify { folder, token } => verify(&folder, &token),
        Token::Revoke {
            folder,
            token,
            caller,
        } => revoke(&folder, token.as_deref(), caller.as_deref()),
    }
}

fn issue_token(issue: Issue) -> CommandResult {
    let id = key_id(issue.key)?;
    let secret = keyfiles::read_secret(&issue.folder, &id)?;
    let grant = Grant {
        tenant: issue.tenant,
        sub_queues: limited_to(issue.sub_queues),
        classes: limited_to(issue.classes),
        table_groups: (!issue.table_groups.is_empty()).then_some(issue.table_groups),
        max_open_statements: issue.max_open_statements,
        networks: (!issue.networks.is_empty()).then_some(issue.networks),
    };
    let now_s = unix_now_s();
    let random = token::generate_key_pair()?.public;
    let claims = Claims {
        caller: issue.caller,
        id: keyfiles::hex(&random[..TOKEN_ID_BYTES]).trim().to_owned(),
        issued_s: now_s,
        not_before_s: now_s,
        expires_s: now_s + issue.minutes * 60.0,
        grant,
    };
    let signed = token::sign(&claims, &id, &secret)?;
    let public = keyfiles::read_all_keys(&issue.folder)?
        .public_keys
        .get(&id)
        .copied();
    let public = public.ok_or_else(|| format!("{} is not announced", id.as_str()))?;
    token::verify(&signed, &public)?;
    print_line(&signed)?;
    Ok(())
}

/// Converts the names that a token is limited to. No names mean no limit, that is, `None`.
fn limited_to(names: Vec<String>) -> Option<BTreeSet<String>> {
    (!names.is_empty()).then(|| names.into_iter().collect())
}

fn show(token: &str) -> CommandResult {
    let claims = token::unverified_claims(token)?;
    let key = token::unverified_key_id(token)?;
    print_line(&format!("key {}, unchecked", key.as_str()))?;
    print_line(&serde_json::to_string_pretty(&claims)?)?;
    Ok(())
}

fn verify(folder: &Path, token: &str) -> CommandResult {
    let files = keyfiles::read_all_keys(folder)?;
    let revoked = keyfiles::read_revocations(folder)?;
    let now = Timestamp::from_secs(unix_now_s());
    let mut verifier = TokenVerifier::new(now, VerifierConfig::default());
    verifier.update(now, &files.index, &files.public_keys, revoked)?;
    match verifier.verify(now, token) {
        Authentication::Accepted { claims, .. } => {
            print_line(&format!(
                "granted to {} of {}",
                claims.caller, claims.grant.tenant
            ))?;
            Ok(())
        }
        Authentication::RetryLater { retry_after } => {
            let text = format!(
                "not accepted yet; come back in {} ms",
                retry_after.secs() * 1e3
            );
            Err(text.into())
        }
        Authentication::Rejected(reason) => Err(reason.to_string().into()),
    }
}

fn revoke(folder: &Path, token: Option<&str>, caller: Option<&str>) -> CommandResult {
    let path = keyfiles::revocation_path(folder);
    let mut text = keyfiles::read_if_present(&path)?.unwrap_or_default();
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    if let Some(token) = token {
        text.push_str(&format!("token {token}\n"));
    }
    if let Some(caller) = caller {
        text.push_str(&format!("caller {caller}\n"));
    }
    if let Err(error) = RevocationList::parse(&text) {
        return Err(KeyFileError::Revocation(path, error.line).into());
    }
    keyfiles::write_public(&path, text.as_bytes())?;
    // Gateways watch the version of the index, so a new version makes them read the revocation
    // list.
    update_index(folder, |_| Ok(()))
}
