//! This daemon as a judge of roll-outs.

use std::rc::Rc;
use std::time::Instant;

use lilaccrank::rollout::controller::Controller;
use lilaccrank::rollout::message::{Directive, Directives, Report, Reports, RuleView};

use super::{fleet, recorder};
use crate::daemon::Daemon;

/// Takes in the reports of a daemon and tells it how the roll-outs go on.
pub fn answer(daemon: &Rc<Daemon>, reports: Reports) -> Directives {
    let reports = reports.reports.into_iter();
    let directives = reports.filter_map(|report| judge(daemon, report));
    Directives {
        directives: directives.collect(),
    }
}

/// Returns `None` for an order that this daemon doesn't know, or not any more.
fn judge(daemon: &Rc<Daemon>, report: Report) -> Option<Directive> {
    let now = Instant::now();
    let id = report.order.clone();
    {
        let rollouts = &daemon.rollouts;
        let participants = rollouts.participants.borrow();
        let known = participants.get(&id.pool).filter(|p| p.order().id == id)?;
        let mut controllers = rollouts.controllers.borrow_mut();
        let controller = controllers
            .entry(id.clone())
            .or_insert_with(|| Controller::new(known.order().clone(), known.started_at()));
        controller.note_recorded(known.order().recorded);
        controller.receive(report, now);
    }
    review(daemon, &id.pool, now);
    let controllers = daemon.rollouts.controllers.borrow();
    Some(controllers.get(&id)?.directive(now))
}

/// Decides how the roll-outs of a pool go on, and has the store told of it.
fn review(daemon: &Rc<Daemon>, pool: &str, now: Instant) {
    let mut unrecorded = Vec::new();
    {
        let mut controllers = daemon.rollouts.controllers.borrow_mut();
        for (id, controller) in controllers.iter_mut().filter(|(id, _)| id.pool == pool) {
            let before = controller.stage();
            let fleet = fleet(daemon, id);
            controller.review(&fleet, now);
            if controller.stage() != before {
                log_decision(controller, now);
            }
            let state = controller.unrecorded();
            unrecorded.extend(state.map(|state| (id.clone(), state, fleet.is_first_judge)));
        }
    }
    for (id, state, is_first_judge) in unrecorded {
        recorder::record(daemon, id, state, is_first_judge);
    }
}

/// Reviews all roll-outs that this daemon judges.
pub fn review_all(daemon: &Rc<Daemon>) {
    let pools: Vec<_> = {
        let controllers = daemon.rollouts.controllers.borrow();
        controllers.keys().map(|id| id.pool.clone()).collect()
    };
    let now = Instant::now();
    for pool in pools {
        review(daemon, &pool, now);
    }
}

fn log_decision(controller: &Controller, now: Instant) {
    let view = controller.view(now);
    let answers = |count: fn(&RuleView) -> u32| -> u32 { view.rules.values().map(count).sum() };
    log::info!(
        age_ms = view.age_ms,
        new_answers = answers(|rule| rule.new_answers),
        new_failures = answers(|rule| rule.new_failures),
        old_answers = answers(|rule| rule.old_answers),
        old_failures = answers(|rule| rule.old_failures),
        open_old = view.open_old,
        order:% = view.order,
        reason = view.reason.unwrap_or_default(),
        reporters = view.reporters,
        stage:% = view.stage;
        "a judge decides how a roll-out goes on"
    );
}
