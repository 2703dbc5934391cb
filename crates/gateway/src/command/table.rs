//! Prints rows as a text table or as JSON.

use serde_json::{Map, Value, json};

use super::CommandResult;
use super::output::{print, print_line};

/// The number of leading columns that hold names and are aligned left. The columns after them hold
/// numbers and are aligned right.
const NAME_COLUMNS: usize = 2;

/// The output format of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutputFormat {
    /// Aligned columns with a header line.
    Text,
    /// An array with one object per row.
    Json,
}

impl From<bool> for OutputFormat {
    /// Converts the flag `--json`.
    fn from(json: bool) -> Self {
        if json {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        }
    }
}

/// Prints a table. Each row has one cell per column.
///
/// # Panics
/// Panics in the text format if a row has fewer cells than there are columns.
pub(super) fn print_table(
    columns: &[&str],
    rows: &[Vec<String>],
    format: OutputFormat,
) -> CommandResult {
    match format {
        OutputFormat::Json => print_json(columns, rows),
        OutputFormat::Text => Ok(print(&text_table(columns, rows))?),
    }
}

fn print_json(columns: &[&str], rows: &[Vec<String>]) -> CommandResult {
    let objects: Vec<Value> = rows.iter().map(|row| json_object(columns, row)).collect();
    Ok(print_line(&serde_json::to_string_pretty(&objects)?)?)
}

fn json_object(columns: &[&str], row: &[String]) -> Value {
    let fields = columns
        .iter()
        .zip(row)
        .map(|(name, cell)| ((*name).to_owned(), json_value(cell)));
    Value::Object(fields.collect::<Map<_, _>>())
}

/// Converts a cell to a JSON number if it parses as one, and to a string otherwise.
fn json_value(cell: &str) -> Value {
    match cell.parse::<f64>() {
        Ok(number) => json!(number),
        Err(_) => json!(cell),
    }
}

fn text_table(columns: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([columns[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let names: Vec<String> = columns.iter().map(ToString::to_string).collect();
    let lines = [&names].into_iter().chain(rows);
    lines.map(|row| text_line(row, &widths) + "\n").collect()
}

fn text_line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).enumerate();
    let cells: Vec<String> = cells
        .map(|(column, (cell, width))| {
            if column < NAME_COLUMNS {
                format!("{cell:<width$}")
            } else {
                format!("{cell:>width$}")
            }
        })
        .collect();
    cells.join("  ").trim_end().to_owned()
}
