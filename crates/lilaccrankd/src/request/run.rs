//! One run of a forwarded request: its exchange with one target, under the grant of a slot there.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use lilaccrank::document::Target;
use lilaccrank::target_instance::TargetInstance;

use crate::pools::client::HeldGrant;
use crate::request::execution::Execution;
use crate::request::send_observer::SendObserver;
use crate::targets::forward::{self, Bounds, Delivered, Forwarder};
use crate::targets::protocol::OutgoingRequest;
use crate::targets::proxied_request::ProxiedRequest;
use crate::targets::transport::Transport;

/// End of an exchange, and what its caller has got by then.
pub type Exchanged = (forward::Result<()>, Delivered);

/// One run. Dropping it closes the connection, which makes the target stop.
pub struct Run<'a> {
    /// The exchange with the target.
    pub exchange: Pin<Box<dyn Future<Output = Exchanged> + 'a>>,
    /// What was sent.
    pub sent: Rc<Sent>,
}

/// A request that was sent to a target.
pub struct Sent {
    /// Observer of the answer, with the grant.
    pub observer: Rc<SendObserver>,
    /// The target.
    pub target: Target,
    /// Transport to the target.
    pub transport: Transport,
}

impl Sent {
    /// The instance that has the request.
    #[must_use]
    pub fn instance(&self) -> &TargetInstance {
        &self.observer.grant.target
    }

    /// Time since the request was written; `None` if it wasn't yet.
    #[must_use]
    pub fn time_since_write(&self) -> Option<Duration> {
        let written_at = self.transport.write_time.get();
        written_at.map(|at| at.elapsed())
    }
}

impl<'a> Execution<'a> {
    /// Begins a run at the target of `grant`.
    pub fn begin_run(
        &mut self,
        grant: HeldGrant,
        target: Target,
        proxied: &'a ProxiedRequest,
    ) -> Run<'a> {
        let (daemon, routed, buffer) = (self.daemon, self.routed, self.buffer);
        self.record_send(&grant);
        let sent = Rc::new(Sent {
            observer: Rc::new(SendObserver::new(self, grant, &target)),
            transport: Transport::new(self, &target),
            target,
        });
        let rest = self.max_idle();
        let bounds = self.bounds();
        let mut delivered = self.history.delivered.for_run();
        let exchange = {
            let sent = Rc::clone(&sent);
            async move {
                let after = delivered.last_event();
                let outgoing = OutgoingRequest {
                    after: after.as_deref(),
                    caller: &routed.caller,
                    id: &routed.id,
                    remaining: routed.time_left(),
                    proxied,
                    target: &sent.target,
                };
                let forwarder = Forwarder {
                    bounds,
                    client: &daemon.client,
                    observer: &*sent.observer,
                    protocol: &*daemon.ports.targets,
                    rest,
                    transport: &sent.transport,
                    buffer,
                    stream: routed.route.terms.stream,
                };
                let ended = forwarder.send(&outgoing, &mut delivered).await;
                (ended, delivered)
            }
        };
        Run {
            exchange: Box::pin(exchange),
            sent,
        }
    }

    /// Limits of the next send. Only a stream that another target can go on with is given up within an event.
    fn bounds(&self) -> Bounds {
        let bounds = self.daemon.bounds();
        match self.history.can_resume() {
            true => Bounds {
                event: forward::REPEATABLE_EVENT_TIMEOUT,
                ..bounds
            },
            false => bounds,
        }
    }
}
