// The calls between daemons; docs/PEERS.md explains them.
namespace py bronzerelay.peerlink

struct MemberView {
  1: string name
  2: i64 beat
  3: i64 applied_epoch
  4: i64 config_version
  5: i64 heard_age_ms
  6: i64 platform_age_ms
  7: bool stopping
  // Absent while the member doesn't know itself.
  8: optional bool standing_down
  // Only if the sender has lately counted the member as dead.
  9: optional i64 missed_age_ms
}

struct Beat {
  1: string sender
  2: i64 roster_epoch
  3: i64 config_version
  4: list<MemberView> views
}

struct StatementCall {
  1: string request_id
  2: string workspace
  3: string group
  4: binary request
  5: i64 budget_ms
  6: bool settle
  7: string trace_id
}

struct StatementReply {
  1: i32 code
  2: string ran
  3: string message
  4: i64 retry_after_ms
  5: binary answer
}

struct LoanCall {
  1: string borrower
  2: string workspace
  3: double amount
  // The borrowing process, the number of its call, and what it holds of this lender.
  4: string process
  5: i64 number
  6: double held
}

struct LoanReply {
  1: double amount
  2: double spare
}

struct Record {
  1: i64 version
  2: binary value
}

service Peer {
  Beat beat(1: Beat beat)
  StatementReply run_statement(1: StatementCall call)
  LoanReply lend(1: LoanCall call)
  Record fetch_config(1: i64 known_version)
  Record fetch_roster(1: i64 known_epoch)
}
