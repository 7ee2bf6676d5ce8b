//! Checks the style rules that neither rustfmt nor Clippy can check: one import per line, imports
//! in three groups, no paths of a particular machine, a maximum file length, and names of the
//! platform's protocol only in the adapter.
//!
//! If `ARBUTUS_STYLE_FIX` is set in the environment, the test of the import groups rewrites the
//! files with wrong groups. It still fails in that run.

use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

const MAX_LINES: usize = 600;

/// Prefixes of paths that exist only on a particular machine.
const MACHINE_PATHS: [&str; 5] = ["/home/", "/root/", "/Users/", "/work/", "/tmp/"];

/// Names in the wire protocol of the platform, which are only used in the adapter `platform/`.
const PLATFORM_NAMES: [&str; 8] = [
    "x-arbutushaven-",
    "x-api-key",
    "kv-from",
    "kv-fetch",
    "/stage-run",
    "/stage-free",
    "arbutushaven_boot",
    "route_list",
];

/// First path segments of imports from this workspace that do not begin with `arbutus_`.
const WORKSPACE_ROOTS: [&str; 4] = ["arbutusd", "crate", "self", "super"];

struct RustFile {
    path: PathBuf,
    name: String,
    text: String,
}

fn rust_files() -> Vec<RustFile> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    collect_rust_files(&root.join("crates"), &root, &mut files);
    collect_rust_files(&root.join("platform"), &root, &mut files);
    assert!(!files.is_empty(), "no source files were found");
    files
}

fn collect_rust_files(directory: &Path, root: &Path, files: &mut Vec<RustFile>) {
    let entries = fs::read_dir(directory).expect("the directory is readable");
    let mut paths: Vec<PathBuf> = entries
        .map(|entry| entry.expect("the entry is readable").path())
        .collect();
    paths.sort();
    for path in paths {
        if path.is_dir() && !path.ends_with("target") {
            collect_rust_files(&path, root, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let name = path.strip_prefix(root).expect("the path is below the root");
            files.push(RustFile {
                name: name.display().to_string(),
                text: fs::read_to_string(&path).expect("sources are UTF-8"),
                path,
            });
        }
    }
}

/// Returns the path in a `use` line, or `None` for any other line.
fn use_path(line: &str) -> Option<&str> {
    let line = line.trim_start();
    let line = match line.strip_prefix("pub") {
        Some(rest) => rest
            .trim_start_matches("(crate)")
            .trim_start_matches("(super)")
            .trim_start(),
        None => line,
    };
    line.strip_prefix("use ")
}

/// Returns the group of an import: 0 for the standard library, 1 for external crates, 2 for this
/// workspace.
fn import_group(path: &str, local_modules: &BTreeSet<&str>) -> usize {
    let root = path
        .split("::")
        .next()
        .unwrap_or_default()
        .trim_end_matches(';');
    match root {
        "std" | "core" | "alloc" => 0,
        _ if root.starts_with("arbutus_") || WORKSPACE_ROOTS.contains(&root) => 2,
        _ if local_modules.contains(root) => 2,
        _ => 1,
    }
}

fn local_modules(text: &str) -> BTreeSet<&str> {
    let modules = text.lines().filter_map(|line| {
        let line = line
            .strip_prefix("pub ")
            .or(line.strip_prefix("pub(crate) "))
            .unwrap_or(line);
        line.strip_prefix("mod ")?.split([';', ' ']).next()
    });
    modules.collect()
}

/// Returns the blocks of consecutive imports as ranges of line indices. A block may contain blank
/// lines.
fn import_blocks(lines: &[&str]) -> Vec<std::ops::Range<usize>> {
    let mut blocks = Vec::new();
    let mut index = 0;
    while index < lines.len() {
        let is_import = |line: &str| line.starts_with("use ");
        if !is_import(lines[index]) {
            index += 1;
            continue;
        }
        let start = index;
        let mut end = index;
        while index < lines.len() && (is_import(lines[index]) || lines[index].is_empty()) {
            if is_import(lines[index]) {
                end = index + 1;
            }
            index += 1;
        }
        blocks.push(start..end);
    }
    blocks
}

/// Returns the imports of a block in their groups, separated by blank lines.
fn group_imports(lines: &[&str], local_modules: &BTreeSet<&str>) -> Vec<String> {
    let imports: Vec<&str> = lines
        .iter()
        .copied()
        .filter(|line| !line.is_empty())
        .collect();
    let mut result = Vec::new();
    for current_group in 0..3 {
        let members = imports.iter().filter(|line| {
            use_path(line).is_some_and(|path| import_group(path, local_modules) == current_group)
        });
        let members: Vec<String> = members.map(ToString::to_string).collect();
        if !members.is_empty() && !result.is_empty() {
            result.push(String::new());
        }
        result.extend(members);
    }
    result
}

#[test]
fn each_import_has_a_line_of_its_own() {
    let mut violations = Vec::new();
    for file in rust_files() {
        for (index, line) in file.text.lines().enumerate() {
            let Some(path) = use_path(line) else {
                continue;
            };
            if path.contains('{') || path.contains('*') || !path.ends_with(';') {
                violations.push(format!("{}:{}: {}", file.name, index + 1, line.trim()));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn imports_are_in_three_groups() {
    let fix = env::var("ARBUTUS_STYLE_FIX").is_ok();
    let mut violations = Vec::new();
    for file in rust_files() {
        let lines: Vec<&str> = file.text.lines().collect();
        let local_modules = local_modules(&file.text);
        let mut fixed: Vec<String> = lines.iter().map(ToString::to_string).collect();
        for block in import_blocks(&lines).into_iter().rev() {
            let expected = group_imports(&lines[block.clone()], &local_modules);
            if lines[block.clone()] != expected {
                violations.push(format!("{}:{}", file.name, block.start + 1));
                fixed.splice(block, expected);
            }
        }
        let text = fixed.join("\n") + "\n";
        if fix && text != file.text {
            fs::write(&file.path, text).expect("the file is writable");
        }
    }
    let count = violations.len();
    assert!(
        count == 0,
        "{count} blocks of imports:\n{}",
        violations.join("\n")
    );
}

#[test]
fn no_file_contains_a_machine_specific_path() {
    let mut violations = Vec::new();
    for file in rust_files() {
        for (index, line) in file.text.lines().enumerate() {
            let found = MACHINE_PATHS
                .iter()
                .any(|path| line.contains(&format!("\"{path}")));
            if found && !line.starts_with("const MACHINE_PATHS") {
                violations.push(format!("{}:{}: {}", file.name, index + 1, line.trim()));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn files_stay_below_the_line_limit() {
    let mut violations = Vec::new();
    for file in rust_files() {
        let lines = file.text.lines().count();
        if lines >= MAX_LINES {
            violations.push(format!("{}: {lines} lines", file.name));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn platform_names_occur_only_in_the_adapter() {
    let mut violations = Vec::new();
    for file in rust_files() {
        if file.name.starts_with("platform/") || file.name.ends_with("tests/style.rs") {
            continue;
        }
        for (index, line) in file.text.lines().enumerate() {
            let line = line.to_ascii_lowercase();
            if PLATFORM_NAMES.iter().any(|name| line.contains(name)) {
                violations.push(format!("{}:{}: {}", file.name, index + 1, line.trim()));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
