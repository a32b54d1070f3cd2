//! HTTP client of the platform's services.

use std::net;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use sapphirewalk_wire::platform::OBJECT_LIST_PATH;
use sapphirewalk_wire::platform::OBJECT_PATH_PREFIX;
use sapphirewalk_wire::platform::ObjectList;
use sapphirewalk_wire::platform::ObjectListRequest;
use sapphirewalk_wire::platform::READ_PATH;
use sapphirewalk_wire::platform::ReadRequest;
use sapphirewalk_wire::platform::RowList;
use sapphirewalk_wire::platform::SCAN_PATH;
use sapphirewalk_wire::platform::SCAN_ROWS_MAX;
use sapphirewalk_wire::platform::ScanRequest;
use sapphirewalk_wire::platform::TRANSACTION_PATH;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::platform::TransactionReply;
use sapphirewalk_wire::platform::TransactionRequest;
use sapphirewalk_wire::platform::VM_LIST_PATH;
use sapphirewalk_wire::platform::VmList;

use crate::config::PlatformSettings;
use crate::platform::PlatformError;
use crate::traffic::TrafficCount;
use crate::traffic::TrafficCounter;

/// Header with the VM name of the caller, on every call to the platform.
const CALLER_HEADER: &str = "sapphirewalk-caller";

/// Client of the table service, object store and VM list. Clones share connections and counters.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: PlatformSettings,
    caller: String,
    traffic: Arc<TrafficCounter>,
}

struct RawAnswer {
    status: StatusCode,
    etag: Option<String>,
    body: Bytes,
}

/// Answer to a conditional read of the VM list.
#[derive(Debug)]
pub enum VmListAnswer {
    /// The list still has the entity tag of the request.
    Unchanged,
    /// List that differs, with its entity tag, if the platform sent one.
    Changed(VmList, Option<String>),
}

impl PlatformClient {
    /// Client that identifies itself to the platform by the VM name `caller`.
    pub fn new(settings: PlatformSettings, caller: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(time::Duration::from_millis(settings.timeout_ms)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            // A retry by the library could repeat a call whose answer was lost.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            settings,
            caller: caller.to_owned(),
            traffic: Arc::default(),
        }
    }

    /// Calls since the start, with the bytes of their paths and bodies.
    pub fn traffic(&self) -> TrafficCount {
        self.traffic.count()
    }

    /// Applies all changes of a transaction if all its conditions hold.
    ///
    /// # Errors
    ///
    /// The transaction may have been committed in spite of the error; see
    /// [`PlatformError::may_have_taken_effect`].
    pub async fn transact(
        &self,
        transaction: &TransactionRequest,
    ) -> Result<TransactionReply, PlatformError> {
        self.post(self.settings.table, TRANSACTION_PATH, transaction)
            .await
    }

    /// Reads one row; `None` if the key has no row.
    ///
    /// # Errors
    ///
    /// If the platform does not answer in time, or refuses the call.
    pub async fn read_row(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let rows = self.read_rows(vec![key.to_owned()]).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads rows by key, in key order, without those that do not exist.
    ///
    /// # Errors
    ///
    /// As [`Self::read_row`].
    pub async fn read_rows(&self, keys: Vec<String>) -> Result<Vec<TableRow>, PlatformError> {
        let request = ReadRequest { keys };
        let list: RowList = self.post(self.settings.table, READ_PATH, &request).await?;
        Ok(list.rows)
    }

    /// Reads all rows whose keys begin with `prefix`, in key order.
    ///
    /// Each page is a call of its own, so the rows are not a snapshot.
    ///
    /// # Errors
    ///
    /// As [`Self::read_row`], for any page.
    pub async fn scan_all(&self, prefix: &str) -> Result<Vec<TableRow>, PlatformError> {
        let mut rows: Vec<TableRow> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.clone());
            let request = ScanRequest {
                prefix: prefix.to_owned(),
                after,
                limit: SCAN_ROWS_MAX,
            };
            let page: RowList = self.post(self.settings.table, SCAN_PATH, &request).await?;
            let is_last = !page.more || page.rows.is_empty();
            rows.extend(page.rows);
            if is_last {
                return Ok(rows);
            }
        }
    }

    /// Stores an object under a new name. Objects are never overwritten.
    ///
    /// # Errors
    ///
    /// [`PlatformError::ObjectExists`] if the name is in use, which may be due to an earlier call
    /// whose answer was lost.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let path = format!("{OBJECT_PATH_PREFIX}{name}");
        let answer = self
            .call(Method::PUT, self.settings.objects, &path, body, None)
            .await?;
        match answer.status {
            StatusCode::CONFLICT => Err(PlatformError::ObjectExists),
            status if status.is_success() => Ok(()),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    /// Reads an object; `None` if the name is not in use.
    ///
    /// # Errors
    ///
    /// As [`Self::read_row`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("{OBJECT_PATH_PREFIX}{name}");
        let answer = self
            .call(
                Method::GET,
                self.settings.objects,
                &path,
                Bytes::new(),
                None,
            )
            .await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    /// Lists the names of all objects that begin with `prefix`, in order, by pages.
    ///
    /// # Errors
    ///
    /// As [`Self::read_row`], for any page.
    pub async fn list_objects(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let mut names: Vec<String> = Vec::new();
        loop {
            let request = ObjectListRequest {
                prefix: prefix.to_owned(),
                after: names.last().cloned(),
                limit: SCAN_ROWS_MAX,
            };
            let page: ObjectList = self
                .post(self.settings.objects, OBJECT_LIST_PATH, &request)
                .await?;
            let is_last = !page.more || page.names.is_empty();
            names.extend(page.names);
            if is_last {
                return Ok(names);
            }
        }
    }

    /// Reads the VM list, unless it still has the entity tag `etag`.
    ///
    /// # Errors
    ///
    /// As [`Self::read_row`].
    pub async fn vm_list(&self, etag: Option<&str>) -> Result<VmListAnswer, PlatformError> {
        let address = self.settings.vm_list;
        let answer = self
            .call(Method::GET, address, VM_LIST_PATH, Bytes::new(), etag)
            .await?;
        match answer.status {
            StatusCode::NOT_MODIFIED => Ok(VmListAnswer::Unchanged),
            StatusCode::OK => Ok(VmListAnswer::Changed(parse(&answer.body)?, answer.etag)),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
        request: &Q,
    ) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(request)
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        let answer = self
            .call(Method::POST, address, path, body.into(), None)
            .await?;
        match answer.status {
            status if status.is_success() => parse(&answer.body),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }

    async fn call(
        &self,
        method: Method,
        address: net::SocketAddr,
        path: &str,
        body: Bytes,
        etag: Option<&str>,
    ) -> Result<RawAnswer, PlatformError> {
        self.traffic.sent(path.len() + body.len());
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CALLER_HEADER, &self.caller);
        if let Some(tag) = etag {
            builder = builder.header(hyper::header::IF_NONE_MATCH, tag);
        }
        let request = builder
            .body(Full::new(body))
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        let limit = time::Duration::from_millis(self.settings.timeout_ms);
        match tokio::time::timeout(limit, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(PlatformError::AnswerLost("timeout".to_owned())),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<RawAnswer, PlatformError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                PlatformError::Unreachable(error.to_string())
            } else {
                PlatformError::AnswerLost(error.to_string())
            }
        })?;
        let status = response.status();
        let etag = response
            .headers()
            .get(hyper::header::ETAG)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let collected = response.into_body().collect().await;
        let body = collected
            .map_err(|error| PlatformError::AnswerLost(error.to_string()))?
            .to_bytes();
        self.traffic.received(body.len());
        Ok(RawAnswer { status, etag, body })
    }
}

fn parse<A: DeserializeOwned>(body: &[u8]) -> Result<A, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::BadAnswer(error.to_string()))
}
