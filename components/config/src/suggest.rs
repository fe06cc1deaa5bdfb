//! Suggestions for misspelt names, by edit distance.

/// Number of known names up to which a suggestion lists all of them.
const MAX_LISTED: usize = 8;
/// Number of names suggested from a longer list.
const MAX_SUGGESTIONS: usize = 5;

/// Known names closest to `name`, closest first: all of them up to [`MAX_LISTED`], else the first
/// [`MAX_SUGGESTIONS`].
pub(crate) fn closest_names<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let mut all = sort_by_distance(name, known);
    if all.len() > MAX_LISTED {
        all.truncate(MAX_SUGGESTIONS);
    }
    all
}

/// Fix text that lists the closest known names.
pub(crate) fn suggest_names<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let mut all = sort_by_distance(name, known);
    if all.is_empty() {
        return "add it to the inventory first; it lists none".into();
    }
    if all.len() <= MAX_LISTED {
        return format!("use one of: {}", all.join(", "));
    }
    let more = all.len() - MAX_SUGGESTIONS;
    all.truncate(MAX_SUGGESTIONS);
    format!("use one of: {} (and {more} more)", all.join(", "))
}

/// Known names without duplicates, closest first.
fn sort_by_distance<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut all: Vec<(usize, &str)> = known
        .into_iter()
        .map(|k| (edit_distance(name, k), k))
        .collect();
    all.sort_unstable();
    all.dedup();
    all.into_iter().map(|(_, k)| k).collect()
}

/// Number of leading characters compared, because the time grows with the product of both lengths.
const MAX_COMPARED_CHARS: usize = 64;

/// Levenshtein distance in characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(MAX_COMPARED_CHARS).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().take(MAX_COMPARED_CHARS).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
