//! Reads the TOML files of an object set.

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

use super::{Finding, Findings, ObjectId, ObjectKind, kind::ParseError};
use crate::{
    locate::{FieldLocator, line_of},
    problem::{Problem, Problems},
    syntax::{toml_problem, toml_problem_without_location},
};

/// Number of problems after which invalid fields are no longer located in the text.
/// Each look-up parses the whole text, and a set may hold thousands of objects.
const MAX_LOCATED_FIELDS: usize = 100;

/// One file of an object set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceFile {
    /// Path or name of the file, used in error messages.
    pub file: String,
    /// Content of the file.
    pub text: String,
}

/// Reads all `.toml` files of a directory and its subdirectories, sorted by path.
///
/// # Errors
///
/// Returns a problem if a file or directory can't be read or there is no `.toml`
/// file.
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
        let not_found = io::Error::new(io::ErrorKind::NotFound, "it holds no .toml file");
        return Err(unreadable(directory, &not_found));
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

/// The parsed objects and the file that defines each of them.
#[derive(Debug)]
pub(super) struct Parsed<'s> {
    pub(super) set: ObjectSet,
    origins: BTreeMap<ObjectId, &'s SourceFile>,
    /// A file is not valid TOML and may define any object.
    incomplete: bool,
    problems: Vec<Problem>,
}

impl<'s> Parsed<'s> {
    pub(super) fn parse(sources: &'s [SourceFile]) -> Self {
        let mut parsed = Self {
            set: ObjectSet::default(),
            origins: BTreeMap::new(),
            incomplete: false,
            problems: Vec::new(),
        };
        for source in sources {
            match DeTable::parse(&source.text) {
                Ok(table) => parsed.parse_file(source, table.into_inner()),
                Err(error) => {
                    let problem = toml_problem(&source.file, &source.text, &error);
                    parsed.problems.push(problem);
                    parsed.incomplete = true;
                }
            }
        }
        parsed
    }

    /// Returns whether a file defines the object or an invalid file might.
    pub(super) fn may_exist(&self, object: &ObjectId) -> bool {
        self.incomplete || self.origins.contains_key(object)
    }

    fn parse_file(&mut self, source: &'s SourceFile, table: DeTable<'_>) {
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let line = line_of(&source.text, key.span().start);
            let Some(kind) = find::<ObjectKind>(name) else {
                let kinds: Vec<&str> = registered::<ObjectKind>().iter().map(|k| k.name).collect();
                let remedy = format!("use one of {}", kinds.join(", "));
                self.add_problem(source, line, name, "there is no such kind", remedy);
                continue;
            };
            let DeValue::Table(objects) = value.into_inner() else {
                let remedy = format!("write objects as [{name}.NAME]");
                self.add_problem(source, line, name, "it is not a table of objects", remedy);
                continue;
            };
            for (name, object) in objects {
                self.parse_object(source, kind, &name, object);
            }
        }
    }

    fn parse_object(
        &mut self,
        source: &'s SourceFile,
        kind: &ObjectKind,
        name: &Spanned<std::borrow::Cow<'_, str>>,
        object: Spanned<DeValue<'_>>,
    ) {
        let id = ObjectId::new(kind.name, name.get_ref());
        // Evaluated only for errors: counting lines for each object would scan a large
        // file thousands of times.
        let line = || line_of(&source.text, name.span().start);
        if let Some(earlier) = self.origins.get(&id) {
            let message = format!("it is also defined in {}", earlier.file);
            self.add_problem(
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
            Err(ParseError::Name(message)) => {
                self.add_problem(
                    source,
                    line(),
                    &id.to_string(),
                    message,
                    "choose another name",
                );
            }
            Err(ParseError::Fields(error)) => {
                let mut problem = match self.problems.len() < MAX_LOCATED_FIELDS {
                    true => toml_problem(&source.file, &source.text, &error),
                    false => toml_problem_without_location(&source.file, &error),
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

    fn add_problem(
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

    /// Returns the set if neither parsing nor checking found a problem.
    pub(super) fn finish(self, findings: Findings) -> Result<ObjectSet, Problems> {
        let mut locators = BTreeMap::new();
        let mut problems = Vec::new();
        for finding in findings {
            problems.push(self.locate(finding, &mut locators));
        }
        problems.extend(self.problems);
        Problems(problems).into_result()?;
        Ok(self.set)
    }

    /// Adds file and line to a finding. `locators` caches the parsed files, so that each
    /// file is parsed again at most once.
    fn locate(
        &self,
        finding: Finding,
        locators: &mut BTreeMap<&'s str, FieldLocator<'s>>,
    ) -> Problem {
        let Some(source) = self.origins.get(&finding.object) else {
            return finding.into_problem();
        };
        let object = [finding.object.kind.as_str(), finding.object.name.as_str()];
        let path = object.into_iter().chain(finding.field.split('.'));
        let fields = locators
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
