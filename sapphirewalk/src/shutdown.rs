//! Signal handling: SIGTERM or SIGINT begins a graceful shutdown, a second one exits at once.

use std::process;

use tokio::signal::unix;
use tokio::sync::watch;

/// Exit code after a second signal.
const FORCED_EXIT_CODE: i32 = 3;

/// State of the graceful shutdown, for all parts of the process.
#[derive(Clone, Debug)]
pub struct ShutdownWatch {
    receiver: watch::Receiver<bool>,
}

impl ShutdownWatch {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// If a signal handler can't be installed.
    pub fn install() -> Result<Self, std::io::Error> {
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
        let (sender, receiver) = watch::channel(false);
        tokio::spawn(async move {
            wait_signal(&mut terminate, &mut interrupt).await;
            sender.send_replace(true);
            wait_signal(&mut terminate, &mut interrupt).await;
            eprintln!("received a second signal; exiting at once, work in flight is cut off");
            process::exit(FORCED_EXIT_CODE);
        });
        Ok(Self { receiver })
    }

    /// Whether a shutdown has begun.
    pub fn has_begun(&self) -> bool {
        *self.receiver.borrow()
    }

    /// Waits until a shutdown begins.
    pub async fn begun(&self) {
        let mut receiver = self.receiver.clone();
        // An error means that the sender was dropped, which happens only when the process exits.
        let _ = receiver.wait_for(|begun| *begun).await;
    }
}

async fn wait_signal(terminate: &mut unix::Signal, interrupt: &mut unix::Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
