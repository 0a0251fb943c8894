//! Start, shared state, supervised tasks and shutdown of the target node process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eel_admin::HttpServer;
use eel_admit::Options;
use eel_settings::TargetSettings;
use eel_supervise::{RestartPolicy, Shutdown, Supervisor};
use eel_types::{Clock, Incarnation, Name};
use eel_wire::{
    EndpointOptions, bind_server,
    credentials::{CredentialPaths, Credentials},
};
use error_stack::{Report, ResultExt as _};
use quinn::Endpoint;
use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    Error, admission::SharedAdmission, config::ConfigState, engine::Engine, link, metrics::Metrics,
};

/// State shared by all tasks of the process.
pub struct Context {
    pub(crate) vm: Name,
    pub(crate) pool: Name,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) admission: Arc<SharedAdmission>,
    pub(crate) engine: Engine,
    pub(crate) config: ConfigState,
    pub(crate) metrics: Arc<Metrics>,
    /// Cancelled once the node drains and accepts no new work.
    pub(crate) draining: CancellationToken,
    /// Tracks the tasks of open request streams.
    pub(crate) requests: TaskTracker,
    /// Cancelled once all requests have ended and no further one can start.
    pub(crate) drained: CancellationToken,
    /// Tracks the tasks of open links.
    pub(crate) links: TaskTracker,
}

/// A target node whose listeners are bound and that does not serve yet.
pub struct TargetNode {
    context: Arc<Context>,
    endpoint: Endpoint,
    admin: TcpListener,
    admin_address: SocketAddr,
    registry: prometheus_client::registry::Registry,
    drain_timeout: Duration,
}

impl TargetNode {
    /// Binds the listeners given in `settings`.
    ///
    /// # Errors
    ///
    /// [`Error::Credentials`], [`Error::Bind`], or [`Error::Client`] if the HTTP client for the target cannot be
    /// created.
    pub async fn bind(settings: &TargetSettings) -> Result<Self, Report<Error>> {
        let credentials = Credentials::load(&CredentialPaths {
            ca: settings.tls.ca.clone(),
            certificate: settings.tls.certificate.clone(),
            key: settings.tls.key.clone(),
        })
        .change_context(Error::Credentials)?;
        let endpoint = bind_server(
            settings.listen.quic,
            &credentials,
            EndpointOptions::default(),
        )
        .change_context(Error::Bind)?;
        let admin = TcpListener::bind(settings.listen.admin)
            .await
            .change_context(Error::Bind)?;
        let admin_address = admin.local_addr().change_context(Error::Bind)?;
        let (metrics, registry) = Metrics::register();
        let context = Arc::new(new_context(settings, metrics)?);
        Ok(Self {
            context,
            endpoint,
            admin,
            admin_address,
            registry,
            drain_timeout: Duration::from_millis(settings.drain.timeout_ms),
        })
    }

    /// Returns the UDP address at which links are accepted.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the socket has no address.
    pub fn quic_address(&self) -> Result<SocketAddr, Report<Error>> {
        self.endpoint.local_addr().change_context(Error::Bind)
    }

    /// Returns the address of the admin listener.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Serves until `shutdown` is requested and running requests have ended or the drain timeout has passed.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the admin listener cannot be started, [`Error::Supervisor`] if a supervised task exceeded its
    /// restart limit.
    pub async fn run(self, shutdown: Shutdown) -> Result<(), Report<Error>> {
        let stop = CancellationToken::new();
        let draining = self.context.draining.clone();
        let pages = eel_admin::router(self.registry, move || !draining.is_cancelled());
        let _admin = HttpServer::start(self.admin, pages).change_context(Error::Bind)?;
        let mut supervisor = Supervisor::new(stop.clone(), RestartPolicy::default());
        spawn_timer(&mut supervisor, &self.context, &stop);
        spawn_links(&mut supervisor, &self.context, &self.endpoint, &stop);
        let drain = drain(self.context.clone(), shutdown, self.drain_timeout);
        let outcome = tokio::select! {
            ended = supervisor.join() => ended.change_context(Error::Supervisor),
            () = drain => Ok(()),
        };
        stop.cancel();
        self.endpoint.close(0u32.into(), b"");
        self.endpoint.wait_idle().await;
        outcome
    }
}

fn new_context(settings: &TargetSettings, metrics: Arc<Metrics>) -> Result<Context, Report<Error>> {
    let clock = Clock::start();
    let admission = SharedAdmission::new(Options::default(), clock, metrics.clone());
    Ok(Context {
        vm: settings.node.name.clone(),
        pool: settings.node.pool.clone(),
        incarnation: Incarnation::random(&mut rand::rng()),
        clock,
        admission: Arc::new(admission),
        engine: Engine::new(&settings.target)?,
        config: ConfigState::new(settings.node.pool.clone()),
        metrics,
        draining: CancellationToken::new(),
        requests: TaskTracker::new(),
        drained: CancellationToken::new(),
        links: TaskTracker::new(),
    })
}

fn spawn_timer(supervisor: &mut Supervisor, context: &Arc<Context>, stop: &CancellationToken) {
    let admission = context.admission.clone();
    let stop = stop.clone();
    supervisor.spawn("admission timer", move || {
        let admission = admission.clone();
        let stop = stop.clone();
        async move {
            tokio::select! {
                () = admission.run_timer() => {}
                () = stop.cancelled() => {}
            }
            Ok(())
        }
    });
}

fn spawn_links(
    supervisor: &mut Supervisor,
    context: &Arc<Context>,
    endpoint: &Endpoint,
    stop: &CancellationToken,
) {
    let context = context.clone();
    let endpoint = endpoint.clone();
    let stop = stop.clone();
    supervisor.spawn("links", move || {
        let context = context.clone();
        let endpoint = endpoint.clone();
        let stop = stop.clone();
        async move {
            link::accept(&endpoint, &context, &stop).await;
            Ok(())
        }
    });
}

/// Waits for the shutdown request, then until running requests have ended and links are closed, `timeout` has passed or
/// an immediate shutdown is requested.
async fn drain(context: Arc<Context>, shutdown: Shutdown, timeout: Duration) {
    tokio::select! {
        () = shutdown.drain.cancelled() => {}
        () = shutdown.now.cancelled() => return,
    }
    log::info!(target: "node", "Draining.");
    context.draining.cancel();
    context.admission.start_drain();
    let finished = async {
        context.admission.drained().await;
        context.requests.close();
        context.requests.wait().await;
        context.drained.cancel();
        context.links.close();
        context.links.wait().await;
    };
    tokio::select! {
        () = finished => log::info!(target: "node", "Drained."),
        () = tokio::time::sleep(timeout) => {
            log::warn!(target: "node", "The drain timeout has passed with running requests.");
        }
        () = shutdown.now.cancelled() => {
            log::warn!(target: "node", "The node stops with running requests.");
        }
    }
}
