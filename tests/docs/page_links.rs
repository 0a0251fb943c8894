//! Links between documentation pages resolve, and the tests that the pages name exist.
//!
//! Guards against dead links and references, which happen when a page, heading or test is moved or renamed.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Returns all Markdown pages in the root directory and below `docs`.
fn pages() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut pages = Vec::new();
    let mut directories = vec![root.join("docs")];
    add_pages(root, &mut pages, &mut Vec::new());
    while let Some(directory) = directories.pop() {
        add_pages(&directory, &mut pages, &mut directories);
    }
    pages
}

fn add_pages(directory: &Path, pages: &mut Vec<PathBuf>, directories: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            directories.push(path);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

/// Returns the targets of links `[text](target)` outside of code blocks.
fn targets(text: &str) -> Vec<&str> {
    let blocks = text.split("```").step_by(2);
    let links = blocks.flat_map(|block| block.split("](").skip(1));
    links
        .filter_map(|rest| Some(rest.split_once(')')?.0))
        .collect()
}

/// Returns the anchor of a heading: lower case, hyphens for spaces, no punctuation.
fn anchor(heading: &str) -> String {
    let lower = heading.trim().to_lowercase().replace(' ', "-");
    lower
        .chars()
        .filter(|letter| letter.is_alphanumeric() || matches!(letter, '-' | '_'))
        .collect()
}

fn has_anchor(page: &Path, wanted: &str) -> bool {
    let text = fs::read_to_string(page).expect("a page");
    let headings = text.lines().filter_map(|line| line.strip_prefix('#'));
    let mut anchors = headings.map(|heading| anchor(heading.trim_start_matches('#')));
    anchors.any(|found| found == wanted)
}

/// Returns a description of the link from `page` to `target` if it does not resolve. Links to other sites are skipped.
fn broken_link(page: &Path, target: &str) -> Option<String> {
    if target.contains("://") {
        return None;
    }
    let (file, wanted) = target.split_once('#').unwrap_or((target, ""));
    let path = match file {
        "" => page.to_owned(),
        file => page.parent().expect("a directory").join(file),
    };
    let resolves = path.exists() && (wanted.is_empty() || has_anchor(&path, wanted));
    (!resolves).then(|| format!("{}: {target}", page.display()))
}

#[test]
fn links_resolve() {
    let pages = pages();
    assert!(pages.len() > 3, "{pages:?}");
    let mut broken = Vec::new();
    for page in pages {
        let text = fs::read_to_string(&page).expect("a page");
        broken.extend(
            targets(&text)
                .into_iter()
                .filter_map(|target| broken_link(&page, target)),
        );
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Returns each link to a source file, with the names in backquotes that follow it after a colon.
fn named_tests(text: &str) -> Vec<(&str, Vec<&str>)> {
    let links = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split_once(')'));
    let files = links.filter(|(target, _)| is_source(target));
    files
        .map(|(target, rest)| (target, names_after(rest)))
        .collect()
}

fn is_source(target: &str) -> bool {
    Path::new(target).extension() == Some("rs".as_ref())
}

fn names_after(rest: &str) -> Vec<&str> {
    let Some(mut rest) = rest.strip_prefix(": ") else {
        return Vec::new();
    };
    let mut names = Vec::new();
    while let Some((name, after)) = rest.strip_prefix('`').and_then(|rest| rest.split_once('`')) {
        names.push(name);
        rest = after.strip_prefix(", ").unwrap_or("");
    }
    names
}

#[test]
fn named_tests_exist() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let text = fs::read_to_string(docs.join("PROOFS.md")).expect("a page");
    let named = named_tests(&text);
    assert!(named.iter().any(|(_, names)| !names.is_empty()));
    for (file, names) in named {
        let source = fs::read_to_string(docs.join(file)).expect("a test file");
        for name in names {
            assert!(source.contains(&format!("fn {name}(")), "{file}: {name}");
        }
    }
}
