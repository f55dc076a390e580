//! The files that a set is written in.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

use kernel::{
    ObjectSet,
    plugin::{find, registered},
};
use serde::{Deserialize, Serialize};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::{Finding, Findings, ObjectId, ObjectKind, kind::ParseFailure};
use crate::{
    locate::{FieldLocator, line_of},
    problem::{Problem, Problems},
    syntax::{problem_of, unlocated},
};

/// How many wrong fields are looked up in their text; each look-up reads the
/// whole text, and a set may hold thousands of objects.
const MAX_LOCATED_FIELDS: usize = 100;

/// One file of a set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceFile {
    /// Its name, for errors.
    pub file: String,
    /// Its content.
    pub text: String,
}

/// Reads all `.toml` files of a directory and of those in it, in order.
///
/// # Errors
///
/// Returns a problem if something can't be read or there is no such file.
pub fn read_dir(directory: impl AsRef<Path>) -> Result<Vec<SourceFile>, Problems> {
    let directory = directory.as_ref();
    let unreadable = |path: &Path, error: &io::Error| {
        Problems(vec![Problem {
            file: path.display().to_string(),
            message: format!("can't be read: {error}"),
            remedy: "name a directory of .toml files that can be read".to_owned(),
            ..Problem::default()
        }])
    };
    let paths = toml_files(directory).map_err(|error| unreadable(directory, &error))?;
    if paths.is_empty() {
        let none = io::Error::new(io::ErrorKind::NotFound, "it holds no .toml file");
        return Err(unreadable(directory, &none));
    }
    let mut sources = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).map_err(|error| unreadable(&path, &error))?;
        sources.push(SourceFile {
            file: path.display().to_string(),
            text,
        });
    }
    Ok(sources)
}

fn toml_files(directory: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.is_dir() {
            files.extend(toml_files(&path)?);
            continue;
        }
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// What was read, and where each object stands.
#[derive(Debug)]
pub(super) struct Parsed<'s> {
    pub(super) set: ObjectSet,
    origins: BTreeMap<ObjectId, &'s SourceFile>,
    /// A file could not be read, so any object may stand in it.
    incomplete: bool,
    problems: Vec<Problem>,
}

impl<'s> Parsed<'s> {
    pub(super) fn read(sources: &'s [SourceFile]) -> Self {
        let mut parsed = Self {
            set: ObjectSet::default(),
            origins: BTreeMap::new(),
            incomplete: false,
            problems: Vec::new(),
        };
        for source in sources {
            match DeTable::parse(&source.text) {
                Ok(table) => parsed.read_file(source, table.into_inner()),
                Err(error) => {
                    let problem = problem_of(&source.file, &source.text, &error);
                    parsed.problems.push(problem);
                    parsed.incomplete = true;
                }
            }
        }
        parsed
    }

    /// Whether the object is or may be written somewhere, even if it could not
    /// be read.
    pub(super) fn knows(&self, object: &ObjectId) -> bool {
        self.incomplete || self.origins.contains_key(object)
    }

    fn read_file(&mut self, source: &'s SourceFile, table: DeTable<'_>) {
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let line = line_of(&source.text, key.span().start);
            let Some(kind) = find::<ObjectKind>(name) else {
                let kinds: Vec<&str> = registered::<ObjectKind>().iter().map(|k| k.name).collect();
                let remedy = format!("use one of {}", kinds.join(", "));
                self.problem(source, line, name, "there is no such kind", remedy);
                continue;
            };
            let DeValue::Table(objects) = value.into_inner() else {
                let remedy = format!("write objects as [{name}.NAME]");
                self.problem(source, line, name, "it is not a table of objects", remedy);
                continue;
            };
            for (name, object) in objects {
                self.read_object(source, kind, &name, object);
            }
        }
    }

    fn read_object(
        &mut self,
        source: &'s SourceFile,
        kind: &ObjectKind,
        name: &Spanned<std::borrow::Cow<'_, str>>,
        object: Spanned<DeValue<'_>>,
    ) {
        let id = ObjectId::new(kind.name, name.get_ref());
        // Counting lines for each object would read a large file thousands of times.
        let line = || line_of(&source.text, name.span().start);
        if let Some(earlier) = self.origins.get(&id) {
            let message = format!("it is also defined in {}", earlier.file);
            self.problem(
                source,
                line(),
                &id.to_string(),
                message,
                "keep only one of them",
            );
            return;
        }
        match (kind.parse)(&mut self.set, &id.name, object) {
            Ok(()) => {}
            Err(ParseFailure::Name(message)) => {
                self.problem(
                    source,
                    line(),
                    &id.to_string(),
                    message,
                    "choose another name",
                );
            }
            Err(ParseFailure::Fields(error)) => {
                let mut problem = match self.problems.len() < MAX_LOCATED_FIELDS {
                    true => problem_of(&source.file, &source.text, &error),
                    false => unlocated(&source.file, &error),
                };
                if problem.line == 0 {
                    problem.line = line();
                }
                if problem.field.is_empty() {
                    problem.field = id.to_string();
                }
                self.problems.push(problem);
            }
        }
        self.origins.insert(id, source);
    }

    fn problem(
        &mut self,
        source: &SourceFile,
        line: usize,
        field: &str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.problems.push(Problem {
            file: source.file.clone(),
            line,
            field: field.to_owned(),
            message: message.into(),
            remedy: remedy.into(),
        });
    }

    /// The set, if neither reading nor checking found anything wrong.
    pub(super) fn finish(self, findings: Findings) -> Result<ObjectSet, Problems> {
        let mut files = BTreeMap::new();
        let mut problems = Vec::new();
        for finding in findings {
            problems.push(self.locate(finding, &mut files));
        }
        problems.extend(self.problems);
        Problems(problems).into_result()?;
        Ok(self.set)
    }

    /// Each file is read again at most once, whatever is found in it.
    fn locate(&self, finding: Finding, files: &mut BTreeMap<&'s str, FieldLocator<'s>>) -> Problem {
        let Some(source) = self.origins.get(&finding.object) else {
            return finding.into_problem();
        };
        let object = [finding.object.kind.as_str(), finding.object.name.as_str()];
        let path = object.into_iter().chain(finding.field.split('.'));
        let fields = files
            .entry(&source.file)
            .or_insert_with(|| FieldLocator::new(&source.text));
        let line = fields.line(path);
        Problem {
            file: source.file.clone(),
            line,
            ..finding.into_problem()
        }
    }
}
