//! Tables for people.

/// Returns rows under a header, in columns as wide as their widest cell.
pub fn render<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let mut text = line(&widths, &header.map(str::to_owned));
    for row in rows {
        text.push_str(&line(&widths, row));
    }
    text
}

fn line<const N: usize>(widths: &[usize; N], cells: &[String; N]) -> String {
    let padded: Vec<String> = widths
        .iter()
        .zip(cells)
        .map(|(width, cell)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
