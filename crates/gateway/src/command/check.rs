//! `laurelhitch check`: validates the configuration and the operator's file, and prints the
//! settings that a gateway would use with them.

use std::path::{Path, PathBuf};

use ::membership::Name;
use operator_config::MembershipConfig;
use scheduler::Config as QueueConfig;

use super::output::print_line;
use super::{CommandResult, config_path};
use crate::cluster::key_folder;
use crate::config::{Config, OperatorSettings};
use crate::service::NETWORK_DELAY;

/// Reads both files and prints their settings section by section. Fails if either file is invalid
/// or cannot be read.
pub(super) fn check(operator: Option<PathBuf>, config: Option<PathBuf>) -> CommandResult {
    let path = config_path(config)?;
    let config = Config::read(&path)?;
    print_configuration(&path, &config)?;
    let file = operator
        .as_deref()
        .map_or("no operator's file".to_owned(), |path| {
            format!("operator's file {}", path.display())
        });
    let operator_settings = OperatorSettings::read(operator, &config)?;
    if let Some((name, membership)) = &operator_settings.fleet {
        print_fleet(&file, name, membership)?;
    }
    if let Some(shares) = &operator_settings.shares {
        print_shares(&file, shares)?;
    }
    match &operator_settings.queues {
        Some(queues) => print_queues(&file, queues)?,
        None => print_line(&format!("{file}: queues are off"))?,
    }
    Ok(())
}

fn print_configuration(path: &Path, config: &Config) -> CommandResult {
    config.settings.policy(config.seed, NETWORK_DELAY)?;
    print_line(&format!(
        "configuration {}: gateway {}, listens on {}",
        path.display(),
        config.name,
        config.listen
    ))?;
    print_line(&format!(
        "  products: {}",
        config.settings.class_names()?.join(", ")
    ))?;
    print_line(&format!(
        "  members: {}",
        config.settings.tenant_names()?.join(", ")
    ))?;
    Ok(())
}

fn print_fleet(file: &str, name: &Name, membership: &MembershipConfig) -> CommandResult {
    let keys = key_folder::read(&membership.keys_folder)?;
    print_line(&format!(
        "{file}: fleet {} is on; this is {name}, bound to {}, reached at {}",
        membership.fleet, membership.bind, membership.advertise
    ))?;
    let seeds: Vec<String> = membership.seeds.iter().map(ToString::to_string).collect();
    print_line(&format!(
        "  seeds {}; {} keys accepted",
        seeds.join(", "),
        keys.accepted_keys().count()
    ))?;
    let protocol = &membership.protocol;
    print_line(&format!(
        "  probes each {} s, answers within {} s, {} helpers; hearsay counts from {} gateways on",
        protocol.probe_period.secs(),
        protocol.probe_timeout.secs(),
        protocol.indirect_probes,
        protocol.required_witnesses()
    ))?;
    if let Some(limits) = &protocol.traffic_limits {
        print_line(&format!(
            "  bounded: {} confirmations, {} verifiers, {} direct probes a period, {} bytes a second of gossip and {} of tables",
            limits.confirmations,
            limits.verifiers,
            limits.direct_probes,
            limits.gossip_bytes_per_s,
            limits.exchange_bytes_per_s
        ))?;
    }
    Ok(())
}

fn print_shares(file: &str, shares: &::quota::Config) -> CommandResult {
    let voters: Vec<&str> = shares.voters.iter().map(|name| name.as_str()).collect();
    print_line(&format!(
        "{file}: budgets are divided among {} gateways at most; voters {}; leases {} s, terms {} s",
        shares.max_gateways,
        voters.join(", "),
        shares.lease_duration.secs(),
        shares.term_duration.secs()
    ))?;
    for budget in &shares.budgets {
        print_line(&format!(
            "  {:<24} whole {} {}, floor of each {}",
            budget.name(),
            budget.capacity,
            budget.unit(),
            budget.guaranteed
        ))?;
    }
    Ok(())
}

fn print_queues(file: &str, queues: &QueueConfig) -> CommandResult {
    print_line(&format!(
        "{file}: queues are on; ageing {} s, budgets save up over {} s",
        queues.ageing.secs(),
        queues.burst.secs()
    ))?;
    print_line(&format!(
        "  bounds: {} statements, {} CPU s; a desk {}, {}",
        queues.total_limit.statements,
        queues.total_limit.cpu,
        queues.sub_queue_limit.statements,
        queues.sub_queue_limit.cpu
    ))?;
    print_line("  this gateway's part, in CPU s a second:")?;
    for tenant in &queues.tenants {
        print_line(&format!(
            "  {:<20} {:>8.3}  weight {}",
            tenant.name, tenant.share.budget, tenant.share.weight
        ))?;
        for sub_queue in &tenant.sub_queues {
            let networks: Vec<String> =
                sub_queue.networks.iter().map(ToString::to_string).collect();
            print_line(&format!(
                "    {:<18} {:>8.3}  weight {}  {}",
                sub_queue.name,
                sub_queue.share.budget,
                sub_queue.share.weight,
                networks.join(" ")
            ))?;
        }
    }
    Ok(())
}
