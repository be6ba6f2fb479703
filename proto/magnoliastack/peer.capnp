# What proxies say to each other. Internal: both sides run the same or the
# neighbouring version.
@0xd1b7e1a3f0c24e55;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("magnoliastack::peer::wire");

struct GroupObservation {
  group @0 :Text;
  term @1 :UInt64;
  primary @2 :Text;
  # The observing host has had no answer from the primary for the suspicion time.
  primaryUnreachable @3 :Bool;
  # The observing host reaches a majority of the group's endpoints.
  majorityReachable @4 :Bool;
  # How long the primary has been unreachable, in milliseconds.
  unreachableMs @5 :UInt32;
}

struct SlotHolding {
  slot @0 :UInt32;
  epoch @1 :UInt64;
}

struct Entry {
  host @0 :Text;
  incarnation @1 :UInt64;
  heartbeat @2 :UInt64;
  failureDomain @3 :Text;
  peerAddress @4 :Text;
  # 0 alive, 1 suspect, 2 dead, 3 leaving.
  state @5 :UInt8;
  configurationVersion @6 :UInt64;
  storeReachable @7 :Bool;
  groups @8 :List(GroupObservation);
  slots @9 :List(SlotHolding);
  leavingEndpoints @10 :List(Text);
  # Highest version of the row `slots` that the host has seen.
  slotsVersion @11 :UInt64;
}

struct Exchange {
  sender @0 :Text;
  incarnation @1 :UInt64;
  # Sent entries; the answer has the receiver's.
  entries @2 :List(Entry);
  # The sender's version of the configuration at the time of sending.
  configurationVersion @3 :UInt64;
  # The sender's version of the row `slots`.
  slotsVersion @4 :UInt64;
}

struct BorrowRequest {
  borrower @0 :Text;
  incarnation @1 :UInt64;
  # Names the resource: "org/<organisation>" or "endpoint/<endpoint>".
  resource @2 :Text;
  # In units of the resource (millionths for a rate, connections for an endpoint).
  amount @3 :UInt64;
}

struct BorrowResponse {
  loan @0 :UInt64;
  amount @1 :UInt64;
  # Length of the loan from the borrower's send time, in milliseconds.
  lengthMs @2 :UInt32;
}

struct GiveBack {
  borrower @0 :Text;
  loan @1 :UInt64;
  resource @2 :Text;
}

struct Configuration {
  version @0 :UInt64;
  hash @1 :Text;
  changeId @2 :Text;
  author @3 :Text;
  content @4 :Data;
}

interface Peer {
  exchange @0 (request :Exchange) -> (response :Exchange);
  borrow @1 (request :BorrowRequest) -> (response :BorrowResponse);
  giveBack @2 (request :GiveBack) -> ();
  fetchConfiguration @3 (minimumVersion :UInt64) -> (configuration :Configuration);
}
