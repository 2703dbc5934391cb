//! The operator file of a scale run. Hollow and real gateways use the same settings.

use super::layout::{Layout, VOTERS};

/// The greatest number of budgets in a file.
pub const MAX_BUDGETS: usize = 24;
/// The number of budgets that do not belong to tenants: `relays_per_s` and `trials_per_s`.
const SHARED_BUDGETS: usize = 2;

/// Returns the names of the tenants whose budgets are divided.
pub fn tenants(budgets: usize) -> Vec<String> {
    (0..budgets.saturating_sub(SHARED_BUDGETS))
        .map(|at| format!("t{at:02}"))
        .collect()
}

/// Returns the `shares` and `queues` blocks, or an empty text if there are no budgets.
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

/// Returns the additional lines of the `fleet` block in each operator file.
pub fn fleet_lines(block: &str) -> String {
    format!("most_gateways = {}\n  {block}", super::limits::MAX_GATEWAYS)
}

/// Returns the operator file of the hollow gateways. Each gateway replaces the name, the address,
/// the zone and the region by its own.
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
