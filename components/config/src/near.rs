//! Suggestions for misspelt names.

/// Up to this many names are listed in full.
const LIST_ALL: usize = 8;
/// Names suggested from a longer list.
const SUGGESTIONS: usize = 5;

/// Known names nearest to `name`, nearest first.
pub(crate) fn near<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut all: Vec<(usize, &str)> = known.into_iter().map(|k| (distance(name, k), k)).collect();
    all.sort_unstable();
    all.dedup();
    let keep = if all.len() <= LIST_ALL {
        all.len()
    } else {
        SUGGESTIONS
    };
    all.into_iter().take(keep).map(|(_, k)| k).collect()
}

/// Text of a fix that lists the nearest known names.
pub(crate) fn use_one_of<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let list = near(name, known);
    if list.is_empty() {
        return "add it to the inventory first; none is known".into();
    }
    format!("use one of: {}", list.join(", "))
}

/// Edit distance (insertions, deletions, substitutions) in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
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
