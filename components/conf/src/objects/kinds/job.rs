//! Job templates.

use kernel::{ObjectSet, task::MAX_TASKS_PER_JOB};

use super::{check_need, check_team};
use crate::objects::{Findings, ObjectId, Reference, kind::register};

const NAME: &str = "job";

register!(NAME, templates, check, references);

fn check(set: &ObjectSet, findings: &mut Findings) {
    for (name, template) in &set.templates {
        let id = ObjectId::new(NAME, name);
        check_team(set, &id, &template.team, findings);
        let tasks = u64::from(template.tasks);
        findings.check_positive(&id, "tasks", tasks);
        findings.check_at_most(&id, "tasks", tasks, u64::from(MAX_TASKS_PER_JOB));
        findings.check_positive(&id, "expected_run_millis", template.expected_run_millis);
        check_need(set, &id, "need", template.need, findings);
        let Some(team) = set.teams.get(&template.team) else {
            continue;
        };
        if !template.need.fits(team.quota) {
            findings.add(
                &id,
                "need",
                format!(
                    "one task exceeds the quota of {}, {}",
                    template.team, team.quota
                ),
                "lower it or raise the team's quota",
            );
        }
    }
}

fn references(set: &ObjectSet) -> Vec<Reference> {
    let mut references = Vec::new();
    for (name, template) in &set.templates {
        let id = ObjectId::new(NAME, name);
        let team = ObjectId::new("team", &template.team);
        references.push(Reference::new(&id, "team", team));
    }
    references
}
