//! Weight store: size, rate and outage.

use http_body_util::BodyExt;
use stand_ins::faults::Outage;
use stand_ins::weight_store::WeightStore;

use crate::client::send;

/// Guards against a store that serves a second body while the first one uses up the rate. The
/// first body takes hours at this rate, so it still does when the second one is asked for.
#[tokio::test]
async fn a_request_over_the_rate_is_told_when_to_retry() {
    let store = WeightStore::start().unwrap();
    store.set_faults(|faults| faults.rate_bytes_per_s = 1);
    let first = send(store.address(), "GET", "/weights/a", "").await.unwrap();
    let second = send(store.address(), "GET", "/weights/b", "").await.unwrap();
    assert_eq!((first.status().as_u16(), second.status().as_u16()), (200, 429));
    let retry_after = second.headers()["retry-after"].to_str().unwrap();
    assert!(retry_after.parse::<u64>().unwrap() > 0);
    assert_eq!(store.fetched(), ["a"]);
}

/// Guards against bodies of another size, and against an outage that serves weights.
#[tokio::test]
async fn a_body_has_the_set_size_unless_the_store_is_out() {
    let store = WeightStore::start().unwrap();
    store.set_faults(|faults| faults.size_bytes = 200_000);
    let whole = send(store.address(), "GET", "/weights/a", "").await.unwrap();
    assert_eq!(whole.into_body().collect().await.unwrap().to_bytes().len(), 200_000);
    store.set_faults(|faults| faults.common.outage = Outage::Unavailable);
    let refused = send(store.address(), "GET", "/weights/a", "").await.unwrap();
    assert_eq!((refused.status().as_u16(), store.fetched().len()), (503, 1));
}
