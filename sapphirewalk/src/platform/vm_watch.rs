//! Polls the VM list of the platform.

use std::sync::Arc;
use std::time;

use slog::Logger;
use slog::warn;
use tokio::sync::watch;

use sapphirewalk_wire::platform::VmList;

use crate::event::EventName;
use crate::platform::PlatformClient;
use crate::platform::client::VmListAnswer;

/// Delay between two reads of the list.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Receiver of the latest VM list; empty until the first read succeeds.
pub type VmWatch = watch::Receiver<Arc<VmList>>;

/// Polls the list in a background task that ends when every receiver is dropped.
pub fn follow(client: PlatformClient, logger: Logger) -> VmWatch {
    let (sender, receiver) = watch::channel(Arc::new(VmList::default()));
    tokio::spawn(async move {
        let mut etag: Option<String> = None;
        while !sender.is_closed() {
            match client.vm_list(etag.as_deref()).await {
                Ok(VmListAnswer::Unchanged) => {}
                Ok(VmListAnswer::Changed(list, tag)) => {
                    etag = tag;
                    publish_if_newer(&sender, list);
                }
                Err(error) => {
                    warn!(logger, "{}", EventName::PlatformFailed; "call" => "vm_list",
                        "error" => %error);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    receiver
}

/// Publishes a list that differs from the latest one, unless its `as_of_ms` is earlier.
fn publish_if_newer(sender: &watch::Sender<Arc<VmList>>, list: VmList) {
    sender.send_if_modified(|newest| {
        let is_newer = list.as_of_ms >= newest.as_of_ms && list != **newest;
        if is_newer {
            *newest = Arc::new(list);
        }
        is_newer
    });
}
