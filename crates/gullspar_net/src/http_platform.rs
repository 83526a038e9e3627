//! Client of the platform's JSON API over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cyper::Client;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{
    Clock, ObjectVersion, Platform, PlatformError, PlatformInstance, StoredObject, WatchReply,
    within,
};
use gullspar_model::InstanceId;

use crate::platform_types::{InstanceList, ObjectList, PutBody, PutReply, WireObject};

/// A client of the platform's object API.
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client,
    clock: Rc<dyn Clock>,
}

/// Time in which the platform must answer, not counting the wait that a watch requests.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

impl HttpPlatform {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr, clock: Rc<dyn Clock>) -> HttpPlatform {
        #[allow(clippy::expect_used)]
        let client = Client::new().expect("a client without TLS needs nothing from the system");
        HttpPlatform { address, client, clock }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }

    async fn send(
        &self,
        builder: cyper::Result<cyper::RequestBuilder>,
        deadline: Instant,
    ) -> Result<HttpResponse, PlatformError> {
        let exchange = async {
            let response = builder?.send().await?;
            let status = response.status().as_u16();
            let text = response.text().await?;
            Ok::<_, cyper::Error>(HttpResponse { status, text })
        };
        match within(&*self.clock, deadline, exchange).await {
            Ok(Ok(answer)) if answer.status >= 500 => Err(no_answer(answer.text)),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(err)) => Err(no_answer(err)),
            Err(_) => Err(no_answer("the deadline passed")),
        }
    }

    fn deadline(&self, wait_ms: u64) -> Instant {
        self.clock.now() + RESPONSE_TIMEOUT + Duration::from_millis(wait_ms)
    }
}

struct HttpResponse {
    status: u16,
    text: String,
}

impl HttpResponse {
    fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, PlatformError> {
        if self.status != 200 {
            return Err(PlatformError::Refused(format!("{}: {}", self.status, self.text)));
        }
        serde_json::from_str(&self.text).map_err(no_answer)
    }
}

fn no_answer(reason: impl ToString) -> PlatformError {
    PlatformError::NoAnswer(reason.to_string())
}

fn to_stored_object(it: WireObject) -> StoredObject {
    StoredObject { key: it.key, version: ObjectVersion(it.version), value: it.value.to_string() }
}

impl Platform for HttpPlatform {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<StoredObject>, PlatformError>> {
        async move {
            let req = self.client.get(self.url(&format!("objects/{key}")));
            let answer = self.send(req, self.deadline(0)).await?;
            if answer.status == 404 {
                return Ok(None);
            }
            answer.decode::<WireObject>().map(|it| Some(to_stored_object(it)))
        }
        .boxed_local()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        expected: ObjectVersion,
        value: String,
    ) -> LocalBoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        async move {
            let value = serde_json::from_str(&value)
                .map_err(|err| PlatformError::Refused(err.to_string()))?;
            let body = PutBody { expected: expected.0, value };
            let req =
                self.client.put(self.url(&format!("objects/{key}"))).and_then(|it| it.json(&body));
            let answer = self.send(req, self.deadline(0)).await?;
            if answer.status == 409 {
                let actual: PutReply = serde_json::from_str(&answer.text).map_err(no_answer)?;
                return Err(PlatformError::Conflict(ObjectVersion(actual.version)));
            }
            answer.decode::<PutReply>().map(|it| ObjectVersion(it.version))
        }
        .boxed_local()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply, PlatformError>> {
        async move {
            let path = format!("watch?prefix={prefix}&revision={revision}&wait_ms={wait_ms}");
            let answer =
                self.send(self.client.get(self.url(&path)), self.deadline(wait_ms)).await?;
            let list: ObjectList = answer.decode()?;
            let changed = list.objects.into_iter().map(to_stored_object).collect();
            Ok(WatchReply { revision: list.revision, changed })
        }
        .boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformInstance>, PlatformError>> {
        async move {
            let answer =
                self.send(self.client.get(self.url("instances")), self.deadline(0)).await?;
            let list: InstanceList = answer.decode()?;
            let entries = list.instances.into_iter().map(|it| PlatformInstance {
                id: InstanceId::new(it.id),
                peer: it.peer,
                leaving: it.leaving,
            });
            Ok(entries.collect())
        }
        .boxed_local()
    }
}
