//! Plain text tables for terminal output.

/// Formats rows under a header; each column is as wide as its widest cell, and columns are
/// two spaces apart.
pub fn render<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let mut text = format_row(&widths, &header.map(str::to_owned));
    for row in rows {
        text.push_str(&format_row(&widths, row));
    }
    text
}

fn format_row<const N: usize>(widths: &[usize; N], cells: &[String; N]) -> String {
    let padded: Vec<String> = widths
        .iter()
        .zip(cells)
        .map(|(width, cell)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
