//! Prints tables of results to standard output.

use super::{Row, decision::Decision};

/// Prints the rows of a decision.
pub fn print(decision: Decision, rows: &[Row]) {
    println!("\n## {}\n", decision.name());
    println!(
        "| site | scenario | variant | paying in target % | worst paying account % | free in target % \
         | first token p50/p95 ms | tokens recomputed k | attempts/request | displaced | lost \
         | cost per 1000 in target |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for row in rows {
        let f = &row.results;
        println!(
            "| {} | {} | {} | {:.1} | {:.1} | {:.1} | {}/{} | {:.0} | {:.3} | {} | {} | {:.3} |",
            row.site,
            row.scenario.name(),
            row.variant,
            f.tier_in_target(true),
            f.worst_paying_account(),
            f.tier_in_target(false),
            f.first_token.value_at_quantile(0.5),
            f.first_token.value_at_quantile(0.95),
            f.recomputed_tokens as f64 / 1000.0,
            f.attempts_per_request(),
            f.displaced,
            f.lost,
            f.cost_per_thousand(),
        );
    }
    print_accounts(decision, rows);
}

fn print_accounts(decision: Decision, rows: &[Row]) {
    println!("\nIn target by account, {}:\n", decision.name());
    for row in rows {
        let accounts: Vec<_> = row
            .results
            .by_account()
            .map(|(name, percent)| format!("{name} {percent:.1}"))
            .collect();
        let (scenario, accounts) = (row.scenario.name(), accounts.join(", "));
        println!("- {} / {scenario} / {}: {accounts}", row.site, row.variant);
    }
}
