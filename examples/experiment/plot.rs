//! One SVG plot for each decision: bars by scenario and variant.

use std::{fmt::Write, fs, path::Path};

use anyhow::Context;

use super::{Row, decision::Decision, results::Results, scenario::Scenario, site::Site};

const WIDTH: usize = 960;
const PANEL_HEIGHT: usize = 170;
const PANEL_GAP: usize = 60;
const LEFT_MARGIN: usize = 60;
const BAR_WIDTH: usize = 14;
const COLOURS: [&str; 4] = ["#b0b0b0", "#e0a030", "#3070b0", "#409050"];

/// A panel's title and the value of its bars.
type Panel = (&'static str, fn(&Results) -> f64);

/// Writes the plot of a decision into a folder.
pub fn write(folder: &Path, decision: Decision, rows: &[Row]) -> anyhow::Result<()> {
    fs::create_dir_all(folder).with_context(|| format!("cannot make {}", folder.display()))?;
    let path = folder.join(format!("{}.svg", decision.name()));
    fs::write(&path, draw(decision, rows))
        .with_context(|| format!("cannot write {}", path.display()))?;
    println!("\nPlot: {}", path.display());
    Ok(())
}

fn panels(decision: Decision) -> [Panel; 2] {
    let paying: Panel = ("paying requests in target, %", |f| f.tier_in_target(true));
    let second: Panel = match decision {
        Decision::Route | Decision::Home | Decision::Weights => {
            ("tokens recomputed, thousands", |f| {
                f.recomputed_tokens as f64 / 1000.0
            })
        }
        Decision::Admit => ("paying requests displaced by free ones", |f| {
            f.displaced as f64
        }),
        Decision::Allocate => ("free requests in target, %", |f| f.tier_in_target(false)),
        Decision::Retry => ("upstream attempts for each request", |f| {
            f.attempts_per_request()
        }),
        Decision::Place => ("cost an hour", |f| f.cost_per_hour()),
    };
    [paying, second]
}

fn draw(decision: Decision, rows: &[Row]) -> String {
    let sites = Site::all();
    let panels = panels(decision);
    let height = sites.len() * panels.len() * (PANEL_HEIGHT + PANEL_GAP) + PANEL_GAP;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{WIDTH}\" height=\"{height}\" fill=\"white\"/>\n"
    );
    draw_legend(&mut svg, decision);
    let mut top = PANEL_GAP;
    for site in &sites {
        for panel in &panels {
            let rows: Vec<_> = rows.iter().filter(|row| row.site == site.name).collect();
            draw_panel(&mut svg, top, site.name, panel, &rows);
            top += PANEL_HEIGHT + PANEL_GAP;
        }
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_legend(svg: &mut String, decision: Decision) {
    let title = format!("{} (queue model in virtual time)", decision.name());
    text(svg, LEFT_MARGIN, 20, &title);
    for (i, (variant, _)) in decision.variants().iter().enumerate() {
        let x = LEFT_MARGIN + 320 + i * 150;
        rect(svg, (x, 10), (10, 10), COLOURS[i]);
        text(svg, x + 15, 20, variant);
    }
}

fn draw_panel(svg: &mut String, top: usize, site: &str, panel: &Panel, rows: &[&Row]) {
    let (title, value) = panel;
    let highest = rows
        .iter()
        .map(|row| value(&row.results))
        .fold(f64::MIN_POSITIVE, f64::max);
    text(svg, LEFT_MARGIN, top - 8, &format!("{site}: {title}"));
    text(svg, 5, top + 10, &format!("{highest:.2}"));
    let group_width = (WIDTH - LEFT_MARGIN) / Scenario::ALL.len();
    for (i, scenario) in Scenario::ALL.iter().enumerate() {
        let left = LEFT_MARGIN + i * group_width;
        let of_scenario = rows.iter().filter(|row| row.scenario == *scenario);
        for (j, row) in of_scenario.enumerate() {
            let value = value(&row.results);
            let height = (value / highest * PANEL_HEIGHT as f64) as usize;
            let x = left + j * (BAR_WIDTH + 26);
            rect(
                svg,
                (x, top + PANEL_HEIGHT - height),
                (BAR_WIDTH, height),
                COLOURS[j],
            );
            let label = if value < 10.0 {
                format!("{value:.2}")
            } else {
                format!("{value:.0}")
            };
            text(
                svg,
                x,
                top + PANEL_HEIGHT - height.min(PANEL_HEIGHT - 10) - 2,
                &label,
            );
        }
        text(svg, left, top + PANEL_HEIGHT + 16, scenario.name());
    }
}

fn text(svg: &mut String, x: usize, y: usize, text: &str) {
    let _ = writeln!(svg, "<text x=\"{x}\" y=\"{y}\">{text}</text>");
}

fn rect(svg: &mut String, (x, y): (usize, usize), (width, height): (usize, usize), fill: &str) {
    let _ = writeln!(
        svg,
        "<rect x=\"{x}\" y=\"{y}\" width=\"{width}\" height=\"{height}\" fill=\"{fill}\"/>"
    );
}
