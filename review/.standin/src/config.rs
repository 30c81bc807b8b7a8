//! The operator's config: one route to one service, two tenants.

/// A config with two tenants, each with a list of keys.
pub fn config(version: u32, first: &str, second: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"book","host":"shop.example","prefix":"/book/","kind":"idempotent","timeoutMs":800,"sloMs":150,"priority":2,"service":"notice-app","maxAttempts":2,"public":false}}],"services":[{{"name":"notice-app","maxConnections":100,"healthPath":"/healthz"}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"keeps","apiKeys":{first}}},{{"name":"loses","apiKeys":{second}}}]}}"#
    )
}
