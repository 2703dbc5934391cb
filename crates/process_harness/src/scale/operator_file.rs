//! The operator's file of a run: one text for hollow and real gateways, so that both go by the same settings.

use super::layout::{Layout, VOTERS};

/// Budgets that one file may have.
pub const MOST_BUDGETS: usize = 24;
/// Of these, what is not a tenant's.
const OTHERS: usize = 2;

/// Tenants whose budgets are divided.
pub fn tenants(budgets: usize) -> Vec<String> {
    (0..budgets.saturating_sub(OTHERS))
        .map(|at| format!("t{at:02}"))
        .collect()
}

/// The blocks of leases; empty without budgets.
pub fn leases(layout: &Layout, budgets: usize) -> String {
    if budgets == 0 {
        return String::new();
    }
    let voters: Vec<String> = (0..VOTERS)
        .map(|voter| format!("\"{}\"", layout.name(voter)))
        .collect();
    let mut text = format!(
        "shares {{\n  voters = [{}]\n  most_gateways = {}\n  relays_per_s = {{ point = 100 }}\n",
        voters.join(", "),
        layout.len()
    );
    if budgets > 1 {
        text += "  trials_per_s = 4\n";
    }
    text += "}\n";
    let tenants = tenants(budgets);
    if !tenants.is_empty() {
        text +=
            "queues {\n  default_member = \"water\"\n  member \"water\" { cpu_s_per_s = 0.0 }\n";
        for tenant in tenants {
            text += &format!("  member \"{tenant}\" {{ cpu_s_per_s = 10.0 }}\n");
        }
        text += "}\n";
    }
    text
}

/// Further lines of all `fleet` blocks.
pub fn fleet_lines(block: &str) -> String {
    format!(
        "most_gateways = {}\n  {block}",
        super::limits::MOST_GATEWAYS
    )
}

/// The whole file of one hollow gateway; its name, address and place are replaced for each.
pub fn hollow(layout: &Layout, block: &str, budgets: usize) -> String {
    let seeds: Vec<String> = layout
        .seeds()
        .iter()
        .map(|seed| format!("\"{seed}\""))
        .collect();
    format!(
        "fleet {{\n  fleet = \"rig\"\n  bind = \"{}\"\n  seeds = [{}]\n  keys_folder = \"keys\"\n  {}\n}}\n{}",
        layout.advertised(0),
        seeds.join(", "),
        fleet_lines(block),
        leases(layout, budgets)
    )
}
