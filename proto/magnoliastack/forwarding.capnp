# What entry hosts send to each other on streams when one runs statements for
# the other. Internal: all hosts run the same or the neighbouring version, so
# fields and enumerants are only added at the end.
@0xb7d05c1e6a4f9283;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("magnoliastack::forwarding::wire");

struct Frame {
  union {
    hello @0 :Hello;
    run @1 :Run;
    answer @2 :Answer;
    # The number of the transaction.
    rollBack @3 :UInt64;
    # The number of the statement or the transaction.
    forget @4 :UInt64;
    # The number of the transaction.
    transactionLost @5 :UInt64;
    ping @6 :Void;
    pong @7 :Void;
    draining @8 :Void;
  }
}

# The first frame of each direction of a stream.
struct Hello {
  # The host that the sender means to talk to. An address may have passed to
  # another host.
  to @0 :Text;
  from @1 :Text;
  incarnation @2 :UInt64;
}

struct LogPoint {
  term @0 :UInt64;
  position @1 :UInt64;
}

enum Scope {
  single @0;
  first @1;
  firstReadOnly @2;
  next @3;
}

enum StatementKind {
  begin @0;
  beginReadOnly @1;
  commit @2;
  rollBack @3;
  read @4;
  write @5;
  setValue @6;
  prepare @7;
  execute @8;
  deallocate @9;
  malformed @10;
}

# Texts of callers and endpoints are bytes of any value.
struct Statement {
  id @0 :Data;
  kind @1 :StatementKind;
  text @2 :Data;
  name @3 :Data;
  argument @4 :Data;
  preparesWrite @5 :Bool;
}

struct Value {
  name @0 :Data;
  value @1 :Data;
}

struct Run {
  number @0 :UInt64;
  endpoint @1 :Text;
  endpointStartedUnixMs @2 :Int64;
  group @3 :Text;
  organisation @4 :Text;
  scope @5 :Scope;
  statement @6 :Statement;
  writes @7 :Bool;
  preparedShape @8 :Data;
  preparedWrites @9 :Bool;
  values @10 :List(Value);
  # Null: no point of the log is required.
  after @11 :LogPoint;
  routePriority @12 :UInt32;
  organisationPriority @13 :UInt32;
  # The extreme values stand for unlimited times.
  timeLeftUs @14 :Int64;
  startWithinUs @15 :Int64;
}

enum Error {
  busy @0;
  aborted @1;
  lagging @2;
  readOnly @3;
  moved @4;
  tooManyConnections @5;
  unknownOutcome @6;
  timeout @7;
  failed @8;
  unknownPrepared @9;
  unauthenticated @10;
  unknownDatabase @11;
  tooLarge @12;
  malformed @13;
}

enum TransactionState {
  idle @0;
  open @1;
  failed @2;
}

struct Answer {
  number @0 :UInt64;
  notSent @1 :Bool;
  # `error` has a meaning only with `hasError`.
  hasError @2 :Bool;
  error @3 :Error;
  errorText @4 :Data;
  rows @5 :List(Data);
  # Null: no signature.
  signature @6 :Data;
  state @7 :TransactionState;
  # Null: no position.
  position @8 :LogPoint;
}
