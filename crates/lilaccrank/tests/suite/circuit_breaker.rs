//! Tests of when a circuit breaker opens and how it lets trial calls through.

use std::time::Duration;

use lilaccrank::circuit_breaker::{CircuitBreaker, Permit, Settings};
use lilaccrank::paused_clock::PausedClock;

fn permit(circuit: &CircuitBreaker<PausedClock>) -> Permit<PausedClock> {
    circuit
        .permit()
        .expect("the circuit breaker permits a call")
}

fn open_circuit(clock: &PausedClock) -> CircuitBreaker<PausedClock> {
    let circuit = CircuitBreaker::new(Settings::default(), clock.clone());
    for _ in 0..4 {
        permit(&circuit).failed(Duration::ZERO);
    }
    circuit
}

#[test]
fn opens_by_the_rate_of_failures() {
    let circuit = CircuitBreaker::new(Settings::default(), PausedClock::new());
    for _ in 0..10 {
        permit(&circuit).succeeded();
    }
    for _ in 0..9 {
        permit(&circuit).failed(Duration::ZERO);
    }
    permit(&circuit).failed(Duration::from_secs(1));
    assert!(circuit.permit().is_err());
}

#[test]
fn old_failures_do_not_count() {
    let clock = PausedClock::new();
    let circuit = CircuitBreaker::new(Settings::default(), clock.clone());
    for _ in 0..3 {
        permit(&circuit).failed(Duration::ZERO);
    }
    clock.advance(Duration::from_secs(11));
    permit(&circuit).failed(Duration::from_secs(1));
    assert!(circuit.permit().is_ok());
}

// A destination that has just recovered may be overloaded again if all waiting callers are let
// through at once.
#[test]
fn one_trial_at_a_time() {
    let clock = PausedClock::new();
    let circuit = open_circuit(&clock);
    clock.advance(Duration::from_secs(1));
    let trial = permit(&circuit);
    assert!(trial.is_trial());
    assert!(circuit.permit().is_err(), "two trials at once");
    trial.succeeded();
    assert!(!permit(&circuit).is_trial());
}

// The caller of the trial call is cancelled before it reports an outcome. The circuit breaker
// must not stay half open forever.
#[test]
fn trial_without_outcome_is_repeated() {
    let clock = PausedClock::new();
    let circuit = open_circuit(&clock);
    clock.advance(Duration::from_secs(1));
    drop(permit(&circuit));
    assert!(permit(&circuit).is_trial());
}
