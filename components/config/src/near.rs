//! Suggestions for misspelt names.

/// Up to this many names are listed in full.
const LIST_ALL: usize = 8;
/// Names suggested from a longer list.
const SUGGESTIONS: usize = 5;

/// Known names nearest to `name`, nearest first; all of them if they are few.
pub(crate) fn near<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut all = by_distance(name, known);
    if all.len() > LIST_ALL {
        all.truncate(SUGGESTIONS);
    }
    all
}

/// Text of a fix that lists the nearest known names.
pub(crate) fn use_one_of<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let mut all = by_distance(name, known);
    if all.is_empty() {
        return "add it to the inventory first; none is known".into();
    }
    if all.len() <= LIST_ALL {
        return format!("use one of: {}", all.join(", "));
    }
    let more = all.len() - SUGGESTIONS;
    all.truncate(SUGGESTIONS);
    format!("use one of: {} (and {more} more)", all.join(", "))
}

/// Known names without repetitions, nearest first.
fn by_distance<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut all: Vec<(usize, &str)> = known.into_iter().map(|k| (distance(name, k), k)).collect();
    all.sort_unstable();
    all.dedup();
    all.into_iter().map(|(_, k)| k).collect()
}

/// Characters of a name that are compared; the time grows with the product of both lengths.
const COMPARED: usize = 64;

/// Edit distance (insertions, deletions, substitutions) in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(COMPARED).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().take(COMPARED).enumerate() {
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
