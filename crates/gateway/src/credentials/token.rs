//! `laurelhitch token`: tokens of callers.

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

/// Random bytes in the id of a token.
const TOKEN_ID_BYTES: usize = 8;

#[derive(Debug, Subcommand)]
pub enum Token {
    /// Signs a token and prints it.
    Issue(Issue),
    /// What a token says, unchecked.
    Show { token: String },
    /// What a gateway with this folder would say of it now; exit 1 unless it is granted.
    Verify { folder: PathBuf, token: String },
    /// Revokes one token by its id, or all of a caller.
    Revoke {
        folder: PathBuf,
        #[arg(long, required_unless_present = "caller")]
        token: Option<String>,
        #[arg(long)]
        caller: Option<String>,
    },
}

#[derive(Args, Debug)]
pub struct Issue {
    folder: PathBuf,
    key: String,
    #[arg(long)]
    caller: String,
    #[arg(long = "member", value_name = "MEMBER")]
    tenant: String,
    /// Desks, query classes, table groups (`3-5` or `7`) and networks that it is limited to; without one, all.
    #[arg(long = "desk", value_name = "DESK")]
    sub_queues: Vec<String>,
    #[arg(long = "product", value_name = "PRODUCT")]
    classes: Vec<String>,
    #[arg(long = "groups", value_name = "GROUPS", value_parser = table_group_range)]
    table_groups: Vec<TableGroupRange>,
    #[arg(long = "network", value_name = "NETWORK")]
    networks: Vec<IpNet>,
    /// Most statements open at a time.
    #[arg(long = "most-open", value_name = "MOST_OPEN")]
    max_open_statements: Option<u32>,
    #[arg(long, default_value_t = 60.0)]
    minutes: f64,
}

/// `3-5`, or `7` for that one alone.
fn table_group_range(text: &str) -> Result<TableGroupRange, String> {
    let (from, to) = text.split_once('-').unwrap_or((text, text));
    let number = |text: &str| text.parse::<u32>().map_err(|e| e.to_string());
    Ok(TableGroupRange {
        first: number(from)?,
        last: number(to)?,
    })
}

/// Runs one command on tokens.
///
/// # Errors
/// The folder or the token cannot be used, or the token is not granted.
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
    let public = keyfiles::read(&issue.folder)?.public_keys.get(&id).copied();
    let public = public.ok_or_else(|| format!("{} is not announced", id.as_str()))?;
    token::verify(&signed, &public)?;
    print_line(&signed)?;
    Ok(())
}

/// Without a name, no limit.
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
    let files = keyfiles::read(folder)?;
    let now = Timestamp::from_secs(unix_now_s());
    let mut verifier = TokenVerifier::new(now, VerifierConfig::default());
    verifier.update(now, &files.index, &files.public_keys, files.revoked)?;
    match verifier.verify(now, token) {
        Authentication::Accepted { claims, .. } => {
            print_line(&format!(
                "granted to {} of {}",
                claims.caller, claims.grant.tenant
            ))?;
            Ok(())
        }
        Authentication::RetryLater { retry_after } => {
            let text = format!("not yet; come back in {} ms", retry_after.secs() * 1e3);
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
    // Gateways look at the index: its version tells them that something is new.
    update_index(folder, |_| Ok(()))
}
