//! `laurelhitch keys` and `laurelhitch token`: the folder of keys kept, and tokens made, shown and revoked.

use std::collections::BTreeSet;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use admission::interface::Timestamp;
use clap::{Args, Subcommand};
use identity::token::{self, Claims};
use identity::{
    Authentication, Grant, KeyEntry, KeyId, KeyIndex, RevocationList, TableGroupRange,
    TokenVerifier, VerifierConfig,
};
use ipnet::IpNet;

use crate::keyfiles::{self, FilesError};

type Done = Result<(), Box<dyn Error>>;

#[derive(Debug, Subcommand)]
pub enum Keys {
    /// Makes a pair: ID.key, readable by its owner alone, and ID.pub. It signs nothing until announced.
    New { folder: PathBuf, id: String },
    /// The keys of the index, and where each stands now.
    List { folder: PathBuf },
    /// Lists a key: it is known from now on, and signs later.
    Announce {
        folder: PathBuf,
        id: String,
        /// Longer than files take to reach every gateway.
        #[arg(long, default_value_t = 60.0)]
        signs_in_s: f64,
    },
    /// It signs nothing new from then on; what it signed holds.
    Retire {
        folder: PathBuf,
        id: String,
        #[arg(long, default_value_t = 0.0)]
        in_s: f64,
    },
    /// Nothing that it signed holds from then on. This cannot be taken back.
    Withdraw {
        folder: PathBuf,
        id: String,
        #[arg(long, default_value_t = 0.0)]
        in_s: f64,
    },
}

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
    #[arg(long)]
    member: String,
    /// Desks, query classes, table groups (`3-5` or `7`) and networks that it is limited to; without one, all.
    #[arg(long)]
    desk: Vec<String>,
    #[arg(long = "product", value_name = "PRODUCT")]
    class: Vec<String>,
    #[arg(long, value_parser = range)]
    groups: Vec<TableGroupRange>,
    #[arg(long)]
    network: Vec<IpNet>,
    /// Most statements open at a time.
    #[arg(long)]
    most_open: Option<u32>,
    #[arg(long, default_value_t = 60.0)]
    minutes: f64,
}

fn range(text: &str) -> Result<TableGroupRange, String> {
    let (from, to) = text.split_once('-').unwrap_or((text, text));
    let number = |text: &str| text.parse::<u32>().map_err(|e| e.to_string());
    Ok(TableGroupRange {
        first: number(from)?,
        last: number(to)?,
    })
}

fn now_s() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

fn id(name: String) -> Result<KeyId, Box<dyn Error>> {
    Ok(KeyId::try_from(name)?)
}

/// Changes the index and writes it, one version on; it must stand up to its own checks first.
fn change(folder: &Path, of: impl FnOnce(&mut KeyIndex) -> Result<(), Box<dyn Error>>) -> Done {
    let mut index = keyfiles::read_index_or_default(folder)?;
    of(&mut index)?;
    index.version += 1;
    let text = serde_json::to_string(&index)?;
    let index = KeyIndex::parse(&text)?;
    keyfiles::write_index(folder, &index)?;
    Ok(())
}

fn listed<'a>(index: &'a mut KeyIndex, id: &KeyId) -> Result<&'a mut KeyEntry, Box<dyn Error>> {
    let found = index.keys.iter_mut().find(|listed| listed.id == *id);
    found.ok_or_else(|| format!("{} is not in the index", id.as_str()).into())
}

pub fn keys(command: Keys) -> Done {
    match command {
        Keys::New { folder, id: name } => {
            let id = id(name)?;
            fs::create_dir_all(&folder)?;
            let (secret_path, public_path) = (
                keyfiles::secret_path(&folder, &id),
                keyfiles::public_path(&folder, &id),
            );
            for path in [&secret_path, &public_path] {
                if path.exists() {
                    return Err(FilesError::Exists(path.clone()).into());
                }
            }
            let pair = token::generate_key_pair()?;
            keyfiles::write_secret(&secret_path, keyfiles::hex(&pair.secret[..]).as_bytes())?;
            keyfiles::write_public(&public_path, keyfiles::hex(&pair.public).as_bytes())?;
            println!("{}", public_path.display());
            Ok(())
        }
        Keys::List { folder } => {
            let index = keyfiles::read_index_or_default(&folder)?;
            println!("version {}", index.version);
            let now = Timestamp::from_secs(now_s());
            for listed in &index.keys {
                println!("{:<32}  {:?}", listed.id.as_str(), listed.state(now));
            }
            Ok(())
        }
        Keys::Announce {
            folder,
            id: name,
            signs_in_s,
        } => {
            let id = id(name)?;
            if !keyfiles::public_path(&folder, &id).exists() {
                return Err(format!(
                    "{}: make it first",
                    keyfiles::public_path(&folder, &id).display()
                )
                .into());
            }
            change(&folder, |index| {
                if index.keys.iter().any(|listed| listed.id == id) {
                    return Err(format!("{} is announced already", id.as_str()).into());
                }
                let now = now_s();
                let signing_s = Some(now + signs_in_s.max(0.0));
                index.keys.push(KeyEntry {
                    id,
                    announced_s: now,
                    signing_s,
                    retired_s: None,
                    withdrawn_s: None,
                });
                Ok(())
            })
        }
        Keys::Retire {
            folder,
            id: name,
            in_s,
        } => {
            let id = id(name)?;
            change(&folder, |index| {
                let of = listed(index, &id)?;
                of.retired_s = Some((now_s() + in_s).max(of.signing_s.unwrap_or(0.0)));
                Ok(())
            })
        }
        Keys::Withdraw {
            folder,
            id: name,
            in_s,
        } => {
            let id = id(name)?;
            change(&folder, |index| {
                let (of, at) = (listed(index, &id)?, now_s() + in_s);
                // Steps that were still to come will not be.
                of.signing_s = of.signing_s.filter(|signs| *signs <= at);
                of.retired_s = of.retired_s.filter(|retires| *retires <= at);
                of.withdrawn_s = Some(at);
                Ok(())
            })
        }
    }
}

pub fn token(command: Token) -> Done {
    match command {
        Token::Issue(issue) => {
            let id = id(issue.key)?;
            let secret = keyfiles::read_secret(&issue.folder, &id)?;
            let set =
                |of: Vec<String>| (!of.is_empty()).then(|| of.into_iter().collect::<BTreeSet<_>>());
            let grant = Grant {
                tenant: issue.member,
                sub_queues: set(issue.desk),
                classes: set(issue.class),
                table_groups: (!issue.groups.is_empty()).then_some(issue.groups),
                max_open_statements: issue.most_open,
                networks: (!issue.network.is_empty()).then_some(issue.network),
            };
            let now = now_s();
            let name = token::generate_key_pair()?.public;
            let claims = Claims {
                caller: issue.caller,
                id: keyfiles::hex(&name[..8]).trim().to_owned(),
                issued_s: now,
                not_before_s: now,
                expires_s: now + issue.minutes * 60.0,
                grant,
            };
            let token = token::sign(&claims, &id, &secret)?;
            let public = keyfiles::read(&issue.folder)?.public_keys.get(&id).copied();
            let public = public.ok_or_else(|| format!("{} is not announced", id.as_str()))?;
            token::verify(&token, &public)?;
            println!("{token}");
            Ok(())
        }
        Token::Show { token } => {
            let claims = token::unverified_claims(&token)?;
            println!(
                "key {}, unchecked",
                token::unverified_key_id(&token)?.as_str()
            );
            println!("{}", serde_json::to_string_pretty(&claims)?);
            Ok(())
        }
        Token::Verify { folder, token } => {
            let (files, now) = (keyfiles::read(&folder)?, Timestamp::from_secs(now_s()));
            let mut verifier = TokenVerifier::new(now, VerifierConfig::default());
            verifier.update(now, &files.index, &files.public_keys, files.revoked)?;
            match verifier.verify(now, &token) {
                Authentication::Accepted { claims, .. } => {
                    println!("granted to {} of {}", claims.caller, claims.grant.tenant);
                    Ok(())
                }
                Authentication::RetryLater { retry_after } => {
                    let text = format!("not yet; come back in {} ms", retry_after.secs() * 1e3);
                    Err(text.into())
                }
                Authentication::Rejected(reason) => Err(reason.to_string().into()),
            }
        }
        Token::Revoke {
            folder,
            token,
            caller,
        } => {
            let path = keyfiles::revocation_path(&folder);
            let mut text = if path.exists() {
                fs::read_to_string(&path)?
            } else {
                String::new()
            };
            if !text.is_empty() && !text.ends_with('\n') {
                text.push('\n');
            }
            for (kind, name) in [("token", token), ("caller", caller)] {
                name.into_iter()
                    .for_each(|name| text.push_str(&format!("{kind} {name}\n")));
            }
            if let Err(error) = RevocationList::parse(&text) {
                return Err(FilesError::Revocation(path, error.line).into());
            }
            keyfiles::write_public(&path, text.as_bytes())?;
            // Gateways look at the index: it tells them that something is new.
            change(&folder, |_| Ok(()))
        }
    }
}
