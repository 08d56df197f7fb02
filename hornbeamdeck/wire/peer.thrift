// Messages between hornbeamdeck instances. `make wire` generates the Python.
namespace py peer

enum RefusalReason {
  DEADLINE = 1,       // the deadline can no longer be met
  OVERLOADED = 2,     // displaced by a higher tier or too long a queue
  NO_UPSTREAM = 3,    // the cell has no upstream that takes work
  UNKNOWN_CELL = 4,   // the owner's configuration lacks the cell
  TEAM_LIMIT = 5,
  CULPRIT = 6,        // upstreams have died of this very request
  TOO_MANY_TRIES = 7, // the fleet's budget of second tries is spent
  UNKNOWN_STREAM = 8  // the version that began the stream is not known
}

enum RunEnd {
  ANSWERED = 1,       // whole answer relayed
  FAILED = 2,         // bytes were written, no whole answer came
  NOT_DISPATCHED = 3, // no byte reached the upstream
  CANCELLED = 4,      // the caller left, the deadline passed, or the grant
                      // came too late to be used
  REJECTED = 5,       // the upstream said that it did not run the request
  MISDIRECTED = 6,    // another upstream has the address
  ERRORED = 7,        // a whole answer that tells of an error
  UNREACHABLE = 8,    // no byte reached the upstream, since the ingress reaches
                      // none and found no other instance that does
  SILENT = 9          // bytes were written, and nothing came for too long
}

enum TunnelResult {
  OPENED = 1,         // bytes for the upstream may follow
  UNREACHED = 2,      // the relay reaches other upstreams, but not this one
  PARTITIONED = 3,    // the relay reaches no upstream either
  WITHHELD = 4,       // the upstream wants nothing from the relay
  BUSY = 5            // the relay is about to stop or has too many tunnels
}

struct Hello {
  1: required string instance_id
  2: required binary nonce
}

struct Proof {
  1: required binary mac
}

struct Enqueue {
  1: required string request_id
  2: required string cell
  3: required string team
  4: required i16 tier_rank
  5: required i32 deadline_ms      // time left at sending
  6: required i32 prompt_tokens
  7: required i32 output_tokens    // upper bound asked for
  8: optional list<string> excluded
  9: required string fingerprint   // equal for equal requests
  10: optional i32 objective_ms    // left until the answer is late; may be < 0
  11: optional i32 patience_ms     // left until the caller gives up
  12: optional i32 gap_ms          // longest pause in a stream on time
  13: optional i32 quota_tokens    // what it counts against the team's limit
  14: optional i16 dispatches      // upstreams that it was sent to before
  15: optional string zone         // of the ingress
  17: optional i16 route_rank      // order within tier_rank, where that is the team's
  18: optional string route        // name, to compare versions of a service by route
  19: optional string version      // a stream's, which goes on at this version only
  20: optional string resumes      // request that began the stream which this one
                                   // goes on with; empty: not stated
  21: optional i32 resumable_ms    // left for going on with it; unset: it can't be
  22: optional list<string> shared_parts // of its prompt, which others may have, too
  23: optional bool is_moved       // another owner may have counted it before
}

struct Grant {
  1: required string request_id
  2: required string cell
  3: required string upstream
  4: optional string address
  5: optional string version       // of the upstream's software
  6: optional i64 born_ms          // start of the upstream's incarnation
  7: optional double limit_per_s   // requests that it accepts; unset: no limit
  8: optional list<string> relays  // instances that have reached it lately
  9: optional double rejection_limit_per_s // beyond which it falls over; unset: none
}

// What an upstream has stated of itself in its answers to the sender.
struct EngineObservation {
  1: required string cell
  2: required string upstream
  3: required i64 born_ms
  4: required i64 age_ms           // since the answer that showed the limit
  5: optional double per_s         // requests that it accepts from all instances
                                   // together; unset: no limit
  6: optional bool is_limit_unknown // the sender has seen no limit lately
  7: optional bool is_leaving
  8: optional i64 rest_ms          // for which it still wants nothing from the sender
  9: optional double rejection_limit_per_s // as per_s: beyond which it falls over
}

struct Refuse {
  1: required string request_id
  2: required RefusalReason reason
  3: required i32 retry_after_ms
}

struct Withdraw {
  1: required string request_id
  2: required string cell
}

struct Register {
  1: required string request_id
  2: required string cell
  3: required string upstream
  4: required i32 prompt_tokens
  5: required i32 output_tokens
  6: required bool is_prefilling
  7: required string fingerprint
  8: optional list<string> shared_parts // as in Enqueue
}

// A run on an upstream broke, and it refuses connections since: it has ended.
struct UpstreamEnd {
  1: required string cell
  2: required string upstream
  3: required i64 born_ms
}

// From an owner: what it now holds against a request, or against a part of
// prompts; from an ingress, to the next owner: what it was told.
struct Suspect {
  1: required string cell
  2: required string fingerprint   // of the request; "part:" and the id of a part
  3: required i16 crashes
}

// The version that runs a request which may be gone on with.
struct StreamOrigin {
  1: required string request_id
  2: required string team
  3: required string upstream
  4: required i16 attempt          // upstreams that were named to it before
  5: required i32 left_ms          // for going on with it
  6: optional string version       // unset: not certain
  7: optional bool is_begun        // the upstream has made the first event
  8: optional i64 born_ms          // start of the upstream's incarnation
  9: optional i32 begun_age_ms     // since the first event
  10: optional bool is_certain     // that the upstream ran this version
}

struct StreamOrigins {
  1: required string cell
  2: required list<StreamOrigin> origins
}

struct Progress {
  1: required string request_id
  2: required string cell
  3: required i32 first_token_ms
  4: optional string relay         // the instance that the request went through
  5: optional bool is_certain      // that the upstream's incarnation is the granted one
  6: optional string upstream      // this and the next two: as in its grant
  7: optional string version
  8: optional i64 born_ms
}

struct Release {
  1: required string request_id
  2: required string cell
  3: required RunEnd end
  4: required i32 total_ms         // since the grant was used
  5: optional i32 output_tokens    // made, of a whole answer
  6: optional i32 longest_gap_ms   // between two events of a whole answer
  7: optional i32 first_byte_ms    // since the request was sent
  8: optional string relay         // the instance that the request went through
  9: optional bool is_moved        // it goes on, and another owner accounts for it
  10: optional bool is_unsent      // no byte of the request has reached an upstream
}

struct Heartbeat {
  1: required i64 sequence
  2: required bool is_reply
}

// What an instance asks a peer for while the platform does not answer.
struct AskSnapshot {
  1: required i64 known_version
}

struct Snapshot {
  1: required i64 configuration_version
  2: required string document       // empty where the asker's is as new
  3: required list<string> statuses // status objects of known instances
}

struct Spending {
  1: required string team
  3: required list<i64> by_age     // tokens in each slice of the quota window, latest first
}

// A new version of a service's upstreams that is brought in.
struct Rollout {
  1: required string cell
  2: required string target        // the new version
  3: required i64 order_id         // newer orders of a service have larger ones
  4: required i32 duration_ms      // requested by the operator
  5: required i32 phase            // only ever grows
  6: required i64 age_ms           // since the order was first seen
  7: required i64 revision         // of the store, at which the order was read
  8: optional i64 era              // of the store, which counts the revision
}

// What a process holds of the store, and how old its proof is that this is
// still current. Ages are counted back from the moment at which the last beat
// of the receiver arrived here, so that time spent on the way makes a proof
// look older, never younger.
struct Beat {
  1: required i64 stamp_ms         // the sender's clock, from an origin of its own
  2: required i64 echo_ms          // the receiver's last stamp; 0: none yet
  3: required i64 configuration_age_ms
  4: required i64 engines_version
  5: required i64 engines_age_ms
  6: required string status        // the sender's own status object; empty: as told before
  7: required i64 memory_ms        // how long the sender has been running
  8: required list<Spending> spent // in the quota window, by the sender's team
  9: optional list<string> present // in an answer: who lives; unset: as told before
  10: optional list<string> statuses // only where the receiver lacks some
  11: required i64 configuration_version
  12: required bool is_store_reached // whether the sender's last call was answered
  13: optional list<Rollout> rollouts
  14: optional i64 engines_era     // of the store, which counts engines_version
  15: optional list<EngineObservation> limits // from an owner, as it was told
}

struct EngineEntry {
  1: required string name
  2: required string cell
  3: required string address
  4: required string zone
  5: required i32 slots
  6: required bool is_leaving
  7: required i64 born_ms
  8: required double slowness      // learned; 1: as modelled
  9: optional string version       // of its software
}

struct EngineList {
  1: required i64 version
  2: required list<EngineEntry> engines
  3: optional i64 era              // of the store, which counts the version
}

// Asks an instance to connect to an upstream and to pass bytes on. After OPENED
// the connection carries no more envelopes: bytes from the ingress go to the
// upstream as they are, those of the upstream come back in chunks.
struct OpenTunnel {
  1: required string request_id
  2: required string cell
  3: required string upstream
  4: required string address
  5: required i64 born_ms
  6: required i32 deadline_ms      // the tunnel closes then
  7: required bool is_repeatable   // the upstream may get the request twice
  8: optional bool is_check        // asks only whether the upstream has ended: it
                                   // is UNREACHED then, and no bytes follow
}

struct TunnelAnswer {
  1: required TunnelResult result
}

// What an upstream has stated in an answer that came through a tunnel, for the
// instance that the upstream knows as the sender.
struct RelayedStatement {
  1: required string cell
  2: required string upstream
  3: required i64 born_ms
  4: required bool is_leaving
  5: required i64 rest_ms
}

// A record as a successor has found it in the store, for an owner that can't
// reach the store.
struct RecordCopy {
  1: required string record_name
  2: required i64 era              // of the store
  3: required i64 revision
  4: required string fields        // JSON
}

// Exactly one of the fields from 3 on is set.
struct Envelope {
  1: required i64 configuration_version
  2: required i64 clock_us
  3: optional Hello hello
  4: optional Proof proof
  5: optional Enqueue enqueue
  6: optional Grant grant
  7: optional Refuse refuse
  8: optional Withdraw withdraw
  9: optional Register register_run
  10: optional Progress progress
  11: optional Release release
  12: optional Heartbeat heartbeat
  13: optional Suspect suspect
  14: optional AskSnapshot ask_snapshot
  15: optional Snapshot snapshot
  16: optional Beat beat
  17: optional EngineList engine_list
  18: optional EngineObservation engine_observation
  19: optional OpenTunnel open_tunnel
  20: optional TunnelAnswer tunnel_answer
  21: optional RelayedStatement relayed_statement
  22: optional StreamOrigins stream_origins
  23: optional UpstreamEnd upstream_end
  24: optional RecordCopy record_copy
}
