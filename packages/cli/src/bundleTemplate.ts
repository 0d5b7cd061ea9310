/** Template that `marigolddrift bundle init` prints. */

/** A minimal bundle with placeholders. */
export const bundleTemplate = `; A configuration bundle. Check it with: marigolddrift bundle validate FILE
[bundle]
version = 1
title = first bundle

[limits]
slots = 256
budgetChunkShare = 0.25
regionLinkBytesPerSecond = 250000

[zone.zone-a]
region = region-1

; Public keys from: marigolddrift key generate
[operator.first]
publicKey = "PUBLIC KEY OF THE FIRST OPERATOR, IN BASE64"

[operator.second]
publicKey = "PUBLIC KEY OF THE SECOND OPERATOR, IN BASE64"

; keySha256 is the SHA-256 digest of the key that callers send as a bearer token.
[workspace.example]
keySha256 = 0000000000000000000000000000000000000000000000000000000000000000

[agent.assistant]
model = example-model
priority = 5
budget = 100000
deadlineSeconds = 300

[pool.engines]
models = example-model
workers = zone-a=127.0.0.1:9001
checksFencing = false

[service.orders]
upstreams = zone-a=127.0.0.1:9101
idempotent = false
`;
